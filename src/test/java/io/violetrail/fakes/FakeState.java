package io.violetrail.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.net.Budget;
import io.violetrail.net.Service;
import io.violetrail.wire.Cbor;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The state service by its protocol, in memory. */
public final class FakeState implements Service {
  private record Entry(JsonNode value, long stamp, long lease) {}

  /** One change as watches are told of it. */
  private record Logged(String key, long stamp, ObjectNode told) {}

  private static final class Watch {
    String prefix;
    long after;
    Consumer<Answer> done;
  }

  private static final class Lease {
    double ttl;
    double ends;
  }

  private final World world;
  private final TreeMap<String, Entry> keys = new TreeMap<>();
  private final ArrayDeque<Logged> log = new ArrayDeque<>();
  private final List<Watch> watches = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  public final Set<String> refusedFor = new HashSet<>();
  public boolean down;

  /** Transactions of these controllers get no answer, and are carried out so much later. */
  public final Map<String, Double> lateS = new HashMap<>();

  /** That share of these controllers' transactions is carried out, and only the answer is lost. */
  public final Map<String, Double> lostAcks = new HashMap<>();

  /** That share of these controllers' transactions is carried out 2 to 12 s later, unanswered. */
  public final Map<String, Double> lateShare = new HashMap<>();

  public int largestValue;

  /** Puts and deletes asked for, those of refused transactions included. */
  public int writes;

  /** Requests by kind, and puts and deletes by what the rows are for. */
  public final Map<String, Long> requestsByKind = new TreeMap<>();

  public final Map<String, Long> writesByUse = new TreeMap<>();

  /** Requests that were refused for the limits, which count only if {@link #limited}. */
  public int overLimit;

  /** Whether the limits of the settings are enforced, with bursts of a second's worth. */
  public boolean limited;

  private Budget requestBudget;
  private Budget writeBudget;

  /** Keys on a page of a listing; small, so that listings have more than one. */
  public int page = 5;

  private static final long NO_LEASE = -1;

  /** As many changes are kept for watches. */
  private static final int KEPT_CHANGES = 10_000;

  /** The highest revision whose change is no longer kept. */
  private long forgottenRevision;

  private long revision;

  /** Any number may name a lease, the first one too. */
  private long nextLease;

  FakeState(World world) {
    this.world = world;
  }

  public JsonNode value(String key) {
    Entry e = keys.get(key);
    return e == null ? null : e.value();
  }

  /** A row that is there without anybody's having written it. */
  public void put(String key, JsonNode value) {
    keys.put(key, new Entry(value, ++revision, NO_LEASE));
  }

  /** A row is gone without anybody's having dropped it. */
  void remove(String key) {
    revision++;
    drop(key);
    tell();
  }

  public Set<String> keys(String prefix) {
    return new HashSet<>(keys.subMap(prefix, prefix + "\uffff").keySet());
  }

  public void outage(boolean on) {
    down = on;
    if (!on) {
      leases.values().forEach(l -> l.ends = world.now() + l.ttl);
    }
  }

  private void expire() {
    if (down) {
      return;
    }
    for (var e : List.copyOf(leases.entrySet())) {
      if (e.getValue().ends <= world.now()) {
        leases.remove(e.getKey());
        List<String> gone =
            keys.entrySet().stream()
                .filter(k -> k.getValue().lease() == e.getKey())
                .map(Map.Entry::getKey)
                .toList();
        if (!gone.isEmpty()) {
          revision++;
          gone.forEach(this::drop);
          tell();
        }
      }
    }
  }

  private void drop(String key) {
    if (keys.remove(key) != null) {
      log(key, Cbor.map().put("drop", key));
    }
  }

  private void log(String key, ObjectNode told) {
    log.add(new Logged(key, revision, told.put("stamp", revision)));
    if (log.size() > KEPT_CHANGES) {
      forgottenRevision = log.poll().stamp();
    }
  }

  /** How long each answer takes; open watches are not concerned. */
  public double slowS;

  @Override
  public void handle(String method, String from, byte[] bytes, Consumer<Answer> told) {
    double slow = from.contains(" /changes") ? 0 : slowS;
    Consumer<Answer> done = slow == 0 ? told : a -> world.at(slow, () -> told.accept(a));
    String who = from.substring(0, from.indexOf(' '));
    String path = from.substring(from.indexOf(' ') + 1);
    expire();
    requestsByKind.merge(Traffic.kind(method, path), 1L, Long::sum);
    if (path.startsWith("/changes")) {
      watch(path, done);
      return;
    }
    if (down || refusedFor.contains(who)) {
      done.accept(Answer.error(503, "trouble"));
      return;
    }
    try {
      ObjectNode body = bytes == null || bytes.length == 0 ? Cbor.map() : Cbor.parse(bytes);
      if (!withinLimits(body)) {
        done.accept(Answer.error(429, "too many requests"));
        return;
      }
      if (path.startsWith("/keys/")) {
        get(path.substring(6), done);
      } else if (path.startsWith("/keys?")) {
        list(path, done);
      } else if (path.equals("/txn") && lateS.containsKey(who)) {
        world.at(lateS.get(who), () -> txn(body, nobody -> {}));
      } else if (path.equals("/txn") && chance(lateShare, who)) {
        world.at(2 + 10 * world.random.nextDouble(), () -> txn(body, nobody -> {}));
      } else if (path.equals("/txn") && chance(lostAcks, who)) {
        txn(body, nobody -> {});
      } else if (path.equals("/txn")) {
        txn(body, done);
      } else if (path.equals("/leases")) {
        Lease l = new Lease();
        l.ttl = body.get("life_ms").asLong() / 1000.0;
        l.ends = world.now() + l.ttl;
        leases.put(nextLease, l);
        world.at(l.ttl + 0.05, this::expire);
        done.accept(Answer.of(200, Cbor.map().put("hold", nextLease++)));
      } else {
        Lease l = leases.get(Long.parseLong(path.split("/")[2]));
        if (l != null) {
          l.ends = world.now() + l.ttl;
          world.at(l.ttl + 0.05, this::expire);
        }
        done.accept(l == null ? Answer.empty(404) : Answer.of(200, Cbor.map()));
      }
    } catch (Cbor.Malformed e) {
      done.accept(Answer.error(400, e.getMessage()));
    }
  }

  private boolean chance(Map<String, Double> shares, String who) {
    Double share = shares.get(who);
    return share != null && world.random.nextDouble() < share;
  }

  private void get(String key, Consumer<Answer> done) {
    Entry e = keys.get(key);
    done.accept(
        e == null
            ? Answer.of(404, Cbor.map().put("epoch", revision))
            : Answer.of(200, entry(key, e)));
  }

  private static ObjectNode entry(String key, Entry e) {
    ObjectNode m = Cbor.map().put("key", key).put("stamp", e.stamp());
    m.set("v", e.value());
    return m;
  }

  private static String parameter(String path, String name) {
    for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
      if (part.startsWith(name + "=")) {
        return part.substring(name.length() + 1);
      }
    }
    return "";
  }

  private void list(String path, Consumer<Answer> done) {
    String prefix = parameter(path, "under");
    String after = parameter(path, "after");
    int most = Integer.parseInt(parameter(path, "most"));
    ObjectNode m = Cbor.map().put("epoch", revision);
    var entries = m.putArray("entries");
    boolean more = false;
    for (var e : keys.tailMap(prefix).entrySet()) {
      if (!e.getKey().startsWith(prefix)) {
        break;
      }
      if (e.getKey().compareTo(after) > 0) {
        if (entries.size() == Math.min(most, page)) {
          more = true;
          break;
        }
        entries.add(entry(e.getKey(), e.getValue()));
      }
    }
    done.accept(Answer.of(200, m.put("truncated", more)));
  }

  private void txn(ObjectNode body, Consumer<Answer> done) {
    writes += body.path("writes").size();
    for (JsonNode w : body.path("writes")) {
      writesByUse.merge(use(w.path(w.has("set") ? "set" : "drop").asText()), 1L, Long::sum);
    }
    if (body.path("writes").size() > world.stateLimits.txnOps()
        || body.path("if").size() > 4 * world.stateLimits.txnOps()) {
      done.accept(Answer.error(400, "the transaction is too large"));
      return;
    }
    ObjectNode m = Cbor.map();
    var failed = m.putArray("failed");
    for (JsonNode c : body.path("if")) {
      Entry e = keys.get(c.get("key").asText());
      if ((e == null ? 0 : e.stamp()) != c.get("stamp").asLong()) {
        failed.add(c.get("key").asText());
      }
    }
    for (JsonNode w : body.path("writes")) {
      if (w.has("hold") && !leases.containsKey(w.get("hold").asLong())) {
        done.accept(Answer.error(400, "no such lease"));
        return;
      }
    }
    if (!failed.isEmpty()) {
      done.accept(Answer.of(409, m.put("epoch", revision)));
      return;
    }
    if (!body.path("writes").isEmpty()) {
      revision++;
    }
    for (JsonNode w : body.path("writes")) {
      if (w.has("drop")) {
        drop(w.get("drop").asText());
      } else {
        String key = w.get("set").asText();
        largestValue = Math.max(largestValue, w.get("v").toString().length());
        keys.put(key, new Entry(w.get("v"), revision, w.path("hold").asLong(NO_LEASE)));
        ObjectNode change = Cbor.map().put("set", key);
        change.set("v", w.get("v"));
        log(key, change);
      }
    }
    done.accept(Answer.of(200, Cbor.map().put("epoch", revision)));
    tell();
  }

  private void watch(String path, Consumer<Answer> done) {
    if (Long.parseLong(parameter(path, "after")) < forgottenRevision) {
      done.accept(Answer.error(410, "no longer kept"));
      return;
    }
    Watch w = new Watch();
    w.prefix = parameter(path, "under");
    w.after = Long.parseLong(parameter(path, "after"));
    w.done = done;
    watches.add(w);
    world.at(
        Double.parseDouble(parameter(path, "block_ms")) / 1000,
        () -> {
          if (watches.remove(w)) {
            done.accept(answer(changesFor(w), revision));
          }
        });
    tell();
  }

  private static Answer answer(List<ObjectNode> changes, long revision) {
    ObjectNode m = Cbor.map().put("epoch", revision);
    m.putArray("log").addAll(changes);
    return Answer.of(200, m);
  }

  /** What a watch has not been told yet, in the order of the revisions. */
  private List<ObjectNode> changesFor(Watch w) {
    ArrayDeque<ObjectNode> fresh = new ArrayDeque<>();
    for (var newestFirst = log.descendingIterator(); newestFirst.hasNext(); ) {
      Logged change = newestFirst.next();
      if (change.stamp() <= w.after) {
        break;
      }
      if (change.key().startsWith(w.prefix)) {
        fresh.addFirst(change.told());
      }
    }
    return List.copyOf(fresh);
  }

  private void tell() {
    if (down) {
      return;
    }
    for (Watch w : List.copyOf(watches)) {
      List<ObjectNode> fresh = changesFor(w);
      if (!fresh.isEmpty()) {
        watches.remove(w);
        w.done.accept(answer(fresh, revision));
      }
    }
  }

  private boolean withinLimits(ObjectNode body) {
    if (!limited) {
      return true;
    }
    if (requestBudget == null) {
      requestBudget = new Budget(world.stateLimits.rps(), world.stateLimits.rps(), world.now());
      writeBudget =
          new Budget(world.stateLimits.writeRps(), world.stateLimits.writeRps(), world.now());
    }
    boolean within =
        requestBudget.take(1, world.now())
            && writeBudget.take(body.path("writes").size(), world.now());
    overLimit += within ? 0 : 1;
    return within;
  }

  /** What a row is for, by its key. */
  private static String use(String key) {
    String[] part = key.split("/");
    String name = part[0].equals("c") && part.length > 1 ? part[1] : part[0];
    return switch (name) {
      case "job", "open", "end" -> "job " + name;
      case "progress" -> "task progress";
      case "block", "machine", "intake", "types", "hire" -> "machine " + name;
      case "slice" -> "team slice";
      case "entity", "alive" -> "move " + name;
      default -> name;
    };
  }
}
