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

/** Encodes and decodes the messages exchanged with the state service. */
public final class StateStoreMessages {
  private StateStoreMessages() {}

  /**
   * A key with its value and the revision of its last change. An absent key has a null value and
   * revision 0.
   */
  public record Entry(String key, JsonNode value, long modRevision) {}

  /** One change reported by a watch. A deleted key has a null value. */
  public record RowChange(String key, JsonNode value, long modRevision) {}

  /**
   * The result of a transaction.
   *
   * @param revision the revision of the whole store that the reply reflects
   * @param failedKeys the keys whose conditions failed
   */
  public record TransactionOutcome(boolean applied, long revision, Set<String> failedKeys) {}

  /** A transaction that is being built: revision conditions with the writes that depend on them. */
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

    /** Adds a write that sets a key. */
    public Transaction put(String key, JsonNode value) {
      writtenKeys.add(key);
      writes.addObject().put("set", key).set("v", value);
      return this;
    }

    /** Adds a write that sets a key, which the store deletes when the lease expires. */
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

    /** Adds all conditions and writes of another transaction to this one. */
    public Transaction merge(Transaction other) {
      other.expectedRevisions.forEach(this::ifRevision);
      writtenKeys.addAll(other.writtenKeys);
      writes.addAll(other.writes);
      return this;
    }

    /** Returns the required revision of each key with a condition; 0 requires that it is absent. */
    public Map<String, Long> expectedRevisions() {
      return Collections.unmodifiableMap(expectedRevisions);
    }

    /** Returns the keys that this transaction sets or deletes. */
    public Set<String> writtenKeys() {
      return Collections.unmodifiableSet(writtenKeys);
    }

    /** Returns the number of writes, including deletions. */
    public int writeCount() {
      return writes.size();
    }

    /** Encodes the body of the request. */
    public byte[] encode() {
      return Cbor.encode(body);
    }
  }

  /** Decodes a key with its value and revision. */
  public static Entry parseEntry(JsonNode message) {
    return new Entry(
        message.path("key").asText(), message.get("v"), message.path("stamp").asLong());
  }

  /**
   * One page of a listing.
   *
   * @param revision the revision of the whole store that the page reflects
   * @param more whether further pages follow
   */
  public record ListPage(List<Entry> entries, long revision, boolean more) {}

  /**
   * Decodes a page of a listing.
   *
   * @throws MalformedMessageException if a field is missing; a page without the list of entries is
   *     malformed and not treated as an empty page
   */
  public static ListPage parsePage(JsonNode message) throws MalformedMessageException {
    JsonNode entries = Cbor.findPresent(message, "entries");
    if (entries == null || !entries.isArray()) {
      throw new MalformedMessageException(
          "entries must be a list, received "
              + (entries == null ? "nothing" : entries.getNodeType()));
    }
    List<Entry> parsedEntries = new ArrayList<>();
    entries.forEach(entry -> parsedEntries.add(parseEntry(entry)));
    return new ListPage(
        parsedEntries, Cbor.readCount(message, "epoch"), Cbor.readFlag(message, "truncated"));
  }

  /** Decodes the revision of the whole store that a reply reflects. */
  public static long parseRevision(JsonNode message) {
    return message.path("epoch").asLong();
  }

  /** Decodes the result of a transaction, with the keys whose conditions failed. */
  public static TransactionOutcome parseOutcome(boolean applied, JsonNode message) {
    Set<String> failedKeys = new HashSet<>();
    message.path("failed").forEach(key -> failedKeys.add(key.asText()));
    return new TransactionOutcome(applied, parseRevision(message), failedKeys);
  }

  /** Decodes the changes of a watch response in order. */
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

  /** Encodes a request for a lease that expires the given time after its last renewal. */
  public static ObjectNode leaseRequest(long ttlMillis) {
    return Cbor.newMap().put("life_ms", ttlMillis);
  }

  /**
   * Decodes the id of a granted lease. Every integer from 0 is a valid id.
   *
   * @throws MalformedMessageException if the id is missing or not an integer of at least 0
   */
  public static long parseLeaseId(JsonNode message) throws MalformedMessageException {
    return Cbor.readCount(message, "hold");
  }
}
