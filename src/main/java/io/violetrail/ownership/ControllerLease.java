package io.violetrail.ownership;

import io.violetrail.net.EventLoop;
import java.util.OptionalLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's lease in the state service, and the time until which it is certainly valid.
 *
 * <p>State and validity are tracked separately. The {@link State} shows whether there is a lease to
 * renew; it changes with the replies of the state service. {@link #isValid()} shows whether this
 * controller may act for its entities; it depends on time alone. The validity period starts when
 * the last successful grant or renewal request was <em>sent</em>, and is shorter than the lease's
 * time to live by a margin for clock drift. The state service counts from the arrival of the same
 * request. Therefore {@code isValid} turns false before the state service can remove the
 * controller's liveness row. {@link #end} does not change the validity period, which has already
 * ended by then.
 *
 * <p>Must be used on the event loop's thread. The state is lost in a crash: a restarted controller
 * acquires a new lease.
 */
final class ControllerLease {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerLease.class);

  /** Whether there is a lease that can be renewed. */
  enum State {
    /** No lease has been registered yet, or the last one has ended. A new one must be acquired. */
    ABSENT,
    /** The liveness row is attached to the lease, which is renewed periodically. */
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

  /** Returns whether the lease is certainly valid, so that the controller may act as an owner. */
  boolean isValid() {
    return loop.monotonicSeconds() < validUntilSeconds;
  }

  /** Returns how many seconds the lease is certainly valid for; 0 or less if it is uncertain. */
  double remainingSeconds() {
    return validUntilSeconds - loop.monotonicSeconds();
  }

  /** Returns whether the lease is valid, or became uncertain within the keep-alive grace period. */
  boolean isWithinKeepAliveGrace() {
    return loop.monotonicSeconds() < validUntilSeconds + leaseTiming.keepAliveGraceSeconds();
  }

  /** Returns the id of the lease to renew; empty while there is none. */
  OptionalLong leaseId() {
    return leaseId;
  }

  /** Returns whether the given lease is still the one to renew. */
  boolean isCurrent(long id) {
    return state == State.REGISTERED && leaseId.getAsLong() == id;
  }

  /**
   * Records that a new lease was granted and the liveness row was attached to it.
   *
   * @param grantSentAtSeconds when the grant request was sent, in seconds of the steady clock
   * @throws IllegalStateException if the previous lease has not ended
   */
  void register(long newLeaseId, double grantSentAtSeconds) {
    if (state != State.ABSENT) {
      throw new IllegalStateException(
          "cannot register a new lease: lease " + leaseId.getAsLong() + " has not ended");
    }
    state = State.REGISTERED;
    leaseId = OptionalLong.of(newLeaseId);
    validUntilSeconds = validUntilForRequestSentAt(grantSentAtSeconds);
  }

  /**
   * Records that the current lease was renewed. Replies may arrive in a different order than their
   * requests were sent, so a reply never shortens the validity.
   *
   * @param sentAtSeconds when the renewal request was sent, in seconds of the steady clock
   * @throws IllegalStateException if there is no lease
   */
  void extend(double sentAtSeconds) {
    if (state != State.REGISTERED) {
      throw new IllegalStateException("cannot extend the lease: no lease is registered");
    }
    validUntilSeconds = Math.max(validUntilSeconds, validUntilForRequestSentAt(sentAtSeconds));
  }

  /** Records that the lease no longer exists in the state service. */
  void end() {
    if (state != State.REGISTERED) {
      throw new IllegalStateException("cannot end the lease: no lease is registered");
    }
    state = State.ABSENT;
    leaseId = OptionalLong.empty();
  }

  private double validUntilForRequestSentAt(double sentAtSeconds) {
    return sentAtSeconds + leaseTiming.ttlSeconds() - leaseTiming.safetyMarginSeconds();
  }

  /** Logs if the lease has become uncertain or valid since the last call. */
  void logValidityChange() {
    boolean isUncertain = !isValid();
    if (loggedAsUncertain != isUncertain) {
      loggedAsUncertain = isUncertain;
      LOG.info(
          "{}; {}",
          isUncertain ? "lease may have expired: task launches are suspended" : "lease is valid",
          describe());
    }
  }

  /** Returns the remaining validity and the known revision of the common rows, for log messages. */
  String describe() {
    return "lease valid for %.1f s, common rows known up to revision %d"
        .formatted(remainingSeconds(), clusterView.revision());
  }
}
