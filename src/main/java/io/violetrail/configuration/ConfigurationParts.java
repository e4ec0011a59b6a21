package io.violetrail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.state.StateStore;
import io.violetrail.state.StateStore.Unavailable;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateWire.Entry;
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
  /** Part of a value that is filled; the rest is for the form that it is counted in. */
  private static final double FILLED = 0.75;

  /** What a team or an objective takes at most, with the longest names and numbers. */
  private static final int ENTRY_CHARS = 200;

  private ConfigurationParts() {}

  /**
   * Cuts a content into values by their digests, in order. Each holds as many entries as any other:
   * cut by size, one longer number would have moved all cuts behind it.
   */
  static Map<String, ObjectNode> split(ClusterConfiguration content, int valueBytes, long nowMs) {
    Map<String, ObjectNode> parts = new LinkedHashMap<>();
    int most = Math.max(1, (int) (valueBytes * FILLED / ENTRY_CHARS));
    ObjectNode tree = content.tree();
    for (String field : List.of("teams", "objectives")) {
      JsonNode entries = tree.get(field);
      for (int from = 0; from < entries.size(); from += most) {
        ObjectNode part = Cbor.map();
        ArrayNode list = part.putArray(field);
        for (int i = from; i < Math.min(entries.size(), from + most); i++) {
          list.add(entries.get(i));
        }
        String digest = ClusterConfiguration.digest(part);
        parts.put(digest, part.put("at", nowMs));
      }
    }
    return parts;
  }

  /** A content, and the parts that it was put together from. */
  record Assembled(ClusterConfiguration content, Map<String, JsonNode> parts) {}

  /**
   * Reads a revision's content; fails if a part is missing or is not what the digest says.
   *
   * @param known parts that need not be read again
   */
  static CompletableFuture<Assembled> read(
      StateStore store, ConfigurationHead.Revision revision, Map<String, JsonNode> known) {
    Map<String, CompletableFuture<JsonNode>> reads = new LinkedHashMap<>();
    for (String digest : revision.parts()) {
      JsonNode there = known.get(digest);
      reads.put(
          digest,
          there != null
              ? CompletableFuture.completedFuture(there)
              : store.getNow(ConfigurationHead.partKey(digest)).thenApply(Entry::value));
    }
    return CompletableFuture.allOf(reads.values().toArray(CompletableFuture[]::new))
        .thenApply(nothing -> assembled(revision, reads));
  }

  private static Assembled assembled(
      ConfigurationHead.Revision revision, Map<String, CompletableFuture<JsonNode>> reads) {
    Map<String, JsonNode> parts = new HashMap<>();
    ObjectNode tree = Cbor.map();
    ArrayNode teams = tree.putArray("teams");
    ArrayNode objectives = tree.putArray("objectives");
    for (var read : reads.entrySet()) {
      JsonNode part = read.getValue().join();
      if (part == null) {
        throw new Unavailable("a part of the configuration is missing", 0);
      }
      parts.put(read.getKey(), part);
      part.path("teams").forEach(teams::add);
      part.path("objectives").forEach(objectives::add);
    }
    ClusterConfiguration content = ClusterConfiguration.ofTree(tree);
    if (!content.digest().equals(revision.digest())) {
      throw new Unavailable("the stored configuration is not what its head says", 0);
    }
    return new Assembled(content, parts);
  }
}
