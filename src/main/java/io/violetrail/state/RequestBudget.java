package io.violetrail.state;

import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.errors.OverBudgetException;
import io.violetrail.net.EventLoop;
import io.violetrail.net.RateLimiter;
import java.util.concurrent.CompletableFuture;

/**
 * This controller's share of the state service's rate limits: requests, writes, and the reads that
 * users cause.
 *
 * <p>Owns the three token buckets; nothing else takes from them. Called on the event loop's thread.
 * Nothing survives a crash: a restarted controller begins with one request and one write.
 */
final class RequestBudget {
  /**
   * The rest is left unused, since a failover and late requests of a dead controller come on top.
   */
  private static final double BUDGET_FRACTION_USED = 0.9;

  /** A submission behind more seconds' worth of writes than this is turned away at once. */
  private static final double MAX_BACKLOG_SECONDS = 1.5;

  /**
   * The part of the requests that users' questions about jobs may take: lease renewals and
   * handovers need the rest.
   */
  private static final double USER_READ_FRACTION = 0.4;

  /**
   * Writes per submission at most: its claim, and half of an open-job segment when the budget is
   * short.
   */
  private static final double WRITES_PER_SUBMISSION = 1.5;

  /** The part of a second's writes that a lender keeps for what comes next. */
  private static final double RESERVED_BURST_FRACTION = 0.5;

  private final EventLoop loop;
  private final StateStoreLimits limits;
  private final RateLimiter requestLimiter;
  private final RateLimiter writeLimiter;
  private final RateLimiter userReadLimiter;
  private int activeControllerCount;

  /** Creates an equal share of the limits among so many controllers. */
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
   * Divides the limits among so many controllers from now on: the share of a dead one goes to its
   * survivors.
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

  /** Whether a request may be sent now; takes nothing. */
  boolean hasRequest() {
    return hasRequest(loop.monotonicSeconds());
  }

  /** Whether a request may be sent at this time; takes nothing. */
  boolean hasRequest(double nowSeconds) {
    return requestLimiter.canAcquire(1, nowSeconds);
  }

  /** Whether so many writes may be sent at this time; more than a burst count as a burst. */
  boolean hasWrites(double writeCount, double nowSeconds) {
    return writeLimiter.canAcquire(writeCount, nowSeconds);
  }

  /** Takes one request if the budget has it. */
  boolean tryTakeRequest() {
    return requestLimiter.tryAcquire(1, loop.monotonicSeconds());
  }

  /** Takes so many of the reads that users may cause, if the budget has them. */
  boolean tryTakeUserReads(int readCount) {
    return userReadLimiter.tryAcquire(readCount, loop.monotonicSeconds());
  }

  /**
   * Takes one request with so many writes if the budget has both. Where it lacks only the writes,
   * the request is taken all the same.
   */
  boolean tryTakeTransaction(int writeCount) {
    double nowSeconds = loop.monotonicSeconds();
    return requestLimiter.tryAcquire(1, nowSeconds)
        && writeLimiter.tryAcquire(writeCount, nowSeconds);
  }

  /** The answer to a request that the budget does not allow now: nothing is sent. */
  static <T> CompletableFuture<T> reject() {
    return CompletableFuture.failedFuture(
        new OverBudgetException(OverBudgetException.Limit.STATE_STORE_BUDGET));
  }

  /** Takes one request whatever the budget says; later ones pay for it. */
  void takeRequest() {
    requestLimiter.acquireUnconditionally(1, loop.monotonicSeconds());
  }

  /** Takes one request with so many writes whatever the budget says; later ones pay for it. */
  void takeTransaction(int writeCount, double nowSeconds) {
    requestLimiter.acquireUnconditionally(1, nowSeconds);
    writeLimiter.acquireUnconditionally(writeCount, nowSeconds);
  }

  /** This controller's share of the writes per second, which is its burst too. */
  double writesPerSecond() {
    return writeLimiter.burst();
  }

  /** How many of so many writes the budget does not allow now. */
  double missingWrites(double waitingWrites) {
    return writeLimiter.shortfall(waitingWrites, loop.monotonicSeconds());
  }

  /** Gives up as many of the wanted writes as can be spared; returns their number. */
  double lendWrites(double wantedWrites) {
    double nowSeconds = loop.monotonicSeconds();
    double lentWrites =
        Math.min(
            wantedWrites,
            writeLimiter.surplusAbove(RESERVED_BURST_FRACTION * writeLimiter.burst(), nowSeconds));
    writeLimiter.acquireUnconditionally(lentWrites, nowSeconds);
    return lentWrites;
  }

  /** Adds writes that another controller has given up for this one. */
  void addBorrowedWrites(double borrowedWrites) {
    writeLimiter.addPermits(borrowedWrites, loop.monotonicSeconds());
  }

  /** Whether so many submissions wait that one more would not be stored in time. */
  boolean isOverloaded(int waitingSubmissions) {
    return waitingSubmissions * WRITES_PER_SUBMISSION
        > MAX_BACKLOG_SECONDS * writeLimiter.burst() + 1;
  }
}
