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
 * The row that names the configuration revision in force and the revisions before it.
 *
 * <p>The content of a revision is stored in separate rows (parts), because a few hundred teams do
 * not fit into one value. The key of a part contains the digest of the part, so revisions share
 * equal parts. A single conditional write of the head row puts all parts of a revision in force at
 * once.
 *
 * @param revisions the kept revisions, the newest first; the first one is in force
 * @param modRevision the state service's revision of this row; 0 if the row is absent and the
 *     settings file is in force
 */
public record ConfigurationHead(List<Revision> revisions, long modRevision) {
  /** The key of the head row. Every controller watches it with the other common rows. */
  public static final String KEY = StateSchema.CONFIGURATION_KEY;

  /** The prefix of the parts' keys. No controller watches these rows. */
  static final String PART_KEY_PREFIX = "config/part/";

  static final int MAX_REVISIONS = 12;

  static final ConfigurationHead NONE = new ConfigurationHead(List.of(), 0);

  /**
   * One revision of the configuration.
   *
   * @param digest the digest of the complete content
   * @param partDigests the digests of the parts that hold the content, in the content's order
   * @param requestId the id of the request that created the revision
   * @param requestDigest the digest of the requested content, before the teams that the request
   *     omits were added as closed teams
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

  /** Returns the revision with the given number; null if it is not kept or never existed. */
  Revision findRevision(long number) {
    return revisions.stream().filter(r -> r.number() == number).findFirst().orElse(null);
  }

  /** Returns the kept revision that the given request created; null if there is none. */
  Revision findByRequest(String requestId) {
    return revisions.stream().filter(r -> r.requestId().equals(requestId)).findFirst().orElse(null);
  }

  /**
   * Returns a head with {@code next} in force, which keeps at most {@link #MAX_REVISIONS}
   * revisions.
   */
  ConfigurationHead withRevision(Revision next) {
    List<Revision> allRevisions = new ArrayList<>(revisions);
    allRevisions.add(0, next);
    return new ConfigurationHead(
        List.copyOf(allRevisions.subList(0, Math.min(MAX_REVISIONS, allRevisions.size()))),
        modRevision);
  }

  ObjectNode toRow() {
    ObjectNode value = Cbor.newMap();
    ArrayNode revisionList = value.putArray("revisions");
    for (Revision revision : revisions) {
      ObjectNode node = revisionList.addObject();
      revision.partDigests().forEach(node.putArray("parts")::add);
      node.put("number", revision.number())
          .put("digest", revision.digest())
          .put("request", revision.requestId())
          .put("asked", revision.requestDigest())
          .put("who", revision.author())
          .put("why", revision.reason())
          .put("at", revision.createdMillis());
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
