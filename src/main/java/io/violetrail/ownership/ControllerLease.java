package io.violetrail.ownership;

import io.violetrail.net.EventLoop;
import java.util.OptionalLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's lease in the state service, and until when it certainly stands.
 *
 * <p>Two things are kept apart. The {@link State} says whether there is a lease to renew; it
 * changes with the state service's answers. {@link #isValid()} says whether this controller may act
 * for its entities; it is a matter of time alone, always counted from the <em>sending</em> of the
 * last grant or renewal that succeeded, less a margin for drift. The state service counts from the
 * arrival of that request, so it never removes the controller's liveness row before {@code isValid}
 * has turned false. A lease that has ended leaves the validity as it is: it has run out by then.
 *
 * <p>Used on the event loop's thread. Nothing of it survives a crash: a controller that starts
 * again acquires a lease anew.
 */
final class ControllerLease {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerLease.class);

  /** Whether there is a lease that can be renewed. */
  enum State {
    /** None has been registered yet, or the last one has ended: one is to be acquired. */
    ABSENT,
    /** The liveness row is attached to it, and it is renewed periodically. */
    REGISTERED
  }

  private final EventLoop loop;
  private final LeaseTiming leaseTiming;
  private final ClusterView clusterView;
  private State state = State.ABSENT;
  private OptionalLong leaseId = OptionalLong.empty();
  private double validUntilSeconds = Double.NEGATIVE_INFINITY;
  private boolean loggedAsUncertain;

  ControllerLease(EventLoop loop, LeaseTiming leaseTiming, ClusterView clusterView) {
    this.loop = loop;
    this.leaseTiming = leaseTiming;
    this.clusterView = clusterView;
  }

  /** Whether this controller is certainly entitled to act for its entities. */
  boolean isValid() {
    return loop.monotonicSeconds() < validUntilSeconds;
  }

  /** For how many seconds the lease certainly stands; not positive if that is uncertain. */
  double remainingSeconds() {
    return validUntilSeconds - loop.monotonicSeconds();
  }

  /** Whether the validity ended at most the keep-alive grace period ago. */
  boolean isWithinKeepAliveGrace() {
    return loop.monotonicSeconds() < validUntilSeconds + leaseTiming.keepAliveGraceSeconds();
  }

  /** The lease to renew; empty while there is none. */
  OptionalLong leaseId() {
    return leaseId;
  }

  /** Whether that lease is still the one to renew. */
  boolean isCurrent(long id) {
    return state == State.REGISTERED && leaseId.getAsLong() == id;
  }

  /**
   * A new lease was granted and the liveness row was attached to it.
   *
   * @param grantSentAtSeconds when the request for the grant was sent, by the steady clock
   * @throws IllegalStateException if there is a lease already
   */
  void register(long newLeaseId, double grantSentAtSeconds) {
    if (state != State.ABSENT) {
      throw new IllegalStateException("lease " + leaseId.getAsLong() + " has not ended");
    }
    state = State.REGISTERED;
    leaseId = OptionalLong.of(newLeaseId);
    validUntilSeconds = validUntilWhenSentAt(grantSentAtSeconds);
  }

  /**
   * The current lease was renewed. Answers may arrive in another order than their requests were
   * sent, so the validity never becomes shorter by one.
   *
   * @param sentAtSeconds when the renewal was sent, by the steady clock
   */
  void extend(double sentAtSeconds) {
    if (state != State.REGISTERED) {
      throw new IllegalStateException("there is no lease to extend");
    }
    validUntilSeconds = Math.max(validUntilSeconds, validUntilWhenSentAt(sentAtSeconds));
  }

  /** The state service does not know the lease any more. */
  void end() {
    if (state != State.REGISTERED) {
      throw new IllegalStateException("there is no lease to end");
    }
    state = State.ABSENT;
    leaseId = OptionalLong.empty();
  }

  private double validUntilWhenSentAt(double sentAtSeconds) {
    return sentAtSeconds + leaseTiming.ttlSeconds() - leaseTiming.safetyMarginSeconds();
  }

  /** Logs that the lease has become uncertain or valid since the last call. */
  void logValidityChange() {
    boolean isUncertain = !isValid();
    if (loggedAsUncertain != isUncertain) {
      loggedAsUncertain = isUncertain;
      LOG.info(
          "{}; {}",
          isUncertain ? "lease uncertain: no task is launched" : "lease valid",
          describe());
    }
  }

  /** What decisions on ownership rest on at this moment, for log messages. */
  String describe() {
    return "lease valid for %.1f s, rows read as of revision %d"
        .formatted(remainingSeconds(), clusterView.revision());
  }
}
