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
 * <p>The parts are written first, under keys derived from their content, so that a delayed write of
 * a part has no effect. One transaction then writes the head, conditional on the revisions of the
 * head and of all parts. It puts the whole revision in force or changes nothing. Any controller can
 * store a change, and no lease is needed, because only these conditions decide the outcome.
 */
public final class ConfigurationWriter {
  private static final Logger LOG = LoggerFactory.getLogger(ConfigurationWriter.class);

  /**
   * When a change is stored, parts older than this to which no kept revision refers are deleted. A
   * younger part may belong to a change whose head has not been written yet.
   */
  private static final double UNUSED_PART_RETENTION_SECONDS = 600;

  /**
   * The usable fraction of the value size limit. The limit applies to a longer encoding than the
   * JSON text that is measured here.
   */
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

  /**
   * Stores a change if the expected revision is in force. Idempotent per request id.
   *
   * @return completes with the outcome; never fails, since any failure gives {@link
   *     Outcome#UNKNOWN}
   */
  public CompletableFuture<Result> apply(ConfigurationChange change) {
    return tryApply(change, 1)
        .exceptionally(
            failure -> {
              Throwable cause =
                  failure instanceof CompletionException ? failure.getCause() : failure;
              return new Result(Outcome.UNKNOWN, 0, String.valueOf(cause.getMessage()));
            });
  }

  private CompletableFuture<Result> tryApply(ConfigurationChange change, int attempt) {
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

  /** Returns the outcome if no write is needed to determine it; null otherwise. */
  private static Result findCertainOutcome(ConfigurationChange change, ConfigurationHead head) {
    Revision existing = head.findByRequest(change.requestId());
    if (existing != null) {
      return existing.requestDigest().equals(change.requestDigest())
          ? new Result(Outcome.APPLIED, existing.number(), "")
          : new Result(
              Outcome.REFUSED,
              head.currentNumber(),
              "request id "
                  + change.requestId()
                  + " was already used for a different change; use a new id");
    }
    if (head.currentNumber() != change.expectedRevision()) {
      return new Result(
          Outcome.CONFLICT,
          head.currentNumber(),
          "revision "
              + head.currentNumber()
              + " is in force, not the expected revision "
              + change.expectedRevision());
    }
    if (change.content() == null && head.findRevision(change.rollbackRevision()) == null) {
      return new Result(
          Outcome.REFUSED,
          head.currentNumber(),
          "revision "
              + change.rollbackRevision()
              + " does not exist or is no longer kept; see the history for the kept revisions");
    }
    return null;
  }

  /** The content in force and the content that the change requests. */
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
              next.teams().size()
                  + " teams, including closed ones, exceed the limit of "
                  + ConfigurationFormat.MAX_TEAMS));
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
                // Another change was stored first, or an earlier attempt of this one succeeded but
                // its reply was lost.
                return tryApply(change, attempt + 1);
              }
              if (applied) {
                LOG.info("stored configuration revision {}", revision.number());
                removeUnusedParts(newHead);
              }
              return CompletableFuture.completedFuture(
                  applied
                      ? new Result(Outcome.APPLIED, revision.number(), "")
                      : new Result(
                          Outcome.UNKNOWN,
                          0,
                          "each of " + MAX_ATTEMPTS + " attempts met a concurrent change"));
            });
  }

  /** Drops the oldest revisions until the head row fits the value size limit. */
  private ConfigurationHead trimToValueLimit(ConfigurationHead head) {
    ConfigurationHead trimmed = head;
    int maxChars = (int) (settings.stateStoreLimits().maxValueBytes() * FILL_FRACTION);
    while (trimmed.revisions().size() > 1 && trimmed.toRow().toString().length() > maxChars) {
      List<Revision> newestRevisions =
          trimmed.revisions().subList(0, trimmed.revisions().size() - 1);
      trimmed = new ConfigurationHead(List.copyOf(newestRevisions), trimmed.modRevision());
    }
    return trimmed;
  }

  /** Writes the parts that are absent; completes with the row revisions of all parts by key. */
  private CompletableFuture<Map<String, Long>> storeParts(Map<String, ObjectNode> parts) {
    Map<String, Long> modRevisions = new TreeMap<>();
    List<CompletableFuture<Void>> writes = new ArrayList<>();
    parts.forEach(
        (digest, part) -> {
          String key = ConfigurationHead.partKey(digest);
          writes.add(storePart(key, part).thenAccept(revision -> modRevisions.put(key, revision)));
        });
    return CompletableFuture.allOf(writes.toArray(CompletableFuture[]::new))
        .thenApply(ignored -> modRevisions);
  }

  /**
   * Writes a part if it is absent; most parts exist already from the previous revision.
   *
   * @return completes with the part's row revision
   */
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
      ConfigurationHead current, ConfigurationHead next, Map<String, Long> partModRevisions) {
    Transaction transaction =
        new Transaction()
            .ifRevision(ConfigurationHead.KEY, current.modRevision())
            .put(ConfigurationHead.KEY, next.toRow());
    partModRevisions.forEach(transaction::ifRevision);
    return store.commit(transaction).thenApply(outcome -> outcome.applied());
  }

  /**
   * Deletes old parts that no kept revision refers to. Parts whose deletion fails are left to the
   * next change.
   */
  private void removeUnusedParts(ConfigurationHead head) {
    Set<String> referencedKeys = new HashSet<>();
    head.revisions().forEach(revision -> referencedKeys.addAll(revision.partKeys()));
    long cutoffMillis = loop.wallMillis() - (long) (1000 * UNUSED_PART_RETENTION_SECONDS);
    Futures.logFailure(
        store
            .list(ConfigurationHead.PART_KEY_PREFIX)
            .thenAccept(
                listing ->
                    listing.entries().stream()
                        .filter(
                            entry ->
                                !referencedKeys.contains(entry.key())
                                    && writtenMillis(entry.value()) < cutoffMillis)
                        .forEach(
                            entry ->
                                Futures.logFailure(
                                    store.commitInBackground(
                                        new Transaction()
                                            .ifRevision(entry.key(), entry.modRevision())
                                            .delete(entry.key())),
                                    "delete an unreferenced configuration part"))),
        "list unreferenced configuration parts");
  }

  private static long writtenMillis(JsonNode part) {
    return part == null ? Long.MAX_VALUE : part.path("at").asLong(Long.MAX_VALUE);
  }

  /** Reads the kept revisions, the newest first. Fails if the head row cannot be read. */
  public CompletableFuture<List<Revision>> history() {
    return readHead().thenApply(ConfigurationHead::revisions);
  }
}
