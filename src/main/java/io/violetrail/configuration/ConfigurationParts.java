package io.violetrail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.errors.InconsistentRowsException;
import io.violetrail.state.StateStore;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.Entry;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Splits the content of a revision into rows of the state service (parts) and reads it from them.
 * Each part fits the value size limit, and its key is derived from the digest of its content. A
 * change of one team leaves the other parts unchanged.
 */
final class ConfigurationParts {
  /**
   * The usable fraction of the value size limit. The limit applies to a longer encoding than the
   * one that {@link #MAX_ENTRY_CHARS} estimates.
   */
  private static final double FILL_FRACTION = 0.75;

  /** The most characters that a team or an objective takes, with the longest names and numbers. */
  private static final int MAX_ENTRY_CHARS = 200;

  private ConfigurationParts() {}

  /**
   * Splits the content of a revision into parts, keyed by digest, in the content's order. All parts
   * except the last of a list hold the same number of entries. If they were split by size, one
   * longer number could move entries between all later parts, which would change their digests.
   */
  static Map<String, ObjectNode> split(
      ClusterConfiguration content, int maxValueBytes, long nowMillis) {
    Map<String, ObjectNode> parts = new LinkedHashMap<>();
    int entriesPerPart = Math.max(1, (int) (maxValueBytes * FILL_FRACTION / MAX_ENTRY_CHARS));
    ObjectNode tree = content.toTree();
    for (String field : List.of("teams", "objectives")) {
      JsonNode entries = tree.get(field);
      for (int from = 0; from < entries.size(); from += entriesPerPart) {
        ObjectNode part = Cbor.newMap();
        ArrayNode list = part.putArray(field);
        for (int i = from; i < Math.min(entries.size(), from + entriesPerPart); i++) {
          list.add(entries.get(i));
        }
        String digest = ClusterConfiguration.digest(part);
        parts.put(digest, part.put("at", nowMillis));
      }
    }
    return parts;
  }

  /** The content of a revision and the parts from which it was assembled. */
  record Assembled(ClusterConfiguration content, Map<String, JsonNode> partsByDigest) {}

  /**
   * Reads the content of a revision. Fails with an {@link InconsistentRowsException} if a part is
   * missing or the assembled content does not match the revision's digest.
   *
   * @param knownParts parts that were read earlier and are not read again, keyed by digest
   */
  static CompletableFuture<Assembled> readContent(
      StateStore store, ConfigurationHead.Revision revision, Map<String, JsonNode> knownParts) {
    Map<String, CompletableFuture<JsonNode>> reads = new LinkedHashMap<>();
    for (String digest : revision.partDigests()) {
      JsonNode knownPart = knownParts.get(digest);
      reads.put(
          digest,
          knownPart != null
              ? CompletableFuture.completedFuture(knownPart)
              : store.getUrgent(ConfigurationHead.partKey(digest)).thenApply(Entry::value));
    }
    return CompletableFuture.allOf(reads.values().toArray(CompletableFuture[]::new))
        .thenApply(ignored -> assemble(revision, reads));
  }

  private static Assembled assemble(
      ConfigurationHead.Revision revision, Map<String, CompletableFuture<JsonNode>> reads) {
    Map<String, JsonNode> parts = new HashMap<>();
    ObjectNode tree = Cbor.newMap();
    ArrayNode teams = tree.putArray("teams");
    ArrayNode objectives = tree.putArray("objectives");
    for (var read : reads.entrySet()) {
      JsonNode part = read.getValue().join();
      if (part == null) {
        throw InconsistentRowsException.configurationPartMissing();
      }
      parts.put(read.getKey(), part);
      part.path("teams").forEach(teams::add);
      part.path("objectives").forEach(objectives::add);
    }
    ClusterConfiguration content = ClusterConfiguration.fromTree(tree);
    if (!content.digest().equals(revision.digest())) {
      throw InconsistentRowsException.configurationDigestDiffers();
    }
    return new Assembled(content, parts);
  }
}
