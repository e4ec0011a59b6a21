package io.violetrail.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.net.Service;
import io.violetrail.wire.Cbor;
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
  private final List<ObjectNode> log = new ArrayList<>();
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

  private long revision;
  private long lastLease;

  FakeState(World world) {
    this.world = world;
  }

  public JsonNode value(String key) {
    Entry e = keys.get(key);
    return e == null ? null : e.value();
  }

  /** A row that is there without anybody's having written it. */
  void put(String key, JsonNode value) {
    keys.put(key, new Entry(value, ++revision, 0));
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
      log.add(Cbor.map().put("drop", key).put("stamp", revision));
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
        leases.put(++lastLease, l);
        world.at(l.ttl + 0.05, this::expire);
        done.accept(Answer.of(200, Cbor.map().put("hold", lastLease)));
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
        if (entries.size() == most) {
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
        keys.put(key, new Entry(w.get("v"), revision, w.path("hold").asLong()));
        ObjectNode change = Cbor.map().put("set", key).put("stamp", revision);
        change.set("v", w.get("v"));
        log.add(change);
      }
    }
    done.accept(Answer.of(200, Cbor.map().put("epoch", revision)));
    tell();
  }

  private void watch(String path, Consumer<Answer> done) {
    Watch w = new Watch();
    w.prefix = parameter(path, "under");
    w.after = Long.parseLong(parameter(path, "after"));
    w.done = done;
    watches.add(w);
    world.at(
        Double.parseDouble(parameter(path, "block_ms")) / 1000,
        () -> {
          if (watches.remove(w)) {
            done.accept(answer(w));
          }
        });
    tell();
  }

  private Answer answer(Watch w) {
    ObjectNode m = Cbor.map().put("epoch", revision);
    var list = m.putArray("log");
    for (ObjectNode change : log) {
      String key = change.has("set") ? change.get("set").asText() : change.get("drop").asText();
      if (change.get("stamp").asLong() > w.after && key.startsWith(w.prefix)) {
        list.add(change);
      }
    }
    return Answer.of(200, m);
  }

  private void tell() {
    if (down) {
      return;
    }
    for (Watch w : List.copyOf(watches)) {
      Answer a = answer(w);
      try {
        if (!Cbor.parse(a.body()).get("log").isEmpty()) {
          watches.remove(w);
          w.done.accept(a);
        }
      } catch (Cbor.Malformed e) {
        throw new IllegalStateException(e);
      }
    }
  }
}
