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
 * Writes quota moves, each by compare-and-swap on the team's row, and keeps what a move gives away
 * out of use until its outcome is known: otherwise tasks could start in a part that another entity
 * uses already.
 *
 * <p>Called by {@link QuotaTransfer} on the event loop's thread. The moves in flight are lost in a
 * crash; what was applied is in the rows, and the fencing by the entity's row keeps a late write of
 * a former owner out.
 */
final class QuotaMoveExecutor {
  private static final Logger LOG = LoggerFactory.getLogger(QuotaMoveExecutor.class);

  /** So often a move is drafted anew when others have rewritten the row meanwhile. */
  private static final int MAX_ATTEMPTS = 4;

  private static final double RETRY_SECONDS = 0.3;

  private final EventLoop loop;
  private final StateStore store;
  private final ClusterView clusterView;
  private final Membership membership;
  private final TeamQuotaShares quotaShares;

  /** Moves in flight, with the part of the entity's share that is out of use meanwhile. */
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

  /** Whether a move of the entity's share of the team is in flight. */
  boolean isMoveInFlight(OwnedEntity entity, String teamName) {
    return withheldByMove.containsKey(new QuotaMove.Key(entity.id(), teamName));
  }

  /** What is left of an owned entity's share, whatever the limit in force says. */
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

  /** Starts a move; none of the same share may be in flight. */
  void start(QuotaMove move) {
    withheldByMove.put(move.key(), move.withheld());
    new Attempt(move, 1).start();
  }

  private void end(QuotaMove move) {
    withheldByMove.remove(move.key());
  }

  /** One attempt to write a move, with the row as it is drafted just before it is sent. */
  private final class Attempt {
    private final QuotaMove move;
    private final int number;

    /** Null until the write is sent, and if the move is to be dropped. */
    private ObjectNode draftedRow;

    Attempt(QuotaMove move, int number) {
      this.move = move;
      this.number = number;
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

    /** The write, or null if the move is to be dropped, as deferred writes have it. */
    private Transaction draftTransaction() {
      draftedRow = coversUsage() ? move.draftRow(quotaShares).orElse(null) : null;
      return draftedRow == null ? null : buildTransaction();
    }

    /**
     * Whether the stored share, without what is out of use, still covers what is used. An attempt
     * whose answer was lost may have been applied: then the part is missing from the share already,
     * and giving it once more would take what runs.
     */
    private boolean coversUsage() {
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
      LOG.info("entity {} {} of team {}", move.entity().id(), move.describe(), move.team().name());
    }

    /**
     * Another controller has rewritten the row, an earlier attempt was applied, or the entity has a
     * new owner. The part stays out of use until a read shows which. That is a read of the one row:
     * a listing of all common rows after each refusal was most of what controllers read where teams
     * are many. No attempt can be applied after it, since its condition has failed for good.
     *
     * @param outcome null if the attempt's outcome is unknown
     */
    private void retryOrAbandon(TransactionOutcome outcome) {
      boolean entityMoved =
          outcome == null
              || outcome.failedKeys().contains(StateSchema.entityKey(move.entity().id()));
      if (entityMoved) {
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
                          "quota shares of team {} not read: {}",
                          move.team().name(),
                          cause.getMessage());
                      loop.schedule(RETRY_SECONDS, () -> retryOrAbandon(outcome));
                    }
                  }),
          "read a quota transfer's outcome");
    }

    private void retryWith(Entry entry, TransactionOutcome outcome) {
      if (entry.value() != null) {
        clusterView.apply(new RowChange(move.rowKey(), entry.value(), entry.modRevision()));
      }
      boolean configurationChanged = outcome.failedKeys().contains(StateSchema.CONFIGURATION_KEY);
      if (number < MAX_ATTEMPTS && !configurationChanged) {
        new Attempt(move, number + 1).start();
      } else {
        end(move);
      }
    }
  }
}
