package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of PROTOCOL, in memory. The tests stay far below its rate limits. */
final class StateService {
  private static final int KEPT_CHANGES = 10_000;

  private record Row(JsonNode value, long stamp, Long hold) {}

  private record Change(long stamp, String key, JsonNode value) {}

  private static final class Lease {
    final double lifeSeconds;
    double endsAt;

    Lease(double lifeSeconds) {
      this.lifeSeconds = lifeSeconds;
      this.endsAt = Kit.now() + lifeSeconds;
    }
  }

  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final double valueKb;
  private final int txnOps;
  private long epoch;
  private long lastLease;

  /** How long the answers to transactions are held up after they were carried out. */
  private volatile double txnAnswerDelay;

  private volatile String lostAnswerPrefix;

  StateService(int port, double valueKb, int txnOps) throws IOException {
    this.valueKb = valueKb;
    this.txnOps = txnOps;
    Kit.serve(port, this::handle);
    Thread reaper =
        new Thread(
            () -> {
              while (true) {
                expireLeases();
                Kit.sleep(0.02);
              }
            });
    reaper.setDaemon(true);
    reaper.start();
  }

  /** The answer to the next transaction that sets a key with this prefix is lost. */
  void loseAnswerToNext(String prefix) {
    lostAnswerPrefix = prefix;
  }

  private static boolean sets(ObjectNode message, String prefix) {
    for (JsonNode write : message.path("writes")) {
      if (write.path("set").asText("").startsWith(prefix)) {
        return true;
      }
    }
    return false;
  }

  void setTxnAnswerDelay(double seconds) {
    txnAnswerDelay = seconds;
  }

  /** Returns a copy of the value of a key, for the record; null if it does not exist. */
  synchronized String show(String key) {
    Row row = rows.get(key);
    return row == null ? null : row.value().toString();
  }

  synchronized List<String> keysUnder(String prefix) {
    return new ArrayList<>(rows.subMap(prefix, prefix + "\uffff").keySet());
  }

  private Kit.Reply handle(String method, String path, String query, byte[] body)
      throws Exception {
    if (path.equals("/txn")) {
      ObjectNode message = Kit.decode(body);
      Kit.Reply reply = transact(message);
      String prefix = lostAnswerPrefix;
      if (prefix != null && reply.status() == 200 && sets(message, prefix)) {
        lostAnswerPrefix = null;
        Kit.log("state: a transaction is carried out, its answer is lost: %s", message);
        Kit.sleep(10);
        return null;
      }
      double delay = txnAnswerDelay;
      if (delay > 0) {
        Kit.sleep(delay);
      }
      return reply;
    }
    if (path.equals("/keys")) {
      return list(query);
    }
    if (path.startsWith("/keys/")) {
      return get(path.substring("/keys/".length()));
    }
    if (path.equals("/changes")) {
      return watch(query);
    }
    if (path.equals("/leases")) {
      return grant(Kit.decode(body));
    }
    if (path.startsWith("/leases/")) {
      String rest = path.substring("/leases/".length());
      long id = Long.parseLong(rest.replace("/renew", ""));
      return method.equals("DELETE") ? endLease(id) : renew(id);
    }
    return new Kit.Reply(400, Kit.encode(Kit.map()));
  }

  private synchronized Kit.Reply get(String key) {
    Row row = rows.get(key);
    if (row == null) {
      return new Kit.Reply(404, Kit.encode(Kit.map().put("epoch", epoch)));
    }
    ObjectNode answer = Kit.map().put("key", key);
    answer.set("v", row.value());
    answer.put("stamp", row.stamp());
    if (row.hold() != null) {
      answer.put("hold", row.hold());
    }
    return Kit.ok(answer);
  }

  private synchronized Kit.Reply list(String query) {
    String under = Kit.queryValue(query, "under", "");
    String after = Kit.queryValue(query, "after", "");
    int most = Math.min(1000, Integer.parseInt(Kit.queryValue(query, "most", "1000")));
    ObjectNode answer = Kit.map();
    ArrayNode entries = answer.putArray("entries");
    boolean truncated = false;
    int bytes = 0;
    for (Map.Entry<String, Row> entry : rows.tailMap(under, true).entrySet()) {
      if (!entry.getKey().startsWith(under)) {
        break;
      }
      if (!after.isEmpty() && entry.getKey().compareTo(after) <= 0) {
        continue;
      }
      bytes += Kit.encode(entry.getValue().value()).length;
      if (entries.size() >= most || bytes > 400 * 1024) {
        truncated = true;
        break;
      }
      ObjectNode node = entries.addObject().put("key", entry.getKey());
      node.set("v", entry.getValue().value());
      node.put("stamp", entry.getValue().stamp());
    }
    answer.put("truncated", truncated).put("epoch", epoch);
    return Kit.ok(answer);
  }

  private synchronized Kit.Reply transact(ObjectNode message) {
    int sets = 0;
    for (JsonNode write : message.path("writes")) {
      sets++;
      if (write.has("set") && Kit.encode(write.path("v")).length > valueKb * 1024) {
        return new Kit.Reply(400, Kit.encode(Kit.map().put("error", "value too large")));
      }
      if (write.hasNonNull("hold") && !leases.containsKey(write.get("hold").asLong())) {
        return new Kit.Reply(400, Kit.encode(Kit.map().put("error", "no such lease")));
      }
    }
    if (sets > txnOps || message.path("if").size() > 4 * txnOps) {
      return new Kit.Reply(400, Kit.encode(Kit.map().put("error", "too many operations")));
    }
    ObjectNode refusal = Kit.map();
    ArrayNode failed = refusal.putArray("failed");
    for (JsonNode condition : message.path("if")) {
      Row row = rows.get(condition.path("key").asText());
      long stamp = row == null ? 0 : row.stamp();
      if (stamp != condition.path("stamp").asLong()) {
        failed.add(condition.path("key").asText());
      }
    }
    if (!failed.isEmpty()) {
      return new Kit.Reply(409, Kit.encode(refusal.put("epoch", epoch)));
    }
    if (sets > 0) {
      epoch++;
      for (JsonNode write : message.path("writes")) {
        if (write.has("set")) {
          String key = write.get("set").asText();
          Long hold = write.hasNonNull("hold") ? (Long) write.get("hold").asLong() : null;
          rows.put(key, new Row(write.path("v"), epoch, hold));
          addChange(key, write.path("v"));
        } else if (rows.remove(write.path("drop").asText()) != null) {
          addChange(write.path("drop").asText(), null);
        }
      }
      notifyAll();
    }
    return Kit.ok(Kit.map().put("epoch", epoch));
  }

  private void addChange(String key, JsonNode value) {
    changes.addLast(new Change(epoch, key, value));
    while (changes.size() > KEPT_CHANGES) {
      changes.removeFirst();
    }
  }

  private synchronized Kit.Reply watch(String query) throws InterruptedException {
    String under = Kit.queryValue(query, "under", "");
    long after = Long.parseLong(Kit.queryValue(query, "after", "0"));
    double blockSeconds =
        Math.min(60_000, Long.parseLong(Kit.queryValue(query, "block_ms", "0"))) / 1000.0;
    double until = Kit.now() + blockSeconds;
    while (true) {
      if (changes.size() >= KEPT_CHANGES && changes.getFirst().stamp() > after + 1) {
        return new Kit.Reply(410, Kit.encode(Kit.map().put("epoch", epoch)));
      }
      ObjectNode answer = Kit.map().put("epoch", epoch);
      ArrayNode log = answer.putArray("log");
      for (Change change : changes) {
        if (change.stamp() > after && change.key().startsWith(under)) {
          ObjectNode node = log.addObject();
          if (change.value() == null) {
            node.put("drop", change.key());
          } else {
            node.put("set", change.key());
            node.set("v", change.value());
          }
          node.put("stamp", change.stamp());
        }
      }
      double left = until - Kit.now();
      if (!log.isEmpty() || left <= 0) {
        return Kit.ok(answer);
      }
      wait(Math.max(1, (long) (left * 1000)));
    }
  }

  private synchronized Kit.Reply grant(ObjectNode message) {
    long id = ++lastLease;
    leases.put(id, new Lease(message.path("life_ms").asDouble() / 1000));
    return Kit.ok(Kit.map().put("hold", id));
  }

  private synchronized Kit.Reply renew(long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return new Kit.Reply(404, Kit.encode(Kit.map().put("epoch", epoch)));
    }
    lease.endsAt = Kit.now() + lease.lifeSeconds;
    return Kit.ok(Kit.map().put("hold", id));
  }

  private synchronized Kit.Reply endLease(long id) {
    if (leases.remove(id) == null) {
      return new Kit.Reply(404, Kit.encode(Kit.map().put("epoch", epoch)));
    }
    removeHeldRows(id);
    return Kit.ok(Kit.map());
  }

  private synchronized void expireLeases() {
    for (Iterator<Map.Entry<Long, Lease>> it = leases.entrySet().iterator(); it.hasNext(); ) {
      Map.Entry<Long, Lease> entry = it.next();
      if (Kit.now() > entry.getValue().endsAt + 0.03) {
        it.remove();
        removeHeldRows(entry.getKey());
      }
    }
  }

  private void removeHeldRows(long lease) {
    List<String> keys = new ArrayList<>();
    rows.forEach(
        (key, row) -> {
          if (row.hold() != null && row.hold() == lease) {
            keys.add(key);
          }
        });
    if (keys.isEmpty()) {
      return;
    }
    epoch++;
    keys.forEach(
        key -> {
          rows.remove(key);
          addChange(key, null);
          Kit.log("state: lease %d is over, %s is removed", lease, key);
        });
    notifyAll();
  }
}
