package io.violetrail.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.net.RateLimiter;
import io.violetrail.net.RequestHandler;
import io.violetrail.wire.Cbor;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/** An in-memory state service that follows the state service's protocol. */
public final class FakeStateService implements RequestHandler {
  /** Maximum number of keys on a page of a listing; small, so that listings have several pages. */
  private static final int PAGE_SIZE = 5;

  private static final long NO_LEASE = -1;

  private record StoredEntry(JsonNode value, long revision, long leaseId) {}

  private static final class StoredLease {
    double ttlSeconds;
    double expiresAtSeconds;
  }

  private final ClusterSimulation simulation;
  private final TreeMap<String, StoredEntry> entries = new TreeMap<>();
  private final StateWatchLog watchLog = new StateWatchLog();
  private final Map<Long, StoredLease> leases = new HashMap<>();
  private final Set<String> refusedControllers = new HashSet<>();
  private boolean unavailable;

  /** By controller: delay in seconds after which its transactions execute, without a reply. */
  private final Map<String, Double> lateTransactionSeconds = new HashMap<>();

  /** By controller: share of its transactions that execute at once but whose reply is lost. */
  private final Map<String, Double> lostReplyShare = new HashMap<>();

  /** By controller: share of its transactions that execute 2 to 12 s later, without a reply. */
  private final Map<String, Double> lateTransactionShare = new HashMap<>();

  private int largestValueLength;

  /** Puts and deletes requested, including those of rejected transactions. */
  private int writeCount;

  private final Map<String, Long> requestCountByKind = new TreeMap<>();

  /** Puts and deletes by the purpose of the row; see {@link #purposeOf}. */
  private final Map<String, Long> writeCountByPurpose = new TreeMap<>();

  /** Requests rejected for exceeding the limits; always 0 without {@link #enforcesLimits}. */
  private int overLimitCount;

  /** Whether the rate limits of the settings are enforced; a burst may be one second's worth. */
  private boolean enforcesLimits;

  /** Delay of each reply except those to watches. */
  private double replyDelaySeconds;

  private RateLimiter requestLimiter;
  private RateLimiter writeLimiter;

  private long revision;

  /** Lease ids start at 0, since the protocol allows any number as an id. */
  private long nextLeaseId;

  FakeStateService(ClusterSimulation simulation) {
    this.simulation = simulation;
  }

  public Set<String> refusedControllers() {
    return refusedControllers;
  }

  public Map<String, Double> lateTransactionSeconds() {
    return lateTransactionSeconds;
  }

  public Map<String, Double> lostReplyShare() {
    return lostReplyShare;
  }

  public Map<String, Double> lateTransactionShare() {
    return lateTransactionShare;
  }

  public int largestValueLength() {
    return largestValueLength;
  }

  public int writeCount() {
    return writeCount;
  }

  public Map<String, Long> requestCountByKind() {
    return requestCountByKind;
  }

  public Map<String, Long> writeCountByPurpose() {
    return writeCountByPurpose;
  }

  public int overLimitCount() {
    return overLimitCount;
  }

  public void setEnforcesLimits(boolean enforcesLimits) {
    this.enforcesLimits = enforcesLimits;
  }

  public void setReplyDelaySeconds(double replyDelaySeconds) {
    this.replyDelaySeconds = replyDelaySeconds;
  }

  public JsonNode findValue(String key) {
    StoredEntry entry = entries.get(key);
    return entry == null ? null : entry.value();
  }

  /** Stores a row directly, without a transaction; watches are not notified. */
  public void put(String key, JsonNode value) {
    entries.put(key, new StoredEntry(value, ++revision, NO_LEASE));
  }

  /** Deletes a row directly, without a transaction; watches are notified. */
  void remove(String key) {
    revision++;
    deleteKey(key);
    notifyWatches();
  }

  public Set<String> keysWithPrefix(String prefix) {
    return new HashSet<>(entries.subMap(prefix, prefix + "\uffff").keySet());
  }

  /** Starts or ends an outage; at its end every lease gets its full time to live again. */
  public void setOutage(boolean outage) {
    unavailable = outage;
    if (!outage) {
      leases
          .values()
          .forEach(lease -> lease.expiresAtSeconds = simulation.nowSeconds() + lease.ttlSeconds);
    }
  }

  private void expireLeases() {
    if (unavailable) {
      return;
    }
    for (var entry : List.copyOf(leases.entrySet())) {
      if (entry.getValue().expiresAtSeconds <= simulation.nowSeconds()) {
        leases.remove(entry.getKey());
        List<String> expiredKeys =
            entries.entrySet().stream()
                .filter(stored -> stored.getValue().leaseId() == entry.getKey())
                .map(Map.Entry::getKey)
                .toList();
        if (!expiredKeys.isEmpty()) {
          revision++;
          expiredKeys.forEach(this::deleteKey);
          notifyWatches();
        }
      }
    }
  }

  private void deleteKey(String key) {
    if (entries.remove(key) != null) {
      watchLog.append(key, revision, Cbor.newMap().put("drop", key));
    }
  }

  @Override
  public void handle(
      String method, String callerAndPath, byte[] requestBytes, Consumer<HttpResponse> replyTo) {
    double delaySeconds = callerAndPath.contains(" /changes") ? 0 : replyDelaySeconds;
    Consumer<HttpResponse> respond =
        delaySeconds == 0
            ? replyTo
            : answer -> simulation.runAfter(delaySeconds, () -> replyTo.accept(answer));
    final String caller = callerAndPath.substring(0, callerAndPath.indexOf(' '));
    String path = callerAndPath.substring(callerAndPath.indexOf(' ') + 1);
    expireLeases();
    requestCountByKind.merge(TrafficCounter.kindOf(method, path), 1L, Long::sum);
    if (path.startsWith("/changes")) {
      openWatch(path, respond);
      return;
    }
    if (unavailable || refusedControllers.contains(caller)) {
      respond.accept(HttpResponse.error(503, "trouble"));
      return;
    }
    try {
      ObjectNode body =
          requestBytes == null || requestBytes.length == 0
              ? Cbor.newMap()
              : Cbor.parse(requestBytes);
      if (!tryAcquirePermits(body)) {
        respond.accept(HttpResponse.error(429, "too many requests"));
        return;
      }
      serve(caller, path, body, respond);
    } catch (Cbor.MalformedMessageException exception) {
      respond.accept(HttpResponse.error(400, exception.getMessage()));
    }
  }

  private void serve(String caller, String path, ObjectNode body, Consumer<HttpResponse> respond) {
    if (path.startsWith("/keys/")) {
      readKey(path.substring(6), respond);
    } else if (path.startsWith("/keys?")) {
      listKeys(path, respond);
    } else if (path.equals("/txn")) {
      executeWithFaults(caller, body, respond);
    } else if (path.equals("/leases")) {
      grantLease(body, respond);
    } else {
      renewLease(Long.parseLong(path.split("/", 0)[2]), respond);
    }
  }

  /** Executes a transaction now or later, with or without a reply, by the caller's faults. */
  private void executeWithFaults(String caller, ObjectNode body, Consumer<HttpResponse> respond) {
    if (lateTransactionSeconds.containsKey(caller)) {
      simulation.runAfter(
          lateTransactionSeconds.get(caller), () -> executeTransaction(body, ignored -> {}));
    } else if (drawFault(lateTransactionShare, caller)) {
      simulation.runAfter(
          2 + 10 * simulation.random().nextDouble(), () -> executeTransaction(body, ignored -> {}));
    } else if (drawFault(lostReplyShare, caller)) {
      executeTransaction(body, ignored -> {});
    } else {
      executeTransaction(body, respond);
    }
  }

  private void grantLease(ObjectNode body, Consumer<HttpResponse> respond) {
    StoredLease lease = new StoredLease();
    lease.ttlSeconds = body.get("life_ms").asLong() / 1000.0;
    lease.expiresAtSeconds = simulation.nowSeconds() + lease.ttlSeconds;
    leases.put(nextLeaseId, lease);
    simulation.runAfter(lease.ttlSeconds + 0.05, this::expireLeases);
    respond.accept(HttpResponse.of(200, Cbor.newMap().put("hold", nextLeaseId++)));
  }

  private void renewLease(long leaseId, Consumer<HttpResponse> respond) {
    StoredLease lease = leases.get(leaseId);
    if (lease == null) {
      respond.accept(HttpResponse.empty(404));
      return;
    }
    lease.expiresAtSeconds = simulation.nowSeconds() + lease.ttlSeconds;
    simulation.runAfter(lease.ttlSeconds + 0.05, this::expireLeases);
    respond.accept(HttpResponse.of(200, Cbor.newMap()));
  }

  private boolean drawFault(Map<String, Double> shares, String caller) {
    Double share = shares.get(caller);
    return share != null && simulation.random().nextDouble() < share;
  }

  private void readKey(String key, Consumer<HttpResponse> done) {
    StoredEntry entry = entries.get(key);
    done.accept(
        entry == null
            ? HttpResponse.of(404, Cbor.newMap().put("epoch", revision))
            : HttpResponse.of(200, entryMessage(key, entry)));
  }

  private static ObjectNode entryMessage(String key, StoredEntry entry) {
    ObjectNode message = Cbor.newMap().put("key", key).put("stamp", entry.revision());
    message.set("v", entry.value());
    return message;
  }

  private static String queryParameter(String path, String name) {
    for (String part : path.substring(path.indexOf('?') + 1).split("&", 0)) {
      if (part.startsWith(name + "=")) {
        return part.substring(name.length() + 1);
      }
    }
    return "";
  }

  private void listKeys(String path, Consumer<HttpResponse> done) {
    String prefix = queryParameter(path, "under");
    String afterKey = queryParameter(path, "after");
    int maxEntries = Integer.parseInt(queryParameter(path, "most"));
    ObjectNode message = Cbor.newMap().put("epoch", revision);
    var entries = message.putArray("entries");
    boolean truncated = false;
    for (var entry : this.entries.tailMap(prefix).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (entry.getKey().compareTo(afterKey) > 0) {
        if (entries.size() == Math.min(maxEntries, PAGE_SIZE)) {
          truncated = true;
          break;
        }
        entries.add(entryMessage(entry.getKey(), entry.getValue()));
      }
    }
    done.accept(HttpResponse.of(200, message.put("truncated", truncated)));
  }

  private void executeTransaction(ObjectNode body, Consumer<HttpResponse> done) {
    JsonNode writes = body.path("writes");
    countWrites(writes);
    int maxOperations = simulation.stateLimits().maxTransactionOperations();
    if (writes.size() > maxOperations || body.path("if").size() > 4 * maxOperations) {
      done.accept(HttpResponse.error(400, "the transaction is too large"));
      return;
    }
    ObjectNode message = Cbor.newMap();
    ArrayNode failed = message.putArray("failed");
    addFailedConditions(body.path("if"), failed);
    for (JsonNode write : writes) {
      if (write.has("hold") && !leases.containsKey(write.get("hold").asLong())) {
        done.accept(HttpResponse.error(400, "no such lease"));
        return;
      }
    }
    if (!failed.isEmpty()) {
      done.accept(HttpResponse.of(409, message.put("epoch", revision)));
      return;
    }
    if (!writes.isEmpty()) {
      revision++;
    }
    writes.forEach(this::applyWrite);
    done.accept(HttpResponse.of(200, Cbor.newMap().put("epoch", revision)));
    notifyWatches();
  }

  private void countWrites(JsonNode writes) {
    writeCount += writes.size();
    for (JsonNode write : writes) {
      writeCountByPurpose.merge(
          purposeOf(write.path(write.has("set") ? "set" : "drop").asText()), 1L, Long::sum);
    }
  }

  private void addFailedConditions(JsonNode conditions, ArrayNode failed) {
    for (JsonNode condition : conditions) {
      StoredEntry entry = entries.get(condition.get("key").asText());
      if ((entry == null ? 0 : entry.revision()) != condition.get("stamp").asLong()) {
        failed.add(condition.get("key").asText());
      }
    }
  }

  private void applyWrite(JsonNode write) {
    if (write.has("drop")) {
      deleteKey(write.get("drop").asText());
      return;
    }
    String key = write.get("set").asText();
    largestValueLength = Math.max(largestValueLength, write.get("v").toString().length());
    entries.put(
        key, new StoredEntry(write.get("v"), revision, write.path("hold").asLong(NO_LEASE)));
    ObjectNode change = Cbor.newMap().put("set", key);
    change.set("v", write.get("v"));
    watchLog.append(key, revision, change);
  }

  private void openWatch(String path, Consumer<HttpResponse> done) {
    long afterRevision = Long.parseLong(queryParameter(path, "after"));
    if (!watchLog.keepsChangesAfter(afterRevision)) {
      done.accept(HttpResponse.error(410, "no longer kept"));
      return;
    }
    StateWatchLog.Watch watch = watchLog.open(queryParameter(path, "under"), afterRevision, done);
    simulation.runAfter(
        Double.parseDouble(queryParameter(path, "block_ms")) / 1000,
        () -> watchLog.close(watch, revision));
    notifyWatches();
  }

  private void notifyWatches() {
    if (!unavailable) {
      watchLog.answerWatches(revision);
    }
  }

  private boolean tryAcquirePermits(ObjectNode body) {
    if (!enforcesLimits) {
      return true;
    }
    if (requestLimiter == null) {
      requestLimiter =
          new RateLimiter(
              simulation.stateLimits().requestsPerSecond(),
              simulation.stateLimits().requestsPerSecond(),
              simulation.nowSeconds());
      writeLimiter =
          new RateLimiter(
              simulation.stateLimits().writesPerSecond(),
              simulation.stateLimits().writesPerSecond(),
              simulation.nowSeconds());
    }
    boolean admitted =
        requestLimiter.tryAcquire(1, simulation.nowSeconds())
            && writeLimiter.tryAcquire(body.path("writes").size(), simulation.nowSeconds());
    overLimitCount += admitted ? 0 : 1;
    return admitted;
  }

  /** Returns the purpose of a row by its key. */
  private static String purposeOf(String key) {
    String[] parts = key.split("/", 0);
    String name = parts[0].equals("c") && parts.length > 1 ? parts[1] : parts[0];
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
