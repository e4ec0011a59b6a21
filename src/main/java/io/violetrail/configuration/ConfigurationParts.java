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
 * A revision's content as rows of the state service, each within the limit for values and named by
 * the digest of what it holds. A change of one team leaves the other parts as they are.
 */
final class ConfigurationParts {
  /** Of the value limit, which counts a longer encoding than the one that is estimated. */
  private static final double FILL_FRACTION = 0.75;

  /** What a team or an objective takes at most, with the longest names and numbers. */
  private static final int MAX_ENTRY_CHARS = 200;

  private ConfigurationParts() {}

  /**
   * Cuts a content into values by their digests, in order. Each holds as many entries as any other:
   * cut by size, one longer number would have moved all cuts behind it.
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

  /** A content, and the parts that it was put together from. */
  record Assembled(ClusterConfiguration content, Map<String, JsonNode> partsByDigest) {}

  /**
   * Reads a revision's content; fails if a part is missing or is not what the digest says.
   *
   * @param knownParts parts that need not be read again
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
        .thenApply(nothing -> assemble(revision, reads));
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
