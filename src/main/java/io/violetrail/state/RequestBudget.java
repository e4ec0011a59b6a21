package io.violetrail.state;

import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.errors.OverBudgetException;
import io.violetrail.net.EventLoop;
import io.violetrail.net.RateLimiter;
import java.util.concurrent.CompletableFuture;

/**
 * This controller's share of the state service's rate limits: requests, writes, and reads on behalf
 * of users.
 *
 * <p>Owns the three token buckets; no other class takes from them. Called on the event loop's
 * thread. No state survives a crash: a restarted controller starts with one request and one write.
 */
final class RequestBudget {
  /**
   * Fraction of the rate limits that the controllers share. The remainder stays unused, since
   * failovers and late requests of a failed controller come on top.
   */
  private static final double BUDGET_FRACTION_USED = 0.9;

  /**
   * A submission is rejected at once if it would wait behind more than this many seconds' worth of
   * writes.
   */
  private static final double MAX_SUBMISSION_BACKLOG_SECONDS = 1.5;

  /**
   * Fraction of the requests that users' queries about jobs may take; lease renewals and handovers
   * need the remainder.
   */
  private static final double USER_READ_FRACTION = 0.4;

  /**
   * Maximum number of writes per submission: the row that claims the job's id, and half of an
   * open-job segment when the budget is short.
   */
  private static final double WRITES_PER_SUBMISSION = 1.5;

  /** Fraction of one second's writes that a lender keeps for its own next transactions. */
  private static final double LENDER_RESERVED_BURST_FRACTION = 0.5;

  private final EventLoop loop;
  private final StateStoreLimits limits;
  private final RateLimiter requestLimiter;
  private final RateLimiter writeLimiter;
  private final RateLimiter userReadLimiter;
  private int activeControllerCount;

  /** Creates an equal share of the limits among {@code controllerCount} controllers. */
  RequestBudget(EventLoop loop, StateStoreLimits limits, int controllerCount) {
    this.loop = loop;
    this.limits = limits;
    double nowSeconds = loop.monotonicSeconds();
    this.requestLimiter = new RateLimiter(1, 1, nowSeconds);
    this.writeLimiter = new RateLimiter(1, 1, nowSeconds);
    this.userReadLimiter = new RateLimiter(1, 1, nowSeconds);
    setActiveControllerCount(controllerCount);
  }

  /**
   * Divides the limits among {@code newCount} controllers from now on, so that the survivors take
   * over the share of a failed controller.
   */
  void setActiveControllerCount(int newCount) {
    if (newCount == activeControllerCount) {
      return;
    }
    activeControllerCount = newCount;
    double shareOfBudget = BUDGET_FRACTION_USED / Math.max(1, newCount);
    requestLimiter.setRateAndBurst(
        limits.requestsPerSecond() * shareOfBudget, loop.monotonicSeconds());
    writeLimiter.setRateAndBurst(limits.writesPerSecond() * shareOfBudget, loop.monotonicSeconds());
    userReadLimiter.setRateAndBurst(
        limits.requestsPerSecond() * shareOfBudget * USER_READ_FRACTION, loop.monotonicSeconds());
  }

  /** Returns whether the budget allows a request now, without taking it. */
  boolean canTakeRequest() {
    return canTakeRequest(loop.monotonicSeconds());
  }

  /** Returns whether the budget allows a request at {@code nowSeconds}, without taking it. */
  boolean canTakeRequest(double nowSeconds) {
    return requestLimiter.canAcquire(1, nowSeconds);
  }

  /**
   * Returns whether the budget allows {@code writeCount} writes at {@code nowSeconds}, without
   * taking them. More writes than the burst need only a full bucket.
   */
  boolean canTakeWrites(double writeCount, double nowSeconds) {
    return writeLimiter.canAcquire(writeCount, nowSeconds);
  }

  /** Takes one request if the budget allows it, and returns whether it did. */
  boolean tryTakeRequest() {
    return requestLimiter.tryAcquire(1, loop.monotonicSeconds());
  }

  /**
   * Takes {@code readCount} reads from the user-read budget if it allows them, and returns whether
   * it did.
   */
  boolean tryTakeUserReads(int readCount) {
    return userReadLimiter.tryAcquire(readCount, loop.monotonicSeconds());
  }

  /**
   * Takes one request with {@code writeCount} writes if the budget allows both, and returns whether
   * it does. If only the writes are lacking, the request is taken nevertheless.
   */
  boolean tryTakeTransaction(int writeCount) {
    double nowSeconds = loop.monotonicSeconds();
    return requestLimiter.tryAcquire(1, nowSeconds)
        && writeLimiter.tryAcquire(writeCount, nowSeconds);
  }

  /**
   * Returns a future that failed with {@link OverBudgetException}, for a request that the budget
   * does not allow now and that is not sent.
   */
  static <T> CompletableFuture<T> failOverBudget() {
    return CompletableFuture.failedFuture(
        new OverBudgetException(OverBudgetException.Limit.STATE_STORE_BUDGET));
  }

  /** Takes one request regardless of the budget; later requests make up for a debt. */
  void takeRequest() {
    requestLimiter.acquireUnconditionally(1, loop.monotonicSeconds());
  }

  /**
   * Takes one request with {@code writeCount} writes regardless of the budget; later ones make up
   * for a debt.
   */
  void takeTransaction(int writeCount, double nowSeconds) {
    requestLimiter.acquireUnconditionally(1, nowSeconds);
    writeLimiter.acquireUnconditionally(writeCount, nowSeconds);
  }

  /**
   * Returns this controller's share of the write rate limit in writes per second, which is also its
   * burst.
   */
  double writesPerSecond() {
    return writeLimiter.burst();
  }

  /** Returns how many of {@code waitingWrites} the budget does not allow now. */
  double writeShortfall(double waitingWrites) {
    return writeLimiter.shortfall(waitingWrites, loop.monotonicSeconds());
  }

  /** Gives up as many of the wanted writes as can be spared, and returns their number. */
  double lendWrites(double wantedWrites) {
    double nowSeconds = loop.monotonicSeconds();
    double lentWrites =
        Math.min(
            wantedWrites,
            writeLimiter.surplusAbove(
                LENDER_RESERVED_BURST_FRACTION * writeLimiter.burst(), nowSeconds));
    writeLimiter.acquireUnconditionally(lentWrites, nowSeconds);
    return lentWrites;
  }

  /** Adds writes that another controller has given up for this one. */
  void addBorrowedWrites(double borrowedWrites) {
    writeLimiter.addPermits(borrowedWrites, loop.monotonicSeconds());
  }

  /** Returns whether so many submissions wait that a further one would not be stored in time. */
  boolean isOverloaded(int waitingSubmissions) {
    return waitingSubmissions * WRITES_PER_SUBMISSION
        > MAX_SUBMISSION_BACKLOG_SECONDS * writeLimiter.burst() + 1;
  }
}
