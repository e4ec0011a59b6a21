package io.violetrail.controller;

import io.violetrail.api.JobRestorer;
import io.violetrail.api.StoredJob;
import io.violetrail.fleet.EntityMachines;
import io.violetrail.fleet.ScaleOutRequests;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.LeaseTiming;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.StateSchema;
import io.violetrail.scheduling.SchedulingLoop;
import io.violetrail.state.StateStore;
import io.violetrail.wire.StateStoreMessages.Entry;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Loads the stored rows of an entity that this controller has just acquired, and then activates the
 * entity. No scheduling decision is made for the entity before that. A read that fails is repeated.
 */
final class EntityRecovery {
  private static final Logger LOG = LoggerFactory.getLogger(EntityRecovery.class);
  private static final double RETRY_READ_SECONDS = 0.5;
  private static final double RETRY_MACHINE_TYPES_SECONDS = 0.3;

  private final EventLoop loop;
  private final LeaseTiming leaseTiming;
  private final StateStore store;
  private final ClusterView clusterView;
  private final EntityMachines machines;
  private final JobRestorer jobRestorer;
  private final ScaleOutRequests scaleOutRequests;
  private final SchedulingLoop schedulingLoop;

  EntityRecovery(
      EventLoop loop,
      LeaseTiming leaseTiming,
      StateStore store,
      ClusterView clusterView,
      EntityMachines machines,
      JobRestorer jobRestorer,
      ScaleOutRequests scaleOutRequests,
      SchedulingLoop schedulingLoop) {
    this.loop = loop;
    this.leaseTiming = leaseTiming;
    this.store = store;
    this.clusterView = clusterView;
    this.machines = machines;
    this.jobRestorer = jobRestorer;
    this.scaleOutRequests = scaleOutRequests;
    this.schedulingLoop = schedulingLoop;
  }

  /** The rows of one entity, read after its move to this controller. */
  private record EntityRows(List<StoredJob> openJobs, List<Entry> requests, List<Entry> progress) {}

  /**
   * Starts to read the entity's rows. The entity becomes active once they are read, unless this
   * controller has lost it by then.
   */
  void recover(OwnedEntity entity) {
    if (entity.phase() != OwnedEntity.Phase.LOADING) {
      return;
    }
    var openJobs =
        store
            .list(StateSchema.openJobPrefix(entity.id()))
            .thenCompose(listing -> jobRestorer.loadOpenJobs(entity, listing.entries()));
    var requests = store.list(StateSchema.scaleOutRequestPrefix(entity.id()));
    var progress = store.list(StateSchema.progressPrefix(entity.id()));
    // The machine rows must be read after the move. From then on only this owner changes them.
    var commonRows = store.list(StateSchema.COMMON_PREFIX);
    Futures.logFailure(
        CompletableFuture.allOf(openJobs, requests, progress, commonRows)
            .whenComplete(
                (ignored, failure) -> {
                  if (failure != null) {
                    loop.schedule(RETRY_READ_SECONDS, () -> recover(entity));
                    return;
                  }
                  clusterView.replaceWithListing(
                      commonRows.join().entries(), commonRows.join().revision());
                  activate(
                      entity,
                      new EntityRows(
                          openJobs.join(), requests.join().entries(), progress.join().entries()));
                }),
        "read the rows of an entity");
  }

  private void activate(OwnedEntity entity, EntityRows rows) {
    if (entity.phase() != OwnedEntity.Phase.LOADING) {
      return;
    }
    if (!machines.addAllRecorded(entity, unreportedTasksGoneAtSeconds(entity))) {
      LOG.info("entity {} not active yet: waiting for the machine types", entity.id());
      loop.schedule(RETRY_MACHINE_TYPES_SECONDS, () -> recover(entity));
      return;
    }
    entity.activate();
    jobRestorer.restore(entity, rows.openJobs(), rows.progress());
    scaleOutRequests.resumeRequests(entity, rows.requests());
    LOG.info(
        "entity {} version {} active: {} jobs, {} machines",
        entity.id(),
        entity.row().version(),
        entity.jobs().size(),
        entity.machines().size());
    schedulingLoop.requestPass();
  }

  /**
   * Returns when the tasks of a machine that has not reported by then have certainly terminated, in
   * seconds of the monotonic clock. No former owner can have renewed the worker's lease for longer.
   */
  private double unreportedTasksGoneAtSeconds(OwnedEntity entity) {
    double nowSeconds = loop.monotonicSeconds();
    double goneAfterMoveAtSeconds =
        entity.acquiredAtSeconds()
            + (entity.acquiredGracefully()
                ? leaseTiming.tasksGoneAfterHandoverSeconds()
                : leaseTiming.tasksGoneAfterFailoverSeconds());
    double goneAtSeconds =
        Math.max(goneAfterMoveAtSeconds, nowSeconds + leaseTiming.tasksGoneAfterReplySeconds());
    // If the handover follows soon after a failover, the owner before the failover may still be in
    // its grace period.
    return Math.max(
        goneAtSeconds,
        nowSeconds + leaseTiming.secondsUntilTasksGone(entity.row().history(), loop.wallMillis()));
  }
}
