package io.violetrail.calendar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.api.JobAdmission;
import io.violetrail.calendar.ScheduleDefinition.InvalidDefinitionException;
import io.violetrail.calendar.ScheduleRow.Run;
import io.violetrail.config.Settings;
import io.violetrail.errors.RequestFailedException;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.model.JobId;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.net.RequestHandler;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.state.StateStore;
import io.violetrail.state.Tombstones;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.kubernetes.KubernetesJson;
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
public final class ScheduleApi implements RequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger(ScheduleApi.class);
  private static final String SCHEDULES_PATH = "/schedules";
  private static final String CALENDARS_PATH = "/calendars/";
  private static final String NAME_PATTERN = "[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?";
  private static final int PAGE_SIZE = 200;
  private static final int MAX_ATTEMPTS = 5;
  private static final int MAX_DATES = 600;
  private static final Set<String> TIMESTAMP_FIELDS =
      Set.of("due", "last", "fired", "done", "at", "said");

  /** Schedules of all controllers together: a takeover reads them all. */
  static final int MAX_SCHEDULES = 20_000;

  private final EventLoop loop;
  private final Random random;
  private final Settings settings;
  private final StateStore store;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final JobAdmission jobAdmission;
  private final ScheduleRegistry scheduleRegistry;

  /** Serves what is stored, and what the schedules here know. */
  public ScheduleApi(
      EventLoop loop,
      Random random,
      Settings settings,
      StateStore store,
      Membership membership,
      MachineTypes machineTypes,
      JobAdmission jobAdmission,
      ScheduleRegistry scheduleRegistry) {
    this.loop = loop;
    this.random = random;
    this.settings = settings;
    this.store = store;
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.jobAdmission = jobAdmission;
    this.scheduleRegistry = scheduleRegistry;
  }

  /** Whether a path is served here. */
  public static boolean servesPath(String path) {
    return path.startsWith(SCHEDULES_PATH)
        || path.startsWith(CALENDARS_PATH)
        || path.equals("/reports");
  }

  private static HttpAnswer jsonAnswer(int httpStatus, JsonNode body) {
    return new HttpAnswer(
        httpStatus, KubernetesJson.toBytes(body), httpStatus == 503 ? 1 : 0, "application/json");
  }

  private static HttpAnswer errorAnswer(int httpStatus, String reason) {
    return jsonAnswer(httpStatus, Cbor.newMap().put("error", reason));
  }

  @Override
  public void handle(String method, String target, byte[] body, Consumer<HttpAnswer> responder) {
    int queryStart = target.indexOf('?');
    String path = queryStart < 0 ? target : target.substring(0, queryStart);
    try {
      if (path.equals("/reports")) {
        listReports(responder);
      } else if (path.startsWith(CALENDARS_PATH)) {
        handleCalendar(method, path.substring(CALENDARS_PATH.length()), body, responder);
      } else {
        route(
            method, path, queryStart < 0 ? "" : target.substring(queryStart + 1), body, responder);
      }
    } catch (KubernetesJson.MalformedRequestException exception) {
      responder.accept(
          errorAnswer(
              400,
              (exception.path().isEmpty() ? "" : exception.path() + ": ")
                  + exception.getMessage()));
    } catch (InvalidDefinitionException exception) {
      responder.accept(errorAnswer(exception.httpStatus(), exception.getMessage()));
    }
  }

  private void route(
      String method, String path, String query, byte[] body, Consumer<HttpAnswer> responder)
      throws KubernetesJson.MalformedRequestException, InvalidDefinitionException {
    String[] segments = path.split("/", -1);
    if (segments.length == 2 && segments[1].equals("schedules")) {
      if (method.equals("POST")) {
        createSchedule(KubernetesJson.parse(body), responder);
      } else if (method.equals("GET")) {
        listSchedules(query, responder);
      } else {
        responder.accept(errorAnswer(405, "GET and POST are served"));
      }
    } else if (segments.length > 4 || segments.length < 3 || !segments[2].matches(NAME_PATTERN)) {
      responder.accept(errorAnswer(404, "no such path"));
    } else if (segments.length == 4 && method.equals("GET") && segments[3].equals("history")) {
      readSchedule(segments[2], responder, row -> showHistory(row, responder));
    } else if (segments.length == 4
        && method.equals("POST")
        && segments[3].matches("pause|resume")) {
      setPaused(segments[2], segments[3].equals("pause"), responder);
    } else if (segments.length == 4) {
      responder.accept(errorAnswer(404, "no such path"));
    } else {
      handleSchedule(method, segments[2], body, responder);
    }
  }

  private void handleSchedule(
      String method, String name, byte[] body, Consumer<HttpAnswer> responder)
      throws KubernetesJson.MalformedRequestException, InvalidDefinitionException {
    switch (method) {
      case "GET" ->
          readSchedule(name, responder, row -> responder.accept(jsonAnswer(200, toJson(row))));
      case "PUT" -> replaceSchedule(name, KubernetesJson.parse(body), responder);
      case "DELETE" -> deleteSchedule(name, responder, MAX_ATTEMPTS);
      default -> responder.accept(errorAnswer(405, "GET, PUT and DELETE are served"));
    }
  }

  private void validateDefinition(ObjectNode json) throws InvalidDefinitionException {
    ScheduleDefinition scheduleDefinition = ScheduleDefinition.parse(json);
    scheduleDefinition.validate(
        Instant.ofEpochMilli(loop.wallMillis()), scheduleRegistry.dayCalendar());
    String reasonNeverRuns =
        jobAdmission.findImpossibleReason(scheduleDefinition.toJobSpec(new JobId("job-0")));
    if (reasonNeverRuns != null) {
      throw new InvalidDefinitionException(422, "job", "it can never run: " + reasonNeverRuns);
    }
    if (Cbor.encode(json).length > settings.stateStoreLimits().maxValueBytes() / 4) {
      throw new InvalidDefinitionException(422, "job", "the description is too long");
    }
  }

  private static ObjectNode toStoredDefinition(ObjectNode json) {
    ObjectNode definition = json.deepCopy();
    definition.remove(List.of("name", "version"));
    return definition;
  }

  private void createSchedule(ObjectNode json, Consumer<HttpAnswer> responder)
      throws InvalidDefinitionException {
    String name = json.path("name").asText("");
    if (!name.matches(NAME_PATTERN)) {
      throw new InvalidDefinitionException(
          400, "name", "must be lower case letters, digits and hyphens, at most 63");
    }
    String closedReason = jobAdmission.findClosedReason();
    if (!scheduleRegistry.isReady() || closedReason != null) {
      responder.accept(
          errorAnswer(503, closedReason == null ? "the schedules are not read yet" : closedReason));
      return;
    }
    OwnedEntity ownEntity = membership.findHomeEntity();
    if (scheduleRegistry.scheduleCount() >= MAX_SCHEDULES) {
      responder.accept(errorAnswer(429, "there are " + MAX_SCHEDULES + " schedules already"));
      return;
    }
    validateDefinition(json);
    String uid = new UUID(random.nextLong(), random.nextLong()).toString();
    ScheduleRow row =
        ScheduleRow.create(name, toStoredDefinition(json), ownEntity.id(), uid, loop.wallMillis());
    Futures.logFailure(
        Tombstones.draftCreation(store, ownEntity::fencedTransaction, row.key(), row.value())
            .thenCompose(store::commit)
            .whenComplete(
                (outcome, failure) -> {
                  if (failure != null) {
                    responder.accept(errorAnswer(503, "the state service does not answer"));
                  } else if (outcome.applied()) {
                    LOG.info("schedule {} created: {}", name, json.path("due").asText());
                    responder.accept(jsonAnswer(201, toJson(row)));
                  } else if (!outcome.failedKeys().contains(row.key())) {
                    responder.accept(
                        errorAnswer(503, "the entity or what was deleted has changed"));
                  } else {
                    readSchedule(
                        name,
                        responder,
                        found ->
                            responder.accept(
                                found.uid().equals(uid)
                                    ? jsonAnswer(201, toJson(found))
                                    : errorAnswer(409, "the schedule exists already")));
                  }
                }),
        "create a schedule");
  }

  private void readSchedule(
      String name, Consumer<HttpAnswer> responder, Consumer<ScheduleRow> onFound) {
    String key = ScheduleRow.KEY_PREFIX + name;
    Futures.logFailure(
        store
            .getForUser(key)
            .whenComplete(
                (entry, failure) -> {
                  if (failure != null) {
                    boolean busy = RequestFailedException.from(failure).isRateLimited();
                    responder.accept(
                        errorAnswer(busy ? 429 : 503, "the state service cannot be asked now"));
                  } else if (entry.value() == null) {
                    responder.accept(errorAnswer(404, "there is no such schedule"));
                  } else {
                    onFound.accept(ScheduleRow.fromRow(key, entry.value(), entry.modRevision()));
                  }
                }),
        "list schedules");
  }

  /** A change takes effect when it is stored: older due times that have no run yet get none. */
  private void replaceSchedule(String name, ObjectNode json, Consumer<HttpAnswer> responder)
      throws InvalidDefinitionException {
    if (!json.path("version").isIntegralNumber()) {
      throw new InvalidDefinitionException(
          400, "version", "must be the version that is to be changed");
    }
    if (json.has("name") && !json.get("name").asText().equals(name)) {
      throw new InvalidDefinitionException(422, "name", "is not the name in the request's path");
    }
    if (machineTypes.isEmpty()) {
      responder.accept(errorAnswer(503, "the machine types are not known yet"));
      return;
    }
    validateDefinition(json);
    int version = json.get("version").asInt();
    updateSchedule(
        name,
        responder,
        row ->
            row.version() != version
                ? null
                : row.withChange(
                    changed -> {
                      changed.set("def", toStoredDefinition(json));
                      changed.put("version", version + 1);
                      changed.put("cursor", Math.max(row.cursorMillis(), loop.wallMillis()));
                    }),
        MAX_ATTEMPTS);
  }

  /** While it is paused nothing is due, and what would have been is not made up. */
  private void setPaused(String name, boolean paused, Consumer<HttpAnswer> responder) {
    updateSchedule(
        name,
        responder,
        row ->
            row.isPaused() == paused
                ? row
                : row.withChange(
                    changed -> {
                      changed.put("paused", paused);
                      changed.put("cursor", Math.max(row.cursorMillis(), loop.wallMillis()));
                    }),
        MAX_ATTEMPTS);
  }

  private void updateSchedule(
      String name,
      Consumer<HttpAnswer> responder,
      Function<ScheduleRow, ScheduleRow> change,
      int attemptsLeft) {
    readSchedule(
        name,
        responder,
        row -> {
          ScheduleRow next = change.apply(row);
          if (next == null || attemptsLeft == 0) {
            responder.accept(
                errorAnswer(409, "the schedule has been changed; its version is " + row.version()));
            return;
          }
          if (next == row) {
            responder.accept(jsonAnswer(200, toJson(row)));
            return;
          }
          Futures.logFailure(
              store
                  .commit(
                      new Transaction()
                          .ifRevision(row.key(), row.modRevision())
                          .put(row.key(), next.value()))
                  .whenComplete(
                      (outcome, failure) -> {
                        if (failure != null) {
                          responder.accept(errorAnswer(503, "the state service does not answer"));
                        } else if (outcome.applied()) {
                          responder.accept(jsonAnswer(200, toJson(next)));
                        } else {
                          // A firing came first, or an earlier try of this change: it is made anew.
                          retryUpdate(name, responder, change, attemptsLeft - 1, next);
                        }
                      }),
              "change a schedule");
        });
  }

  private void retryUpdate(
      String name,
      Consumer<HttpAnswer> responder,
      Function<ScheduleRow, ScheduleRow> change,
      int attemptsLeft,
      ScheduleRow sent) {
    readSchedule(
        name,
        responder,
        row -> {
          boolean stored =
              row.version() == sent.version()
                  && row.isPaused() == sent.isPaused()
                  && row.definition().equals(sent.definition());
          if (stored) {
            responder.accept(jsonAnswer(200, toJson(row)));
          } else {
            updateSchedule(name, responder, change, attemptsLeft);
          }
        });
  }

  /** Runs under way go on as ordinary jobs; the blocks of the history go with the schedule. */
  private void deleteSchedule(String name, Consumer<HttpAnswer> responder, int attemptsLeft) {
    readSchedule(
        name,
        responder,
        row ->
            Futures.logFailure(
                store
                    .commit(
                        Tombstones.markDeletion(
                            new Transaction()
                                .ifRevision(row.key(), row.modRevision())
                                .delete(row.key()),
                            row.key(),
                            loop.wallMillis()))
                    .whenComplete(
                        (outcome, failure) -> {
                          if (failure != null) {
                            responder.accept(errorAnswer(503, "the state service does not answer"));
                          } else if (outcome.applied()) {
                            LOG.info("schedule {} deleted", name);
                            historyBlockKeys(row)
                                .forEach(
                                    k ->
                                        Futures.logFailure(
                                            store.commitInBackground(new Transaction().delete(k)),
                                            "delete a block of a schedule's history"));
                            responder.accept(jsonAnswer(200, Cbor.newMap().put("deleted", name)));
                          } else if (attemptsLeft > 0) {
                            deleteSchedule(name, responder, attemptsLeft - 1);
                          } else {
                            responder.accept(errorAnswer(503, "the schedule is being changed"));
                          }
                        }),
                "delete a schedule"));
  }

  private static List<String> historyBlockKeys(ScheduleRow row) {
    List<String> keys = new ArrayList<>();
    int count = row.value().path("blocks").asInt();
    for (int i = Math.max(0, count - ScheduleTrigger.MAX_HISTORY_BLOCKS); i < count; i++) {
      keys.add(row.blockKey(i));
    }
    return keys;
  }

  /**
   * All that is kept of ended runs; a block that cannot be read is named, never taken for empty.
   */
  private void showHistory(ScheduleRow row, Consumer<HttpAnswer> responder) {
    List<String> keys = historyBlockKeys(row);
    List<CompletableFuture<JsonNode>> reads = new ArrayList<>();
    keys.forEach(k -> reads.add(store.getForUser(k).thenApply(e -> e.value())));
    Futures.logFailure(
        CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
            .whenComplete(
                (nothing, failure) -> {
                  if (failure != null) {
                    responder.accept(
                        errorAnswer(429, "the history cannot be read now: too many requests"));
                    return;
                  }
                  ObjectNode json = Cbor.newMap().put("name", row.name());
                  ArrayNode torn = json.putArray("torn");
                  ArrayNode runs = json.putArray("runs");
                  for (int i = 0; i < keys.size(); i++) {
                    try {
                      JsonNode block = reads.get(i).join();
                      if (block == null) {
                        throw new RunHistoryCodec.CorruptBlockException("the block is missing");
                      }
                      RunHistoryCodec.decode(block)
                          .forEach(r -> runs.add(withReadableTimestamps(r)));
                    } catch (RunHistoryCodec.CorruptBlockException exception) {
                      torn.addObject()
                          .put("block", keys.get(i))
                          .put("error", exception.getMessage());
                    }
                  }
                  row.endedRuns().forEach(r -> runs.add(withReadableTimestamps(r)));
                  responder.accept(jsonAnswer(200, json));
                }),
        "read a schedule's history");
  }

  /** Rows and blocks hold moments as numbers, people read them as times. */
  private static JsonNode withReadableTimestamps(JsonNode run) {
    ObjectNode json = Cbor.newMap();
    run.properties()
        .forEach(
            entry -> {
              boolean moment =
                  TIMESTAMP_FIELDS.contains(entry.getKey()) && entry.getValue().isNumber();
              if (moment) {
                json.put(
                    entry.getKey(), Instant.ofEpochMilli(entry.getValue().asLong()).toString());
              } else {
                json.set(
                    entry.getKey(),
                    entry.getValue().isObject()
                        ? withReadableTimestamps(entry.getValue())
                        : entry.getValue());
              }
            });
    return json;
  }

  private void listSchedules(String query, Consumer<HttpAnswer> responder) {
    String after = query.startsWith("after=") ? query.substring(6) : "";
    if (!after.isEmpty() && !after.matches(NAME_PATTERN)) {
      responder.accept(errorAnswer(400, "after: is no name"));
      return;
    }
    Futures.logFailure(
        store
            .pageForUser(
                ScheduleRow.KEY_PREFIX,
                after.isEmpty() ? "" : ScheduleRow.KEY_PREFIX + after,
                PAGE_SIZE)
            .whenComplete(
                (page, failure) -> {
                  if (failure != null) {
                    responder.accept(errorAnswer(503, "the state service cannot be asked now"));
                    return;
                  }
                  ObjectNode json = Cbor.newMap();
                  ArrayNode schedules = json.putArray("schedules");
                  page.entries()
                      .forEach(
                          e ->
                              schedules.add(
                                  toJson(
                                      ScheduleRow.fromRow(e.key(), e.value(), e.modRevision()))));
                  if (page.more()) {
                    json.put("after", schedules.get(schedules.size() - 1).path("name").asText());
                  }
                  responder.accept(jsonAnswer(200, json));
                }),
        "read a schedule");
  }

  /** Reports that stand at the entities held here. */
  private void listReports(Consumer<HttpAnswer> responder) {
    ObjectNode json = Cbor.newMap();
    ArrayNode reports = json.putArray("reports");
    for (ScheduleRow row : scheduleRegistry.findSchedulesWithOpenReports()) {
      for (Run run : row.openRuns()) {
        if (run.hasOpenReport()) {
          reports.add(runToJson(row, run).put("schedule", row.name()));
        }
      }
    }
    responder.accept(jsonAnswer(200, json));
  }

  private ObjectNode toJson(ScheduleRow row) {
    ObjectNode json = Cbor.newMap().put("name", row.name()).put("version", row.version());
    row.definition().properties().forEach(e -> json.set(e.getKey(), e.getValue()));
    json.put("paused", row.isPaused()).put("entity", row.entity().value());
    json.put("settled", Instant.ofEpochMilli(row.cursorMillis()).toString());
    try {
      Instant next =
          row.isPaused()
              ? null
              : ScheduleDefinition.parse(row.definition())
                  .findNextDue(
                      Instant.ofEpochMilli(row.cursorMillis()), scheduleRegistry.dayCalendar());
      json.put("next", next == null ? null : next.toString());
    } catch (InvalidDefinitionException exception) {
      json.put("error", exception.getMessage());
    }
    ArrayNode runs = json.putArray("runs");
    row.openRuns().forEach(run -> runs.add(runToJson(row, run)));
    return json;
  }

  private static ObjectNode runToJson(ScheduleRow row, Run run) {
    ObjectNode json = Cbor.newMap().put("due", Instant.ofEpochMilli(run.dueMillis()).toString());
    json.put("job", ScheduleRow.runJobId(row.uid(), run.dueMillis()).value());
    long deadlineMillis =
        run.dueMillis() + (long) (1000 * row.definition().path("deadline_s").asDouble());
    json.put("deadline", Instant.ofEpochMilli(deadlineMillis).toString());
    if (run.report() != null) {
      ObjectNode report = json.putObject("report");
      report.put("first", Instant.ofEpochMilli(run.report().path("at").asLong()).toString());
      report.put("foreseen", Instant.ofEpochMilli(run.report().path("done").asLong()).toString());
      report.put("withdrawn", run.report().path("withdrawn").asBoolean());
    }
    return json;
  }

  private void handleCalendar(
      String method, String name, byte[] body, Consumer<HttpAnswer> responder)
      throws KubernetesJson.MalformedRequestException, InvalidDefinitionException {
    if (!name.matches(NAME_PATTERN)) {
      responder.accept(errorAnswer(404, "no such path"));
      return;
    }
    String key = ScheduleRow.CALENDAR_KEY_PREFIX + name;
    Transaction transaction = new Transaction();
    switch (method) {
      case "GET" -> {
        var dates = scheduleRegistry.dayCalendar().findNamedDays(name);
        if (dates == null) {
          responder.accept(errorAnswer(404, "no days are kept under this name"));
        } else {
          ObjectNode json = Cbor.newMap().put("name", name);
          dates.stream().sorted().forEach(d -> json.withArray("dates").add(d.toString()));
          responder.accept(jsonAnswer(200, json));
        }
        return;
      }
      case "PUT" -> transaction.put(key, validateDates(KubernetesJson.parse(body)));
      case "DELETE" -> transaction.delete(key);
      default -> {
        responder.accept(errorAnswer(405, "GET, PUT and DELETE are served"));
        return;
      }
    }
    // The same again does no harm: whole sets of days replace one another.
    Futures.logFailure(
        store
            .tryTransaction(transaction)
            .whenComplete(
                (outcome, failure) ->
                    responder.accept(
                        failure != null
                            ? errorAnswer(503, "the days could not be stored")
                            : jsonAnswer(200, Cbor.newMap().put("name", name)))),
        "look a run's job up");
  }

  private static ObjectNode validateDates(ObjectNode json) throws InvalidDefinitionException {
    if (json.size() != 1 || !json.path("dates").isArray()) {
      throw new InvalidDefinitionException(400, "dates", "must be the only field, and a list");
    }
    if (json.get("dates").size() > MAX_DATES) {
      throw new InvalidDefinitionException(422, "dates", "must be at most " + MAX_DATES);
    }
    for (JsonNode node : json.get("dates")) {
      try {
        LocalDate.parse(node.asText());
      } catch (DateTimeException exception) {
        throw new InvalidDefinitionException(400, "dates", "'" + node.asText() + "' is no date");
      }
    }
    return json;
  }
}
