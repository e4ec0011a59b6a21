package io.violetrail.state;

import io.violetrail.errors.RequestRejectedException;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.net.HttpClient.ClientReply;
import io.violetrail.wire.StateStoreMessages;
import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.StateStoreMessages.TransactionOutcome;
import java.util.concurrent.CompletableFuture;

/**
 * Sends transactions, each as a request of its own; {@link GroupCommit} makes one of many first.
 *
 * <p>Called on the event loop's thread. It keeps no state: a transaction that was under way when
 * this controller crashed may still be applied.
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

  /** One try, within the budget. */
  CompletableFuture<TransactionOutcome> trySend(Transaction transaction) {
    return budget.tryTakeTransaction(transaction.writeCount())
        ? send(transaction)
        : RequestBudget.reject();
  }

  /** One try, whatever the budget says. */
  CompletableFuture<TransactionOutcome> trySendUrgent(Transaction transaction) {
    budget.takeTransaction(transaction.writeCount(), loop.monotonicSeconds());
    return send(transaction);
  }

  /** Tries until the outcome is certain, whatever the budget says; does not fail. */
  CompletableFuture<TransactionOutcome> sendUrgent(Transaction transaction) {
    CompletableFuture<TransactionOutcome> result = new CompletableFuture<>();
    sendUrgentUntilCertain(transaction, result);
    return result;
  }

  private void sendUrgentUntilCertain(
      Transaction transaction, CompletableFuture<TransactionOutcome> result) {
    Futures.logFailure(
        trySendUrgent(transaction)
            .whenComplete(
                (outcome, failure) -> {
                  if (failure == null) {
                    result.complete(outcome);
                  } else {
                    loop.schedule(
                        URGENT_RETRY_SECONDS, () -> sendUrgentUntilCertain(transaction, result));
                  }
                }),
        "commit an urgent transaction");
  }

  /** One try of a transaction that the caller has paid for. */
  CompletableFuture<TransactionOutcome> send(Transaction transaction) {
    return connection
        .call("POST", "/txn", transaction.encode(), StateStoreConnection.TIMEOUT_SECONDS)
        .thenApply(TransactionSender::parseOutcome);
  }

  private static TransactionOutcome parseOutcome(ClientReply reply) {
    boolean conditionsFailed = StateStoreConnection.isConflict(reply);
    if (!conditionsFailed && !reply.isOk()) {
      throw RequestRejectedException.transactionAnswered(reply.status());
    }
    return StateStoreMessages.parseOutcome(
        !conditionsFailed, StateStoreConnection.parseBody(reply));
  }
}
