package io.violetrail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.state.StateStore;
import io.violetrail.state.StateStore.Unavailable;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateWire.Entry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A revision's content as rows of the state service, each within the limit for values. */
final class ConfigurationParts {
  /** Part of a value that is filled; the rest is for the form that it is counted in. */
  private static final double FILLED = 0.75;

  private ConfigurationParts() {}

  /** Cuts a content into values; an entry is never cut. */
  static List<ObjectNode> split(ClusterConfiguration content, int valueBytes, long nowMs) {
    List<ObjectNode> parts = new ArrayList<>();
    int most = (int) (valueBytes * FILLED);
    ObjectNode tree = content.tree();
    for (String field : List.of("teams", "objectives")) {
      for (JsonNode entry : tree.get(field)) {
        int size = entry.toString().length();
        ObjectNode last = parts.isEmpty() ? null : parts.get(parts.size() - 1);
        if (last == null || last.toString().length() + size > most) {
          last = Cbor.map().put("at", nowMs);
          parts.add(last);
        }
        ((ArrayNode) (last.has(field) ? last.get(field) : last.putArray(field))).add(entry);
      }
    }
    return parts;
  }

  /** Reads a revision's content; fails if a part is missing or is not what the digest says. */
  static CompletableFuture<ClusterConfiguration> read(
      StateStore store, ConfigurationHead.Revision revision) {
    List<CompletableFuture<Entry>> reads = new ArrayList<>();
    revision.keys().forEach(key -> reads.add(store.getNow(key)));
    return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
        .thenApply(
            nothing -> {
              ObjectNode tree = Cbor.map();
              ArrayNode teams = tree.putArray("teams");
              ArrayNode objectives = tree.putArray("objectives");
              for (CompletableFuture<Entry> read : reads) {
                JsonNode part = read.join().value();
                if (part == null) {
                  throw new Unavailable("a part of the configuration is missing", 0);
                }
                part.path("teams").forEach(teams::add);
                part.path("objectives").forEach(objectives::add);
              }
              ClusterConfiguration content = ClusterConfiguration.ofTree(tree);
              if (!content.digest().equals(revision.digest())) {
                throw new Unavailable("the stored configuration is not what its head says", 0);
              }
              return content;
            });
  }
}
