package io.violetrail.ownership;

import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.state.StateStore;
import io.violetrail.wire.StateStoreMessages.TransactionOutcome;
import java.util.OptionalLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Acquires this controller's lease, registers the controller under it, and renews it periodically.
 * Replaces a lease that has expired by a new one.
 *
 * <p>Runs on the event loop's thread. At most one acquisition is in progress, because renewals
 * pause until it has succeeded. After a crash, the lease of the previous process expires by itself.
 */
final class ControllerLeaseRenewal {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerLeaseRenewal.class);
  private static final double RETRY_GRANT_SECONDS = 0.3;
  private static final double RETRY_REGISTRATION_SECONDS = 0.2;

  private final EventLoop loop;
  private final StateStore store;
  private final ClusterView clusterView;
  private final LeaseTiming leaseTiming;
  private final ControllerLease lease;
  private final ControllerRegistration registration;

  ControllerLeaseRenewal(
      EventLoop loop,
      StateStore store,
      ClusterView clusterView,
      LeaseTiming leaseTiming,
      ControllerLease lease,
      ControllerRegistration registration) {
    this.loop = loop;
    this.store = store;
    this.clusterView = clusterView;
    this.leaseTiming = leaseTiming;
    this.lease = lease;
    this.registration = registration;
  }

  /** Acquires the first lease and starts the periodic renewal. */
  void start() {
    acquire();
    loop.scheduleWithFixedDelay(leaseTiming.renewIntervalSeconds(), this::renew);
  }

  /** Requests a new lease and reads the common rows, which the registration is drafted from. */
  private void acquire() {
    double sentAtSeconds = loop.monotonicSeconds();
    Futures.logFailure(
        store
            .grantLease(leaseTiming.ttlSeconds())
            .thenCombine(
                store.list(StateSchema.COMMON_PREFIX),
                (id, listing) -> {
                  clusterView.replaceWithListing(listing.entries(), listing.revision());
                  return id;
                })
            .whenComplete(
                (id, failure) -> {
                  if (failure != null) {
                    loop.schedule(RETRY_GRANT_SECONDS, this::acquire);
                  } else {
                    register(id, sentAtSeconds);
                  }
                }),
        "acquire a lease");
  }

  private void register(long newLeaseId, double sentAtSeconds) {
    ControllerRegistration.Draft draft = registration.draft(newLeaseId);
    Futures.logFailure(
        store
            .tryUrgentTransaction(draft.transaction())
            .whenComplete(
                (outcome, failure) -> {
                  if (failure != null) {
                    loop.schedule(RETRY_REGISTRATION_SECONDS, this::acquire);
                  } else if (!outcome.applied()) {
                    registration.onRefused(outcome.failedKeys());
                    loop.schedule(RETRY_REGISTRATION_SECONDS, this::acquire);
                  } else {
                    onRegistered(newLeaseId, sentAtSeconds, draft, outcome);
                  }
                }),
        "register this controller and take its home entity");
  }

  private void onRegistered(
      long newLeaseId,
      double sentAtSeconds,
      ControllerRegistration.Draft draft,
      TransactionOutcome outcome) {
    lease.register(newLeaseId, sentAtSeconds);
    LOG.info("lease {} registered at revision {}", newLeaseId, outcome.revision());
    registration.onApplied(draft, outcome.revision());
  }

  private void renew() {
    OptionalLong leaseId = lease.leaseId();
    if (leaseId.isEmpty()) {
      return;
    }
    long renewedLeaseId = leaseId.getAsLong();
    double sentAtSeconds = loop.monotonicSeconds();
    Futures.logFailure(
        store
            .renewLease(renewedLeaseId)
            .whenComplete(
                (renewed, failure) -> {
                  if (!lease.isCurrent(renewedLeaseId) || failure != null) {
                    return;
                  }
                  if (renewed) {
                    lease.extend(sentAtSeconds);
                  } else {
                    LOG.info("lease {} has expired; acquiring a new lease", renewedLeaseId);
                    lease.end();
                    acquire();
                  }
                }),
        "renew the lease");
  }
}
