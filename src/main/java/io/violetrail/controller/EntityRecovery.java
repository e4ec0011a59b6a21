package io.violetrail.controller;

import io.violetrail.api.Jobs;
import io.violetrail.api.Ledger;
import io.violetrail.fleet.EntityMachines;
import io.violetrail.fleet.Hires;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.ownership.Directory;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.Rows;
import io.violetrail.ownership.Timing;
import io.violetrail.scheduling.SchedulingLoop;
import io.violetrail.state.StateStore;
import io.violetrail.wire.StateWire.Entry;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads what a former owner has stored of an entity that was just acquired, and activates the
 * entity. Until then nothing is decided for it; a read that fails is repeated.
 */
final class EntityRecovery {
  private static final Logger LOG = LoggerFactory.getLogger(EntityRecovery.class);
  private static final double RETRY_READ_SECONDS = 0.5;
  private static final double RETRY_MACHINE_TYPES_SECONDS = 0.3;

  private final Loop loop;
  private final Timing timing;
  private final StateStore store;
  private final Directory directory;
  private final EntityMachines machines;
  private final Jobs jobs;
  private final Hires hires;
  private final SchedulingLoop schedulingLoop;

  EntityRecovery(
      Loop loop,
      Timing timing,
      StateStore store,
      Directory directory,
      EntityMachines machines,
      Jobs jobs,
      Hires hires,
      SchedulingLoop schedulingLoop) {
    this.loop = loop;
    this.timing = timing;
    this.store = store;
    this.directory = directory;
    this.machines = machines;
    this.jobs = jobs;
    this.hires = hires;
    this.schedulingLoop = schedulingLoop;
  }

  /** The rows of one entity, as read after the move. */
  private record EntityRows(
      List<Ledger.Stored> openJobs, List<Entry> requests, List<Entry> progress) {}

  /** Begins to read; the entity becomes active later, unless it is lost before. */
  void recover(OwnedEntity entity) {
    if (entity.phase() != OwnedEntity.Phase.LOADING) {
      return;
    }
    var openJobs =
        store
            .list(Rows.sheets(entity.entity()))
            .thenCompose(listing -> jobs.open(entity, listing.entries()));
    var requests = store.list(Rows.hires(entity.entity()));
    var progress = store.list(Rows.progress(entity.entity()));
    // Rows of machines as of after the move: from here on only this owner changes them.
    var common = store.list(Rows.COMMON);
    Futures.logFailure(
        CompletableFuture.allOf(openJobs, requests, progress, common)
            .whenComplete(
                (nothing, failure) -> {
                  if (failure != null) {
                    loop.after(RETRY_READ_SECONDS, () -> recover(entity));
                    return;
                  }
                  directory.replace(common.join().entries(), common.join().revision());
                  activate(
                      entity,
                      new EntityRows(
                          openJobs.join(), requests.join().entries(), progress.join().entries()));
                }),
        "read an entity's rows");
  }

  private void activate(OwnedEntity entity, EntityRows rows) {
    if (entity.phase() != OwnedEntity.Phase.LOADING) {
      return;
    }
    if (!machines.addAllRecorded(entity, unheardTasksGoneSeconds(entity))) {
      LOG.info("entity {} waits for the machine types", entity.entity());
      loop.after(RETRY_MACHINE_TYPES_SECONDS, () -> recover(entity));
      return;
    }
    entity.activate();
    jobs.load(entity, rows.openJobs(), rows.progress());
    hires.resume(entity, rows.requests());
    LOG.info(
        "entity {} version {} active: {} jobs, {} machines",
        entity.entity(),
        entity.row().version(),
        entity.jobs().size(),
        entity.machines().size());
    schedulingLoop.requestPass();
  }

  /**
   * When the tasks of a machine that has not reported until then are certainly gone: no former
   * owner can have kept its worker's lease longer.
   */
  private double unheardTasksGoneSeconds(OwnedEntity entity) {
    double now = loop.seconds();
    double afterMove =
        entity.gainedS() + (entity.calm() ? timing.goneAfterAnswerS() : timing.goneAfterSeizureS());
    double gone = Math.max(afterMove, now + timing.goneAfterAnswerS());
    // Handed on soon after a seizure: the owner that it was seized from may still be in its grace.
    return Math.max(
        gone, now + timing.goneAfterLastSeizureS(entity.row().past(), loop.wallMillis()));
  }
}
