package io.violetrail.calendar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.api.Intake;
import io.violetrail.calendar.Definition.Refused;
import io.violetrail.calendar.ScheduleRow.Run;
import io.violetrail.config.Settings;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.model.JobId;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.net.Service;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.state.StateStore;
import io.violetrail.state.StateStore.Unavailable;
import io.violetrail.state.Tombstones;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateWire.Txn;
import io.violetrail.wire.kubernetes.KubeJson;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Schedules and local days for their operators, in JSON. Any controller takes any request; changes
 * are conditional on the row, so one that races a firing comes either before or after it, never in
 * between.
 */
public final class ScheduleApi implements Service {
  private static final Logger LOG = LoggerFactory.getLogger(ScheduleApi.class);
  private static final String SCHEDULES = "/schedules";
  private static final String CALENDARS = "/calendars/";
  private static final String NAME = "[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?";
  private static final int PAGE = 200;
  private static final int TRIES = 5;
  private static final int MOST_DATES = 600;
  private static final Set<String> MOMENTS = Set.of("due", "last", "fired", "done", "at", "said");

  /** Schedules of all controllers together: a takeover reads them all. */
  static final int MOST_SCHEDULES = 20_000;

  private final Loop loop;
  private final Random random;
  private final Settings settings;
  private final StateStore store;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final Intake intake;
  private final Schedules schedules;

  /** Serves what is stored, and what the schedules here know. */
  public ScheduleApi(
      Loop loop,
      Random random,
      Settings settings,
      StateStore store,
      Membership membership,
      MachineTypes machineTypes,
      Intake intake,
      Schedules schedules) {
    this.loop = loop;
    this.random = random;
    this.settings = settings;
    this.store = store;
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.intake = intake;
    this.schedules = schedules;
  }

  /** Whether a path is served here. */
  public static boolean serves(String path) {
    return path.startsWith(SCHEDULES) || path.startsWith(CALENDARS) || path.equals("/reports");
  }

  private static Answer json(int code, JsonNode body) {
    return new Answer(code, KubeJson.bytes(body), code == 503 ? 1 : 0, "application/json");
  }

  private static Answer error(int code, String why) {
    return json(code, Cbor.map().put("error", why));
  }

  @Override
  public void handle(String method, String target, byte[] body, Consumer<Answer> done) {
    int mark = target.indexOf('?');
    String path = mark < 0 ? target : target.substring(0, mark);
    try {
      if (path.equals("/reports")) {
        reports(done);
      } else if (path.startsWith(CALENDARS)) {
        calendar(method, path.substring(CALENDARS.length()), body, done);
      } else {
        route(method, path, mark < 0 ? "" : target.substring(mark + 1), body, done);
      }
    } catch (KubeJson.Malformed e) {
      done.accept(error(400, (e.path().isEmpty() ? "" : e.path() + ": ") + e.getMessage()));
    } catch (Refused e) {
      done.accept(error(e.code(), e.getMessage()));
    }
  }

  private void route(String method, String path, String query, byte[] body, Consumer<Answer> done)
      throws KubeJson.Malformed, Refused {
    String[] p = path.split("/", -1);
    if (p.length == 2 && p[1].equals("schedules")) {
      if (method.equals("POST")) {
        create(KubeJson.parse(body), done);
      } else if (method.equals("GET")) {
        list(query, done);
      } else {
        done.accept(error(405, "GET and POST are served"));
      }
    } else if (p.length > 4 || p.length < 3 || !p[2].matches(NAME)) {
      done.accept(error(404, "no such path"));
    } else if (p.length == 4 && method.equals("GET") && p[3].equals("history")) {
      read(p[2], done, row -> history(row, done));
    } else if (p.length == 4 && method.equals("POST") && p[3].matches("pause|resume")) {
      pause(p[2], p[3].equals("pause"), done);
    } else if (p.length == 4) {
      done.accept(error(404, "no such path"));
    } else {
      one(method, p[2], body, done);
    }
  }

  private void one(String method, String name, byte[] body, Consumer<Answer> done)
      throws KubeJson.Malformed, Refused {
    switch (method) {
      case "GET" -> read(name, done, row -> done.accept(json(200, shown(row))));
      case "PUT" -> replace(name, KubeJson.parse(body), done);
      case "DELETE" -> delete(name, done, TRIES);
      default -> done.accept(error(405, "GET, PUT and DELETE are served"));
    }
  }

  private void checked(ObjectNode m) throws Refused {
    Definition d = Definition.of(m);
    d.check(Instant.ofEpochMilli(loop.wallMillis()), schedules.days());
    String never = intake.neverRuns(d.spec(new JobId("job-0")));
    if (never != null) {
      throw new Refused(422, "job", "it can never run: " + never);
    }
    if (Cbor.bytes(m).length > settings.stateLimits().valueBytes() / 4) {
      throw new Refused(422, "job", "the description is too long");
    }
  }

  private static ObjectNode kept(ObjectNode m) {
    ObjectNode d = m.deepCopy();
    d.remove(List.of("name", "version"));
    return d;
  }

  private void create(ObjectNode m, Consumer<Answer> done) throws Refused {
    String name = m.path("name").asText("");
    if (!name.matches(NAME)) {
      throw new Refused(400, "name", "must be lower case letters, digits and hyphens, at most 63");
    }
    String closed = intake.closed();
    if (!schedules.ready() || closed != null) {
      done.accept(error(503, closed == null ? "the schedules are not read yet" : closed));
      return;
    }
    OwnedEntity own = membership.own();
    if (schedules.count() >= MOST_SCHEDULES) {
      done.accept(error(429, "there are " + MOST_SCHEDULES + " schedules already"));
      return;
    }
    checked(m);
    String uid = new UUID(random.nextLong(), random.nextLong()).toString();
    ScheduleRow row = ScheduleRow.fresh(name, kept(m), own.entity(), uid, loop.wallMillis());
    Futures.logFailure(
        Tombstones.creation(store, own::fenced, row.key(), row.value())
            .thenCompose(store::settle)
            .whenComplete(
                (outcome, failure) -> {
                  if (failure != null) {
                    done.accept(error(503, "the state service does not answer"));
                  } else if (outcome.applied()) {
                    LOG.info("schedule {} created: {}", name, m.path("due").asText());
                    done.accept(json(201, shown(row)));
                  } else if (!outcome.failed().contains(row.key())) {
                    done.accept(error(503, "the entity or what was deleted has changed"));
                  } else {
                    read(
                        name,
                        done,
                        found ->
                            done.accept(
                                found.uid().equals(uid)
                                    ? json(201, shown(found))
                                    : error(409, "the schedule exists already")));
                  }
                }),
        "create a schedule");
  }

  private void read(String name, Consumer<Answer> done, Consumer<ScheduleRow> then) {
    String key = ScheduleRow.ROWS + name;
    Futures.logFailure(
        store
            .getForUser(key)
            .whenComplete(
                (entry, failure) -> {
                  if (failure != null) {
                    boolean busy = Unavailable.of(failure).status() == 429;
                    done.accept(error(busy ? 429 : 503, "the state service cannot be asked now"));
                  } else if (entry.value() == null) {
                    done.accept(error(404, "there is no such schedule"));
                  } else {
                    then.accept(ScheduleRow.of(key, entry.value(), entry.stamp()));
                  }
                }),
        "list schedules");
  }

  /** A change takes effect when it is stored: older due times that have no run yet get none. */
  private void replace(String name, ObjectNode m, Consumer<Answer> done) throws Refused {
    if (!m.path("version").isIntegralNumber()) {
      throw new Refused(400, "version", "must be the version that is to be changed");
    }
    if (m.has("name") && !m.get("name").asText().equals(name)) {
      throw new Refused(422, "name", "is not the name in the request's path");
    }
    if (machineTypes.isEmpty()) {
      done.accept(error(503, "the machine types are not known yet"));
      return;
    }
    checked(m);
    int version = m.get("version").asInt();
    change(
        name,
        done,
        row ->
            row.version() != version
                ? null
                : row.with(
                    v -> {
                      v.set("def", kept(m));
                      v.put("version", version + 1);
                      v.put("cursor", Math.max(row.cursorMs(), loop.wallMillis()));
                    }),
        TRIES);
  }

  /** While it is paused nothing is due, and what would have been is not made up. */
  private void pause(String name, boolean paused, Consumer<Answer> done) {
    change(
        name,
        done,
        row ->
            row.paused() == paused
                ? row
                : row.with(
                    v -> {
                      v.put("paused", paused);
                      v.put("cursor", Math.max(row.cursorMs(), loop.wallMillis()));
                    }),
        TRIES);
  }

  private void change(
      String name, Consumer<Answer> done, Function<ScheduleRow, ScheduleRow> change, int tries) {
    read(
        name,
        done,
        row -> {
          ScheduleRow next = change.apply(row);
          if (next == null || tries == 0) {
            done.accept(
                error(409, "the schedule has been changed; its version is " + row.version()));
            return;
          }
          if (next == row) {
            done.accept(json(200, shown(row)));
            return;
          }
          Futures.logFailure(
              store
                  .settle(new Txn().when(row.key(), row.stamp()).set(row.key(), next.value()))
                  .whenComplete(
                      (outcome, failure) -> {
                        if (failure != null) {
                          done.accept(error(503, "the state service does not answer"));
                        } else if (outcome.applied()) {
                          done.accept(json(200, shown(next)));
                        } else {
                          // A firing came first, or an earlier try of this change: it is made anew.
                          again(name, done, change, tries - 1, next);
                        }
                      }),
              "change a schedule");
        });
  }

  private void again(
      String name,
      Consumer<Answer> done,
      Function<ScheduleRow, ScheduleRow> change,
      int tries,
      ScheduleRow sent) {
    read(
        name,
        done,
        row -> {
          boolean stored =
              row.version() == sent.version()
                  && row.paused() == sent.paused()
                  && row.definition().equals(sent.definition());
          if (stored) {
            done.accept(json(200, shown(row)));
          } else {
            change(name, done, change, tries);
          }
        });
  }

  /** Runs under way go on as ordinary jobs; the blocks of the history go with the schedule. */
  private void delete(String name, Consumer<Answer> done, int tries) {
    read(
        name,
        done,
        row ->
            Futures.logFailure(
                store
                    .settle(
                        Tombstones.mark(
                            new Txn().when(row.key(), row.stamp()).drop(row.key()),
                            row.key(),
                            loop.wallMillis()))
                    .whenComplete(
                        (outcome, failure) -> {
                          if (failure != null) {
                            done.accept(error(503, "the state service does not answer"));
                          } else if (outcome.applied()) {
                            LOG.info("schedule {} deleted", name);
                            blocks(row)
                                .forEach(
                                    k ->
                                        Futures.logFailure(
                                            store.settleLast(new Txn().drop(k)),
                                            "delete a block of a schedule's history"));
                            done.accept(json(200, Cbor.map().put("deleted", name)));
                          } else if (tries > 0) {
                            delete(name, done, tries - 1);
                          } else {
                            done.accept(error(503, "the schedule is being changed"));
                          }
                        }),
                "delete a schedule"));
  }

  private static List<String> blocks(ScheduleRow row) {
    List<String> keys = new ArrayList<>();
    int count = row.value().path("blocks").asInt();
    for (int i = Math.max(0, count - Firing.MOST_BLOCKS); i < count; i++) {
      keys.add(row.blockKey(i));
    }
    return keys;
  }

  /**
   * All that is kept of ended runs; a block that cannot be read is named, never taken for empty.
   */
  private void history(ScheduleRow row, Consumer<Answer> done) {
    List<String> keys = blocks(row);
    List<CompletableFuture<JsonNode>> reads = new ArrayList<>();
    keys.forEach(k -> reads.add(store.getForUser(k).thenApply(e -> e.value())));
    Futures.logFailure(
        CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
            .whenComplete(
                (nothing, failure) -> {
                  if (failure != null) {
                    done.accept(error(429, "the history cannot be read now: too many requests"));
                    return;
                  }
                  ObjectNode m = Cbor.map().put("name", row.name());
                  ArrayNode torn = m.putArray("torn");
                  ArrayNode runs = m.putArray("runs");
                  for (int i = 0; i < keys.size(); i++) {
                    try {
                      JsonNode block = reads.get(i).join();
                      if (block == null) {
                        throw new Archive.Torn("the block is missing");
                      }
                      Archive.unpack(block).forEach(r -> runs.add(readable(r)));
                    } catch (Archive.Torn e) {
                      torn.addObject().put("block", keys.get(i)).put("error", e.getMessage());
                    }
                  }
                  row.past().forEach(r -> runs.add(readable(r)));
                  done.accept(json(200, m));
                }),
        "read a schedule's history");
  }

  /** Rows and blocks hold moments as numbers, people read them as times. */
  private static JsonNode readable(JsonNode run) {
    ObjectNode m = Cbor.map();
    run.properties()
        .forEach(
            e -> {
              boolean moment = MOMENTS.contains(e.getKey()) && e.getValue().isNumber();
              if (moment) {
                m.put(e.getKey(), Instant.ofEpochMilli(e.getValue().asLong()).toString());
              } else {
                m.set(e.getKey(), e.getValue().isObject() ? readable(e.getValue()) : e.getValue());
              }
            });
    return m;
  }

  private void list(String query, Consumer<Answer> done) {
    String after = query.startsWith("after=") ? query.substring(6) : "";
    if (!after.isEmpty() && !after.matches(NAME)) {
      done.accept(error(400, "after: is no name"));
      return;
    }
    Futures.logFailure(
        store
            .pageForUser(ScheduleRow.ROWS, after.isEmpty() ? "" : ScheduleRow.ROWS + after, PAGE)
            .whenComplete(
                (page, failure) -> {
                  if (failure != null) {
                    done.accept(error(503, "the state service cannot be asked now"));
                    return;
                  }
                  ObjectNode m = Cbor.map();
                  ArrayNode all = m.putArray("schedules");
                  page.entries()
                      .forEach(e -> all.add(shown(ScheduleRow.of(e.key(), e.value(), e.stamp()))));
                  if (page.more()) {
                    m.put("after", all.get(all.size() - 1).path("name").asText());
                  }
                  done.accept(json(200, m));
                }),
        "read a schedule");
  }

  /** Reports that stand at the entities held here. */
  private void reports(Consumer<Answer> done) {
    ObjectNode m = Cbor.map();
    ArrayNode all = m.putArray("reports");
    for (ScheduleRow row : schedules.reported()) {
      for (Run run : row.runs()) {
        if (run.open()) {
          all.add(shownRun(row, run).put("schedule", row.name()));
        }
      }
    }
    done.accept(json(200, m));
  }

  private ObjectNode shown(ScheduleRow row) {
    ObjectNode m = Cbor.map().put("name", row.name()).put("version", row.version());
    row.definition().properties().forEach(e -> m.set(e.getKey(), e.getValue()));
    m.put("paused", row.paused()).put("entity", row.entity().value());
    m.put("settled", Instant.ofEpochMilli(row.cursorMs()).toString());
    try {
      Instant next =
          row.paused()
              ? null
              : Definition.of(row.definition())
                  .next(Instant.ofEpochMilli(row.cursorMs()), schedules.days());
      m.put("next", next == null ? null : next.toString());
    } catch (Refused e) {
      m.put("error", e.getMessage());
    }
    ArrayNode runs = m.putArray("runs");
    row.runs().forEach(run -> runs.add(shownRun(row, run)));
    return m;
  }

  private static ObjectNode shownRun(ScheduleRow row, Run run) {
    ObjectNode m = Cbor.map().put("due", Instant.ofEpochMilli(run.dueMs()).toString());
    m.put("job", ScheduleRow.runId(row.uid(), run.dueMs()).value());
    long deadline = run.dueMs() + (long) (1000 * row.definition().path("deadline_s").asDouble());
    m.put("deadline", Instant.ofEpochMilli(deadline).toString());
    if (run.report() != null) {
      ObjectNode r = m.putObject("report");
      r.put("first", Instant.ofEpochMilli(run.report().path("at").asLong()).toString());
      r.put("foreseen", Instant.ofEpochMilli(run.report().path("done").asLong()).toString());
      r.put("withdrawn", run.report().path("withdrawn").asBoolean());
    }
    return m;
  }

  private void calendar(String method, String name, byte[] body, Consumer<Answer> done)
      throws KubeJson.Malformed, Refused {
    if (!name.matches(NAME)) {
      done.accept(error(404, "no such path"));
      return;
    }
    String key = ScheduleRow.DAYS + name;
    Txn txn = new Txn();
    switch (method) {
      case "GET" -> {
        var dates = schedules.days().named(name);
        if (dates == null) {
          done.accept(error(404, "no days are kept under this name"));
        } else {
          ObjectNode m = Cbor.map().put("name", name);
          dates.stream().sorted().forEach(d -> m.withArray("dates").add(d.toString()));
          done.accept(json(200, m));
        }
        return;
      }
      case "PUT" -> txn.set(key, dates(KubeJson.parse(body)));
      case "DELETE" -> txn.drop(key);
      default -> {
        done.accept(error(405, "GET, PUT and DELETE are served"));
        return;
      }
    }
    // The same again does no harm: whole sets of days replace one another.
    Futures.logFailure(
        store
            .txn(txn)
            .whenComplete(
                (outcome, failure) ->
                    done.accept(
                        failure != null
                            ? error(503, "the days could not be stored")
                            : json(200, Cbor.map().put("name", name)))),
        "look a run's job up");
  }

  private static ObjectNode dates(ObjectNode m) throws Refused {
    if (m.size() != 1 || !m.path("dates").isArray()) {
      throw new Refused(400, "dates", "must be the only field, and a list");
    }
    if (m.get("dates").size() > MOST_DATES) {
      throw new Refused(422, "dates", "must be at most " + MOST_DATES);
    }
    for (JsonNode d : m.get("dates")) {
      try {
        LocalDate.parse(d.asText());
      } catch (DateTimeException e) {
        throw new Refused(400, "dates", "'" + d.asText() + "' is no date");
      }
    }
    return m;
  }
}
