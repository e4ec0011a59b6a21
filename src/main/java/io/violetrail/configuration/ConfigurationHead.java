package io.violetrail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.ownership.StateSchema;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.Entry;
import java.util.ArrayList;
import java.util.List;

/**
 * The row that says which revision is in force, with the last ones before it. Its content is in
 * parts, rows named by the digests of their content, since a few hundred teams do not fit one
 * value; revisions share the parts that are equal. One conditional write of this row puts all parts
 * in force at once.
 *
 * @param revisions the newest first
 * @param modRevision the row's; 0 if there is none, and the platform's file is in force
 */
public record ConfigurationHead(List<Revision> revisions, long modRevision) {
  /** The head's key, among the rows that every controller watches. */
  public static final String KEY = StateSchema.CONFIGURATION_KEY;

  /** The prefix of the parts' keys, which no controller watches. */
  static final String PART_KEY_PREFIX = "config/part/";

  static final int MAX_REVISIONS = 12;

  static final ConfigurationHead NONE = new ConfigurationHead(List.of(), 0);

  /**
   * One revision.
   *
   * @param digest of its content
   * @param partDigests digests of the rows that hold it, in order
   * @param requestId names the request that asked for it
   * @param requestDigest digest of what was asked for, before teams that it leaves out were closed
   */
  public record Revision(
      long number,
      String digest,
      List<String> partDigests,
      String requestId,
      String requestDigest,
      String author,
      String reason,
      long createdMillis) {

    List<String> partKeys() {
      return partDigests.stream().map(ConfigurationHead::partKey).toList();
    }
  }

  static String partKey(String digest) {
    return PART_KEY_PREFIX + digest;
  }

  long currentNumber() {
    return revisions.isEmpty() ? 0 : revisions.get(0).number();
  }

  Revision findLatest() {
    return revisions.isEmpty() ? null : revisions.get(0);
  }

  /** The kept revision of that number; null if there is none. */
  Revision findRevision(long number) {
    return revisions.stream().filter(r -> r.number() == number).findFirst().orElse(null);
  }

  /** The kept revision that the request made; null if there is none. */
  Revision findByRequest(String requestId) {
    return revisions.stream().filter(r -> r.requestId().equals(requestId)).findFirst().orElse(null);
  }

  /** This head with another revision in force; the oldest ones go. */
  ConfigurationHead withRevision(Revision next) {
    List<Revision> allRevisions = new ArrayList<>(revisions);
    allRevisions.add(0, next);
    return new ConfigurationHead(
        List.copyOf(allRevisions.subList(0, Math.min(MAX_REVISIONS, allRevisions.size()))),
        modRevision);
  }

  ObjectNode toRow() {
    ObjectNode value = Cbor.newMap();
    ArrayNode list = value.putArray("revisions");
    for (Revision kept : revisions) {
      ObjectNode revision = list.addObject();
      kept.partDigests().forEach(revision.putArray("parts")::add);
      revision
          .put("number", kept.number())
          .put("digest", kept.digest())
          .put("request", kept.requestId())
          .put("asked", kept.requestDigest())
          .put("who", kept.author())
          .put("why", kept.reason())
          .put("at", kept.createdMillis());
    }
    return value;
  }

  static ConfigurationHead fromRow(Entry row) {
    if (row == null || row.value() == null) {
      return NONE;
    }
    List<Revision> revisions = new ArrayList<>();
    for (JsonNode node : row.value().path("revisions")) {
      List<String> partDigests = new ArrayList<>();
      node.path("parts").forEach(p -> partDigests.add(p.asText()));
      revisions.add(
          new Revision(
              node.path("number").asLong(),
              node.path("digest").asText(),
              List.copyOf(partDigests),
              node.path("request").asText(),
              node.path("asked").asText(),
              node.path("who").asText(),
              node.path("why").asText(),
              node.path("at").asLong()));
    }
    return new ConfigurationHead(List.copyOf(revisions), row.modRevision());
  }
}
