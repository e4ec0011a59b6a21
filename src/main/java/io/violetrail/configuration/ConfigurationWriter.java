package io.violetrail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings;
import io.violetrail.configuration.ConfigurationChange.Outcome;
import io.violetrail.configuration.ConfigurationChange.Result;
import io.violetrail.configuration.ConfigurationHead.Revision;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.state.StateStore;
import io.violetrail.wire.StateWire.Txn;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores changes of the configuration.
 *
 * <p>The parts are written first, under names that their content gives them, so a late write of one
 * changes nothing. Then one transaction writes the head on the condition of its own stamp and of
 * the parts' stamps: it puts the whole revision in force, or nothing. Any controller can do it; it
 * needs no lease, since nothing but the rows decides.
 */
public final class ConfigurationWriter {
  private static final Logger LOG = LoggerFactory.getLogger(ConfigurationWriter.class);

  /**
   * Parts that no head names are removed once they are older: a writer may be about to name them.
   */
  private static final double UNUSED_PART_S = 600;

  /** Of the head's value; the rest is for the form that values are counted in. */
  private static final double FILLED = 0.9;

  private static final int MAX_TRIES = 3;

  private final Settings settings;
  private final Loop loop;
  private final StateStore store;

  /** Creates a writer that stores configuration revisions through {@code store}. */
  public ConfigurationWriter(Settings settings, Loop loop, StateStore store) {
    this.settings = settings;
    this.loop = loop;
    this.store = store;
  }

  /** Never fails: whatever goes wrong on the way leaves the outcome unknown. */
  public CompletableFuture<Result> apply(ConfigurationChange change) {
    return attempt(change, 1)
        .exceptionally(
            failure -> {
              Throwable cause =
                  failure instanceof CompletionException ? failure.getCause() : failure;
              return new Result(Outcome.UNKNOWN, 0, String.valueOf(cause.getMessage()));
            });
  }

  private CompletableFuture<Result> attempt(ConfigurationChange change, int tries) {
    return readHead()
        .thenCompose(
            head -> {
              Result decided = decided(change, head);
              return decided != null
                  ? CompletableFuture.completedFuture(decided)
                  : contents(change, head)
                      .thenCompose(contents -> store(change, head, contents, tries));
            });
  }

  private CompletableFuture<ConfigurationHead> readHead() {
    return store.getForUser(ConfigurationHead.KEY).thenApply(ConfigurationHead::of);
  }

  /** The outcome if it is certain without a write; null if it is not. */
  private static Result decided(ConfigurationChange change, ConfigurationHead head) {
    Revision made = head.madeBy(change.request());
    if (made != null) {
      return made.asked().equals(change.asked())
          ? new Result(Outcome.APPLIED, made.number(), "")
          : new Result(
              Outcome.REFUSED, head.number(), "the request's name was used for another change");
    }
    if (head.number() != change.expected()) {
      return new Result(
          Outcome.CONFLICT, head.number(), "revision " + head.number() + " is in force");
    }
    if (change.content() == null && head.revision(change.rollbackTo()) == null) {
      return new Result(
          Outcome.REFUSED,
          head.number(),
          "revision " + change.rollbackTo() + " is not kept any more, or never was");
    }
    return null;
  }

  /** What is in force, and what is asked for. */
  private record Contents(ClusterConfiguration former, ClusterConfiguration asked) {}

  private CompletableFuture<Contents> contents(ConfigurationChange change, ConfigurationHead head) {
    CompletableFuture<ClusterConfiguration> former =
        head.newest() == null
            ? CompletableFuture.completedFuture(ClusterConfiguration.of(settings))
            : read(head.newest());
    CompletableFuture<ClusterConfiguration> asked =
        change.content() != null
            ? CompletableFuture.completedFuture(change.content())
            : read(head.revision(change.rollbackTo()));
    return former.thenCombine(asked, Contents::new);
  }

  private CompletableFuture<ClusterConfiguration> read(Revision revision) {
    return ConfigurationParts.read(store, revision, Map.of())
        .thenApply(ConfigurationParts.Assembled::content);
  }

  private CompletableFuture<Result> store(
      ConfigurationChange change, ConfigurationHead head, Contents contents, int tries) {
    ClusterConfiguration next = contents.asked().after(contents.former());
    if (next.teams().size() > ConfigurationFormat.MAX_TEAMS) {
      return CompletableFuture.completedFuture(
          new Result(
              Outcome.REFUSED,
              head.number(),
              "with the closed teams there are more than " + ConfigurationFormat.MAX_TEAMS));
    }
    Map<String, ObjectNode> parts =
        ConfigurationParts.split(next, settings.stateLimits().valueBytes(), loop.wallMillis());
    Revision revision =
        new Revision(
            head.number() + 1,
            next.digest(),
            List.copyOf(parts.keySet()),
            change.request(),
            change.asked(),
            change.who(),
            change.why(),
            loop.wallMillis());
    ConfigurationHead newHead = bounded(head.with(revision));
    return storeParts(parts)
        .thenCompose(stamps -> storeHead(head, newHead, stamps))
        .thenCompose(
            applied -> {
              if (!applied && tries < MAX_TRIES) {
                // Another change came first, or this one did by a try whose answer was lost.
                return attempt(change, tries + 1);
              }
              if (applied) {
                LOG.info("configuration revision {} stored", revision.number());
                removeUnused(newHead);
              }
              return CompletableFuture.completedFuture(
                  applied
                      ? new Result(Outcome.APPLIED, revision.number(), "")
                      : new Result(Outcome.UNKNOWN, 0, "too many changes at once"));
            });
  }

  /** Drops the oldest revisions until the row fits a value. */
  private ConfigurationHead bounded(ConfigurationHead head) {
    ConfigurationHead fitting = head;
    int most = (int) (settings.stateLimits().valueBytes() * FILLED);
    while (fitting.revisions().size() > 1 && fitting.value().toString().length() > most) {
      List<Revision> fewer = fitting.revisions().subList(0, fitting.revisions().size() - 1);
      fitting = new ConfigurationHead(List.copyOf(fewer), fitting.stamp());
    }
    return fitting;
  }

  /** Writes the parts that are not there yet; completes with the stamps of all of them. */
  private CompletableFuture<Map<String, Long>> storeParts(Map<String, ObjectNode> parts) {
    Map<String, Long> stamps = new TreeMap<>();
    List<CompletableFuture<Void>> writes = new ArrayList<>();
    parts.forEach(
        (digest, part) -> {
          String key = ConfigurationHead.partKey(digest);
          writes.add(storePart(key, part).thenAccept(stamp -> stamps.put(key, stamp)));
        });
    return CompletableFuture.allOf(writes.toArray(CompletableFuture[]::new))
        .thenApply(nothing -> stamps);
  }

  /** Completes with the part's stamp; most parts are there from the revision before. */
  private CompletableFuture<Long> storePart(String key, ObjectNode part) {
    return store
        .getNow(key)
        .thenCompose(
            there -> {
              if (there.value() != null) {
                return CompletableFuture.completedFuture(there.stamp());
              }
              return store
                  .settle(new Txn().when(key, 0).set(key, part))
                  .thenCompose(
                      outcome ->
                          outcome.applied()
                              ? CompletableFuture.completedFuture(outcome.revision())
                              : store.getNow(key).thenApply(row -> row.stamp()));
            });
  }

  private CompletableFuture<Boolean> storeHead(
      ConfigurationHead before, ConfigurationHead next, Map<String, Long> partStamps) {
    Txn txn =
        new Txn()
            .when(ConfigurationHead.KEY, before.stamp())
            .set(ConfigurationHead.KEY, next.value());
    partStamps.forEach(txn::when);
    return store.settle(txn).thenApply(outcome -> outcome.applied());
  }

  /** Removes old parts that no kept revision names. What fails is left to the next change. */
  private void removeUnused(ConfigurationHead head) {
    Set<String> named = new HashSet<>();
    head.revisions().forEach(r -> named.addAll(r.keys()));
    long before = loop.wallMillis() - (long) (1000 * UNUSED_PART_S);
    Futures.logFailure(
        store
            .list(ConfigurationHead.PARTS)
            .thenAccept(
                listing ->
                    listing.entries().stream()
                        .filter(e -> !named.contains(e.key()) && writtenMs(e.value()) < before)
                        .forEach(
                            e ->
                                Futures.logFailure(
                                    store.settleLast(
                                        new Txn().when(e.key(), e.stamp()).drop(e.key())),
                                    "delete an unreferenced configuration part"))),
        "list unreferenced configuration parts");
  }

  private static long writtenMs(JsonNode part) {
    return part == null ? Long.MAX_VALUE : part.path("at").asLong(Long.MAX_VALUE);
  }

  /** The kept revisions, the newest first. */
  public CompletableFuture<List<Revision>> history() {
    return readHead().thenApply(ConfigurationHead::revisions);
  }
}
