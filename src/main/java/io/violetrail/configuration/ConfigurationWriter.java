package io.violetrail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings;
import io.violetrail.configuration.ConfigurationChange.Outcome;
import io.violetrail.configuration.ConfigurationChange.Result;
import io.violetrail.configuration.ConfigurationHead.Revision;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.state.StateStore;
import io.violetrail.wire.StateStoreMessages.Transaction;
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
 * changes nothing. Then one transaction writes the head on the condition of its own revision and of
 * the parts' revisions: it puts the whole revision in force, or nothing. Any controller can do it;
 * it needs no lease, since nothing but the rows decides.
 */
public final class ConfigurationWriter {
  private static final Logger LOG = LoggerFactory.getLogger(ConfigurationWriter.class);

  /**
   * Parts that no head names are removed once they are older: a writer may be about to name them.
   */
  private static final double UNUSED_PART_RETENTION_SECONDS = 600;

  /** Of the value limit, which counts a longer encoding than the one that is measured. */
  private static final double FILL_FRACTION = 0.9;

  private static final int MAX_ATTEMPTS = 3;

  private final Settings settings;
  private final EventLoop loop;
  private final StateStore store;

  /** Creates a writer that stores configuration revisions through {@code store}. */
  public ConfigurationWriter(Settings settings, EventLoop loop, StateStore store) {
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

  private CompletableFuture<Result> attempt(ConfigurationChange change, int attempt) {
    return readHead()
        .thenCompose(
            head -> {
              Result decided = findCertainOutcome(change, head);
              return decided != null
                  ? CompletableFuture.completedFuture(decided)
                  : readContents(change, head)
                      .thenCompose(contents -> storeRevision(change, head, contents, attempt));
            });
  }

  private CompletableFuture<ConfigurationHead> readHead() {
    return store.getForUser(ConfigurationHead.KEY).thenApply(ConfigurationHead::fromRow);
  }

  /** The outcome if it is certain without a write; null if it is not. */
  private static Result findCertainOutcome(ConfigurationChange change, ConfigurationHead head) {
    Revision existing = head.findByRequest(change.requestId());
    if (existing != null) {
      return existing.requestDigest().equals(change.requestDigest())
          ? new Result(Outcome.APPLIED, existing.number(), "")
          : new Result(
              Outcome.REFUSED,
              head.currentNumber(),
              "the request's name was used for another change");
    }
    if (head.currentNumber() != change.expectedRevision()) {
      return new Result(
          Outcome.CONFLICT,
          head.currentNumber(),
          "revision " + head.currentNumber() + " is in force");
    }
    if (change.content() == null && head.findRevision(change.rollbackRevision()) == null) {
      return new Result(
          Outcome.REFUSED,
          head.currentNumber(),
          "revision " + change.rollbackRevision() + " is not kept any more, or never was");
    }
    return null;
  }

  /** What is in force, and what is asked for. */
  private record Contents(ClusterConfiguration previous, ClusterConfiguration requested) {}

  private CompletableFuture<Contents> readContents(
      ConfigurationChange change, ConfigurationHead head) {
    CompletableFuture<ClusterConfiguration> previous =
        head.findLatest() == null
            ? CompletableFuture.completedFuture(ClusterConfiguration.fromSettings(settings))
            : readContent(head.findLatest());
    CompletableFuture<ClusterConfiguration> requested =
        change.content() != null
            ? CompletableFuture.completedFuture(change.content())
            : readContent(head.findRevision(change.rollbackRevision()));
    return previous.thenCombine(requested, Contents::new);
  }

  private CompletableFuture<ClusterConfiguration> readContent(Revision revision) {
    return ConfigurationParts.readContent(store, revision, Map.of())
        .thenApply(ConfigurationParts.Assembled::content);
  }

  private CompletableFuture<Result> storeRevision(
      ConfigurationChange change, ConfigurationHead head, Contents contents, int attempt) {
    ClusterConfiguration next = contents.requested().replacing(contents.previous());
    if (next.teams().size() > ConfigurationFormat.MAX_TEAMS) {
      return CompletableFuture.completedFuture(
          new Result(
              Outcome.REFUSED,
              head.currentNumber(),
              "with the closed teams there are more than " + ConfigurationFormat.MAX_TEAMS));
    }
    Map<String, ObjectNode> parts =
        ConfigurationParts.split(
            next, settings.stateStoreLimits().maxValueBytes(), loop.wallMillis());
    Revision revision =
        new Revision(
            head.currentNumber() + 1,
            next.digest(),
            List.copyOf(parts.keySet()),
            change.requestId(),
            change.requestDigest(),
            change.author(),
            change.reason(),
            loop.wallMillis());
    ConfigurationHead newHead = trimToValueLimit(head.withRevision(revision));
    return storeParts(parts)
        .thenCompose(partModRevisions -> storeHead(head, newHead, partModRevisions))
        .thenCompose(
            applied -> {
              if (!applied && attempt < MAX_ATTEMPTS) {
                // Another change came first, or this one did by a try whose answer was lost.
                return attempt(change, attempt + 1);
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
  private ConfigurationHead trimToValueLimit(ConfigurationHead head) {
    ConfigurationHead fitting = head;
    int maxChars = (int) (settings.stateStoreLimits().maxValueBytes() * FILL_FRACTION);
    while (fitting.revisions().size() > 1 && fitting.toRow().toString().length() > maxChars) {
      List<Revision> fewer = fitting.revisions().subList(0, fitting.revisions().size() - 1);
      fitting = new ConfigurationHead(List.copyOf(fewer), fitting.modRevision());
    }
    return fitting;
  }

  /** Writes the parts that are not there yet; completes with the revisions of all of them. */
  private CompletableFuture<Map<String, Long>> storeParts(Map<String, ObjectNode> parts) {
    Map<String, Long> modRevisions = new TreeMap<>();
    List<CompletableFuture<Void>> writes = new ArrayList<>();
    parts.forEach(
        (digest, part) -> {
          String key = ConfigurationHead.partKey(digest);
          writes.add(storePart(key, part).thenAccept(revision -> modRevisions.put(key, revision)));
        });
    return CompletableFuture.allOf(writes.toArray(CompletableFuture[]::new))
        .thenApply(nothing -> modRevisions);
  }

  /** Completes with the part's revision; most parts are there from the revision before. */
  private CompletableFuture<Long> storePart(String key, ObjectNode part) {
    return store
        .getUrgent(key)
        .thenCompose(
            existing -> {
              if (existing.value() != null) {
                return CompletableFuture.completedFuture(existing.modRevision());
              }
              return store
                  .commit(new Transaction().ifRevision(key, 0).put(key, part))
                  .thenCompose(
                      outcome ->
                          outcome.applied()
                              ? CompletableFuture.completedFuture(outcome.revision())
                              : store.getUrgent(key).thenApply(row -> row.modRevision()));
            });
  }

  private CompletableFuture<Boolean> storeHead(
      ConfigurationHead before, ConfigurationHead next, Map<String, Long> partModRevisions) {
    Transaction transaction =
        new Transaction()
            .ifRevision(ConfigurationHead.KEY, before.modRevision())
            .put(ConfigurationHead.KEY, next.toRow());
    partModRevisions.forEach(transaction::ifRevision);
    return store.commit(transaction).thenApply(outcome -> outcome.applied());
  }

  /** Removes old parts that no kept revision names. What fails is left to the next change. */
  private void removeUnused(ConfigurationHead head) {
    Set<String> namedKeys = new HashSet<>();
    head.revisions().forEach(r -> namedKeys.addAll(r.partKeys()));
    long cutoffMillis = loop.wallMillis() - (long) (1000 * UNUSED_PART_RETENTION_SECONDS);
    Futures.logFailure(
        store
            .list(ConfigurationHead.PART_KEY_PREFIX)
            .thenAccept(
                listing ->
                    listing.entries().stream()
                        .filter(
                            e ->
                                !namedKeys.contains(e.key())
                                    && writtenMillis(e.value()) < cutoffMillis)
                        .forEach(
                            e ->
                                Futures.logFailure(
                                    store.commitInBackground(
                                        new Transaction()
                                            .ifRevision(e.key(), e.modRevision())
                                            .delete(e.key())),
                                    "delete an unreferenced configuration part"))),
        "list unreferenced configuration parts");
  }

  private static long writtenMillis(JsonNode part) {
    return part == null ? Long.MAX_VALUE : part.path("at").asLong(Long.MAX_VALUE);
  }

  /** The kept revisions, the newest first. */
  public CompletableFuture<List<Revision>> history() {
    return readHead().thenApply(ConfigurationHead::revisions);
  }
}
