package io.violetrail.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.wire.Cbor.MalformedMessageException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The state service's messages. */
public final class StateStoreMessages {
  private StateStoreMessages() {}

  /**
   * A key with its value and the revision of its last change; absent: null value and revision 0.
   */
  public record Entry(String key, JsonNode value, long modRevision) {}

  /** One change seen by a watch; a dropped key has a null value. */
  public record RowChange(String key, JsonNode value, long modRevision) {}

  /** What a transaction came to. */
  public record TransactionOutcome(boolean applied, long revision, Set<String> failedKeys) {}

  /** A transaction under construction. */
  public static final class Transaction {
    private final ObjectNode body = Cbor.newMap();
    private final ArrayNode conditions = body.putArray("if");
    private final ArrayNode writes = body.putArray("writes");
    private final Map<String, Long> expectedRevisions = new LinkedHashMap<>();
    private final Set<String> writtenKeys = new HashSet<>();

    /**
     * Adds the condition that a key's revision is {@code expectedRevision}; 0 means that the key
     * does not exist.
     */
    public Transaction ifRevision(String key, long expectedRevision) {
      if (expectedRevisions.put(key, expectedRevision) == null) {
        conditions.addObject().put("key", key).put("stamp", expectedRevision);
      }
      return this;
    }

    /** Adds a write of a key. */
    public Transaction put(String key, JsonNode value) {
      writtenKeys.add(key);
      writes.addObject().put("set", key).set("v", value);
      return this;
    }

    /** Adds a write of a key that is deleted when the lease expires. */
    public Transaction putWithLease(String key, JsonNode value, long leaseId) {
      writtenKeys.add(key);
      ObjectNode write = writes.addObject().put("set", key);
      write.set("v", value);
      write.put("hold", leaseId);
      return this;
    }

    /** Adds a deletion of a key. */
    public Transaction delete(String key) {
      writtenKeys.add(key);
      writes.addObject().put("drop", key);
      return this;
    }

    /** Takes over all conditions and writes of another one. */
    public Transaction merge(Transaction other) {
      other.expectedRevisions.forEach(this::ifRevision);
      writtenKeys.addAll(other.writtenKeys);
      writes.addAll(other.writes);
      return this;
    }

    /** The revisions that keys must have; 0: absent. */
    public Map<String, Long> expectedRevisions() {
      return Collections.unmodifiableMap(expectedRevisions);
    }

    /** The keys that it puts or deletes. */
    public Set<String> writtenKeys() {
      return Collections.unmodifiableSet(writtenKeys);
    }

    /** How many puts and deletions it holds. */
    public int writeCount() {
      return writes.size();
    }

    /** The body of the request. */
    public byte[] encode() {
      return Cbor.encode(body);
    }
  }

  /** Decodes a key with its value. */
  public static Entry parseEntry(JsonNode message) {
    return new Entry(
        message.path("key").asText(), message.get("v"), message.path("stamp").asLong());
  }

  /** A page of a listing: keys with the revision that the page is as of. */
  public record ListPage(List<Entry> entries, long revision, boolean more) {}

  /** A page says all of its parts: one without entries is not the same as an empty one. */
  public static ListPage parsePage(JsonNode message) throws MalformedMessageException {
    JsonNode entries = Cbor.findPresent(message, "entries");
    if (entries == null || !entries.isArray()) {
      throw new MalformedMessageException("entries must be a list");
    }
    List<Entry> parsedEntries = new ArrayList<>();
    entries.forEach(e -> parsedEntries.add(parseEntry(e)));
    return new ListPage(
        parsedEntries, Cbor.readCount(message, "epoch"), Cbor.readFlag(message, "truncated"));
  }

  /** Decodes the revision of the whole store that a reply is as of. */
  public static long parseRevision(JsonNode message) {
    return message.path("epoch").asLong();
  }

  /** Decodes a transaction's result, with the keys whose conditions failed. */
  public static TransactionOutcome parseOutcome(boolean applied, JsonNode message) {
    Set<String> failedKeys = new HashSet<>();
    message.path("failed").forEach(k -> failedKeys.add(k.asText()));
    return new TransactionOutcome(applied, parseRevision(message), failedKeys);
  }

  /** Decodes the changes of a watch response in order; a deletion has a null value. */
  public static List<RowChange> parseChanges(JsonNode message) {
    List<RowChange> changes = new ArrayList<>();
    for (JsonNode change : message.path("log")) {
      changes.add(
          change.has("set")
              ? new RowChange(
                  change.get("set").asText(), change.get("v"), change.path("stamp").asLong())
              : new RowChange(change.path("drop").asText(), null, change.path("stamp").asLong()));
    }
    return changes;
  }

  /** Asks for a lease that ends that long after its last renewal. */
  public static ObjectNode leaseRequest(long ttlMillis) {
    return Cbor.newMap().put("life_ms", ttlMillis);
  }

  /** Decodes the id of a lease that was granted; any number may be one. */
  public static long parseLeaseId(JsonNode message) throws MalformedMessageException {
    return Cbor.readCount(message, "hold");
  }
}
