package io.violetrail.state;

import io.violetrail.errors.RequestRejectedException;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.net.HttpClient.ClientResponse;
import io.violetrail.wire.StateStoreMessages;
import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.StateStoreMessages.TransactionOutcome;
import java.util.concurrent.CompletableFuture;

/**
 * Sends each transaction as a request of its own; {@link GroupCommit} first combines several into
 * one.
 *
 * <p>Called on the event loop's thread. Stateless: a transaction that was in flight when this
 * controller crashed may still be applied.
 */
final class TransactionSender {
  private static final double URGENT_RETRY_SECONDS = 0.3;

  private final EventLoop loop;
  private final RequestBudget budget;
  private final StateStoreConnection connection;

  TransactionSender(EventLoop loop, RequestBudget budget, StateStoreConnection connection) {
    this.loop = loop;
    this.budget = budget;
    this.connection = connection;
  }

  /** Sends the transaction once, within the budget. */
  CompletableFuture<TransactionOutcome> trySend(Transaction transaction) {
    return budget.tryTakeTransaction(transaction.writeCount())
        ? send(transaction)
        : RequestBudget.failOverBudget();
  }

  /** Sends the transaction once, regardless of the budget. */
  CompletableFuture<TransactionOutcome> trySendUrgent(Transaction transaction) {
    budget.takeTransaction(transaction.writeCount(), loop.monotonicSeconds());
    return send(transaction);
  }

  /** Retries until the outcome is certain, regardless of the budget; the future never fails. */
  CompletableFuture<TransactionOutcome> sendUrgent(Transaction transaction) {
    CompletableFuture<TransactionOutcome> result = new CompletableFuture<>();
    retryUrgentUntilCertain(transaction, result);
    return result;
  }

  private void retryUrgentUntilCertain(
      Transaction transaction, CompletableFuture<TransactionOutcome> result) {
    Futures.logFailure(
        trySendUrgent(transaction)
            .whenComplete(
                (outcome, failure) -> {
                  if (failure == null) {
                    result.complete(outcome);
                  } else {
                    loop.schedule(
                        URGENT_RETRY_SECONDS, () -> retryUrgentUntilCertain(transaction, result));
                  }
                }),
        "commit an urgent transaction");
  }

  /** Sends a transaction once that the caller has already taken from the budget. */
  CompletableFuture<TransactionOutcome> send(Transaction transaction) {
    return connection
        .call("POST", "/txn", transaction.encode(), StateStoreConnection.TIMEOUT_SECONDS)
        .thenApply(TransactionSender::parseOutcome);
  }

  private static TransactionOutcome parseOutcome(ClientResponse reply) {
    boolean conditionsFailed = StateStoreConnection.isConflict(reply);
    if (!conditionsFailed && !reply.isOk()) {
      throw RequestRejectedException.transactionRepliedWithStatus(reply.status());
    }
    return StateStoreMessages.parseOutcome(
        !conditionsFailed, StateStoreConnection.parseBody(reply));
  }
}
