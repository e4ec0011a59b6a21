package io.violetrail.state;

import io.violetrail.wire.StateStoreMessages.Transaction;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Transactions that are being combined into one request.
 *
 * <p>No key that one transaction writes is written or expected by another, and all transactions
 * that expect a key expect the same revision of it. Their order therefore does not matter, and a
 * failed condition identifies the transactions it belongs to.
 */
final class TransactionBatch {
  /** Below the protocol's limit of 64 KiB, with room for what surrounds the transactions. */
  private static final int MAX_REQUEST_BYTES = 48 * 1024;

  /** Maximum number of conditions in a request, for each write that it may have. */
  private static final int MAX_CONDITIONS_PER_WRITE = 4;

  private final int maxWrites;
  private final List<PendingTransaction> transactions = new ArrayList<>();
  private final Set<String> writtenKeys = new HashSet<>();
  private final Map<String, Long> expectedRevisions = new HashMap<>();
  private int writeCount;
  private int sizeBytes;
  private boolean closed;

  /** Creates an empty batch for a request of at most {@code maxWrites} writes. */
  TransactionBatch(int maxWrites) {
    this.maxWrites = maxWrites;
  }

  /**
   * Adds the transaction if it fits and does not conflict with the others, and returns whether it
   * did.
   */
  boolean tryAdd(PendingTransaction pending) {
    if (closed || !fits(pending) || conflicts(pending.transaction())) {
      return false;
    }
    transactions.add(pending);
    writtenKeys.addAll(pending.transaction().writtenKeys());
    expectedRevisions.putAll(pending.transaction().expectedRevisions());
    writeCount += pending.transaction().writeCount();
    sizeBytes += pending.sizeBytes();
    closed = pending.isSentAlone();
    return true;
  }

  /**
   * Returns whether the limits allow the transaction. The first one always fits: a transaction that
   * is too large by itself is left for the state service to refuse.
   */
  private boolean fits(PendingTransaction pending) {
    if (transactions.isEmpty()) {
      return true;
    }
    Transaction transaction = pending.transaction();
    return !pending.isSentAlone()
        && writeCount + transaction.writeCount() <= maxWrites
        && sizeBytes + pending.sizeBytes() <= MAX_REQUEST_BYTES
        && expectedRevisions.size() + transaction.expectedRevisions().size()
            <= MAX_CONDITIONS_PER_WRITE * maxWrites;
  }

  private boolean conflicts(Transaction transaction) {
    for (String key : transaction.writtenKeys()) {
      if (writtenKeys.contains(key) || expectedRevisions.containsKey(key)) {
        return true;
      }
    }
    for (var condition : transaction.expectedRevisions().entrySet()) {
      Long batchRevision = expectedRevisions.get(condition.getKey());
      if (writtenKeys.contains(condition.getKey())
          || (batchRevision != null && !batchRevision.equals(condition.getValue()))) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether the batch holds a transaction that is sent alone, and so accepts no others. */
  boolean isClosed() {
    return closed;
  }

  boolean isEmpty() {
    return transactions.isEmpty();
  }

  int writeCount() {
    return writeCount;
  }

  List<PendingTransaction> transactions() {
    return Collections.unmodifiableList(transactions);
  }

  /** Returns the request with all conditions and all writes. */
  Transaction combined() {
    Transaction combined = new Transaction();
    transactions.forEach(pending -> combined.merge(pending.transaction()));
    return combined;
  }
}
