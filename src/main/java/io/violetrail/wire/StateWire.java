package io.violetrail.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.wire.Cbor.Malformed;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The state service's messages. */
public final class StateWire {
  private StateWire() {}

  /** A key with its value and the revision of its last change; absent: null value and stamp 0. */
  public record Entry(String key, JsonNode value, long stamp) {}

  /** One change seen by a watch; a dropped key has a null value. */
  public record Change(String key, JsonNode value, long stamp) {}

  /** What a transaction came to. */
  public record Outcome(boolean applied, long revision, Set<String> failed) {}

  /** A transaction under construction. */
  public static final class Txn {
    private final ObjectNode body = Cbor.map();
    private final ArrayNode conditions = body.putArray("if");
    private final ArrayNode writes = body.putArray("writes");
    private final Map<String, Long> stamps = new LinkedHashMap<>();
    private final Set<String> written = new HashSet<>();

    /**
     * Adds the condition that a key's revision is {@code stamp}; 0 means that the key does not
     * exist.
     */
    public Txn when(String key, long stamp) {
      if (stamps.put(key, stamp) == null) {
        conditions.addObject().put("key", key).put("stamp", stamp);
      }
      return this;
    }

    /** Adds a write of a key. */
    public Txn set(String key, JsonNode value) {
      written.add(key);
      writes.addObject().put("set", key).set("v", value);
      return this;
    }

    /** Adds a write of a key that is deleted when the lease expires. */
    public Txn setHeld(String key, JsonNode value, long lease) {
      written.add(key);
      ObjectNode w = writes.addObject().put("set", key);
      w.set("v", value);
      w.put("hold", lease);
      return this;
    }

    /** Adds a deletion of a key. */
    public Txn drop(String key) {
      written.add(key);
      writes.addObject().put("drop", key);
      return this;
    }

    /** Takes over all conditions and writes of another one. */
    public Txn add(Txn other) {
      other.stamps.forEach(this::when);
      written.addAll(other.written);
      writes.addAll(other.writes);
      return this;
    }

    /** The stamps that keys must have; 0: absent. */
    public Map<String, Long> conditions() {
      return Collections.unmodifiableMap(stamps);
    }

    public Set<String> writtenKeys() {
      return Collections.unmodifiableSet(written);
    }

    public int writes() {
      return writes.size();
    }

    public byte[] bytes() {
      return Cbor.bytes(body);
    }
  }

  public static Entry entry(JsonNode m) {
    return new Entry(m.path("key").asText(), m.get("v"), m.path("stamp").asLong());
  }

  /** A page of a listing: keys with the revision that the page is as of. */
  public record Page(List<Entry> entries, long revision, boolean more) {}

  /** A page says all of its parts: one without entries is not the same as an empty one. */
  public static Page page(JsonNode m) throws Malformed {
    JsonNode entries = Cbor.present(m, "entries");
    if (entries == null || !entries.isArray()) {
      throw new Malformed("entries must be a list");
    }
    List<Entry> all = new ArrayList<>();
    entries.forEach(e -> all.add(entry(e)));
    return new Page(all, Cbor.count(m, "epoch"), Cbor.flag(m, "truncated"));
  }

  public static long revision(JsonNode m) {
    return m.path("epoch").asLong();
  }

  /** Decodes a transaction's result, with the keys whose conditions failed. */
  public static Outcome outcome(boolean applied, JsonNode m) {
    Set<String> failed = new HashSet<>();
    m.path("failed").forEach(k -> failed.add(k.asText()));
    return new Outcome(applied, revision(m), failed);
  }

  /** Decodes the changes of a watch response in order; a deletion has a null value. */
  public static List<Change> changes(JsonNode m) {
    List<Change> all = new ArrayList<>();
    for (JsonNode e : m.path("log")) {
      all.add(
          e.has("set")
              ? new Change(e.get("set").asText(), e.get("v"), e.path("stamp").asLong())
              : new Change(e.path("drop").asText(), null, e.path("stamp").asLong()));
    }
    return all;
  }

  public static ObjectNode lease(long ttlMs) {
    return Cbor.map().put("life_ms", ttlMs);
  }

  /** The name of a lease that was granted; any number may be one. */
  public static long leaseId(JsonNode m) throws Malformed {
    return Cbor.count(m, "hold");
  }
}
