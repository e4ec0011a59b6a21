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
 * Transactions that share a request, while it is put together.
 *
 * <p>No key is written by one of them and written or expected by another, and all expect the same
 * revision of a key: so their order does not matter, and a failed condition tells whose it is.
 */
final class TransactionBatch {
  /** Below the protocol's 64 KiB, with room for what surrounds the transactions. */
  private static final int MAX_REQUEST_BYTES = 48 * 1024;

  /** Conditions that a request may have for each write that it may have. */
  private static final int MAX_CONDITIONS_PER_WRITE = 4;

  private final int maxWrites;
  private final List<PendingTransaction> transactions = new ArrayList<>();
  private final Set<String> writtenKeys = new HashSet<>();
  private final Map<String, Long> expectedRevisions = new HashMap<>();
  private int writeCount;
  private int sizeBytes;
  private boolean closed;

  /** Creates an empty batch for a request of at most so many writes. */
  TransactionBatch(int maxWrites) {
    this.maxWrites = maxWrites;
  }

  /** Adds the transaction if it fits and does not conflict with the others. */
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

  /** The first one always fits: what is too large by itself is for the state service to refuse. */
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
      Long otherRevision = expectedRevisions.get(condition.getKey());
      if (writtenKeys.contains(condition.getKey())
          || (otherRevision != null && !otherRevision.equals(condition.getValue()))) {
        return true;
      }
    }
    return false;
  }

  /** Whether it holds a transaction that is sent alone, and takes no more. */
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

  /** The request: all conditions and all writes. */
  Transaction combined() {
    Transaction combined = new Transaction();
    transactions.forEach(pending -> combined.merge(pending.transaction()));
    return combined;
  }
}
