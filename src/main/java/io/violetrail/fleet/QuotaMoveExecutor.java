package io.violetrail.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.errors.RequestFailedException;
import io.violetrail.model.Resources;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.StateSchema;
import io.violetrail.state.StateStore;
import io.violetrail.wire.StateStoreMessages.Entry;
import io.violetrail.wire.StateStoreMessages.RowChange;
import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.StateStoreMessages.TransactionOutcome;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes quota moves, each by compare-and-swap on the team's row. Until a move's outcome is known,
 * the amount that it takes from its entity's share is withheld: otherwise tasks could start in
 * quota that another entity already uses.
 *
 * <p>Called by {@link QuotaTransfer} on the event loop's thread. Moves in flight are lost in a
 * crash; applied moves are in the stored rows. Each write is conditional on the entity's row, which
 * fences off late writes of a former owner.
 */
final class QuotaMoveExecutor {
  private static final Logger LOG = LoggerFactory.getLogger(QuotaMoveExecutor.class);

  /** The most attempts to write a move while other controllers keep changing the row. */
  private static final int MAX_ATTEMPTS = 4;

  private static final double RETRY_SECONDS = 0.3;

  private final EventLoop loop;
  private final StateStore store;
  private final ClusterView clusterView;
  private final Membership membership;
  private final TeamQuotaShares quotaShares;

  /** The moves in flight, with the amount that each withholds from its entity's share. */
  private final Map<QuotaMove.Key, Resources> withheldByMove = new HashMap<>();

  QuotaMoveExecutor(
      EventLoop loop,
      StateStore store,
      ClusterView clusterView,
      Membership membership,
      TeamQuotaShares quotaShares) {
    this.loop = loop;
    this.store = store;
    this.clusterView = clusterView;
    this.membership = membership;
    this.quotaShares = quotaShares;
  }

  /** Returns whether a move of the entity's share of the team's quota is in flight. */
  boolean isMoveInFlight(OwnedEntity entity, String teamName) {
    return withheldByMove.containsKey(new QuotaMove.Key(entity.id(), teamName));
  }

  /**
   * Returns an owned entity's share without what is withheld and what its tasks use, regardless of
   * the limit in force. Nothing is left while an infinite amount is withheld.
   */
  Resources unusedShare(OwnedEntity entity, String teamName, double nowSeconds) {
    Resources withheld =
        withheldByMove.getOrDefault(new QuotaMove.Key(entity.id(), teamName), Resources.NONE);
    if (Double.isInfinite(withheld.cpus()) || Double.isInfinite(withheld.gpus())) {
      return QuotaAmounts.NO_QUOTA;
    }
    return quotaShares
        .shareOf(entity.id(), teamName)
        .minus(withheld)
        .minus(entity.usageOf(teamName, nowSeconds));
  }

  /** Starts a move. No other move of the same share may be in flight. */
  void start(QuotaMove move) {
    withheldByMove.put(move.key(), move.withheld());
    new Attempt(move, 1).start();
  }

  private void end(QuotaMove move) {
    withheldByMove.remove(move.key());
  }

  /** One attempt to write a move. The new row is drafted just before it is sent. */
  private final class Attempt {
    private final QuotaMove move;
    private final int attemptNumber;

    /** Null until the write is sent, and if the move has been abandoned. */
    private ObjectNode draftedRow;

    Attempt(QuotaMove move, int attemptNumber) {
      this.move = move;
      this.attemptNumber = attemptNumber;
    }

    void start() {
      Futures.logFailure(
          store
              .commitDeferred(this::draftTransaction)
              .whenComplete(
                  (outcome, failure) -> {
                    if (draftedRow == null) {
                      end(move);
                    } else if (failure == null && outcome.applied()) {
                      complete(outcome);
                    } else {
                      retryOrAbandon(outcome);
                    }
                  }),
          "transfer quota");
    }

    /** Returns the write, or null, which cancels the deferred write, to abandon the move. */
    private Transaction draftTransaction() {
      draftedRow = shareCoversUsage() ? move.draftRow(quotaShares).orElse(null) : null;
      return draftedRow == null ? null : buildTransaction();
    }

    /**
     * Returns whether the entity is active and its stored share, without the withheld amount, still
     * covers what its tasks use. An earlier attempt whose answer was lost may have been applied:
     * the share is then already reduced, and reducing it again would take quota from running tasks.
     */
    private boolean shareCoversUsage() {
      Resources remaining = unusedShare(move.entity(), move.team().name(), loop.monotonicSeconds());
      return move.entity().isActive()
          && remaining.cpus() >= -QuotaAmounts.MIN_SHARE
          && remaining.gpus() >= -QuotaAmounts.MIN_SHARE;
    }

    private Transaction buildTransaction() {
      Entry currentRow = clusterView.findQuotaShare(move.team().name());
      Transaction transaction =
          move.entity()
              .fencedTransaction()
              .ifRevision(move.rowKey(), currentRow == null ? 0 : currentRow.modRevision())
              .put(move.rowKey(), draftedRow);
      move.addConditions(transaction);
      return transaction;
    }

    private void complete(TransactionOutcome outcome) {
      clusterView.apply(new RowChange(move.rowKey(), draftedRow, outcome.revision()));
      end(move);
      LOG.info(
          "entity {} {} of the quota of team {}",
          move.entity().id(),
          move.describe(),
          move.team().name());
    }

    /**
     * Handles an attempt that was refused or has an unknown outcome: another controller has changed
     * the row, an earlier attempt was applied, or the entity has a new owner. The amount stays
     * withheld until a read shows which. Unless the owner may have changed, only the team's row is
     * read: with many teams, listing all common rows after each refusal was most of what
     * controllers read. No attempt can be applied after that read, since its condition can never
     * hold again.
     *
     * @param outcome null if the attempt's outcome is unknown
     */
    private void retryOrAbandon(TransactionOutcome outcome) {
      boolean ownerMayHaveChanged =
          outcome == null
              || outcome.failedKeys().contains(StateSchema.entityKey(move.entity().id()));
      if (ownerMayHaveChanged) {
        membership.relistThen(() -> end(move));
        return;
      }
      Futures.logFailure(
          store
              .get(move.rowKey())
              .whenComplete(
                  (entry, failure) -> {
                    if (failure == null) {
                      retryWith(entry, outcome);
                    } else {
                      RequestFailedException cause = RequestFailedException.from(failure);
                      LOG.debug(
                          "failed to read the quota shares of team {}: {}",
                          move.team().name(),
                          cause.getMessage());
                      loop.schedule(RETRY_SECONDS, () -> retryOrAbandon(outcome));
                    }
                  }),
          "read the outcome of a quota transfer");
    }

    private void retryWith(Entry entry, TransactionOutcome outcome) {
      if (entry.value() != null) {
        clusterView.apply(new RowChange(move.rowKey(), entry.value(), entry.modRevision()));
      }
      boolean configurationChanged = outcome.failedKeys().contains(StateSchema.CONFIGURATION_KEY);
      if (attemptNumber < MAX_ATTEMPTS && !configurationChanged) {
        new Attempt(move, attemptNumber + 1).start();
      } else {
        end(move);
      }
    }
  }
}
