package io.violetrail.worker;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.model.MachineId;
import io.violetrail.model.Version;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.StateSchema.MachineRow;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Adopts machines whose workers report but of which no entity has a record. Such a machine is added
 * to this controller's home entity by a conditional write: if two controllers try at the same time,
 * only one succeeds.
 *
 * <p>Called by {@link HeartbeatHandler} on the event loop's thread. The machine's record survives a
 * crash once it is stored. The time of a worker's first report does not survive, so a crash may
 * delay the machine's adoption.
 */
public final class MachineAdoption {
  private static final Logger LOG = LoggerFactory.getLogger(MachineAdoption.class);

  /**
   * Time for the answer to a scale-out request and the write of the machine's record when the cloud
   * and the state service are slow.
   */
  private static final double SCALE_OUT_RECORD_DELAY_SECONDS = 2.5;

  /**
   * Time after this controller's start during which workers without a record are assumed to have
   * been running before the controllers.
   */
  private static final double STARTUP_SECONDS = 10;

  private static final int MAX_REMEMBERED_WORKERS = 2_000;

  private final EventLoop loop;
  private final ClusterView clusterView;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final double startedAtSeconds;

  /** When each worker without a record first reported here, in seconds of the monotonic clock. */
  private final Cache<MachineId, Double> firstReportAtSeconds =
      CacheBuilder.newBuilder().maximumSize(MAX_REMEMBERED_WORKERS).build();

  /** Creates the adoption; the startup period begins now. */
  public MachineAdoption(
      EventLoop loop, ClusterView clusterView, Membership membership, MachineTypes machineTypes) {
    this.loop = loop;
    this.clusterView = clusterView;
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.startedAtSeconds = loop.monotonicSeconds();
  }

  /**
   * Adopts the machine of the report if this controller may.
   *
   * @param onAdopted receives the entity and the machine's row once the row is stored
   * @param replyConsumer receives the reply to the worker in every other case
   */
  void adopt(
      WorkerReport report,
      BiConsumer<OwnedEntity, MachineRow> onAdopted,
      Consumer<HeartbeatReply> replyConsumer) {
    OwnedEntity homeEntity = membership.findHomeEntity();
    if (homeEntity == null || !mayAdopt(homeEntity, report)) {
      replyConsumer.accept(HeartbeatReply.redirected(null));
      return;
    }
    if (mayHaveRecordInFlight(report)) {
      replyConsumer.accept(HeartbeatReply.withoutRenewal(report));
      return;
    }
    store(homeEntity, newRow(homeEntity, report), onAdopted, replyConsumer);
  }

  private boolean mayAdopt(OwnedEntity homeEntity, WorkerReport report) {
    return homeEntity.isActive()
        && membership.isLeaseValid()
        && !clusterView.wasTerminated(report.machineId())
        && machineTypes.find(report.machineType()) != null;
  }

  private static void store(
      OwnedEntity homeEntity,
      MachineRow row,
      BiConsumer<OwnedEntity, MachineRow> onAdopted,
      Consumer<HeartbeatReply> replyConsumer) {
    Futures.logFailure(
        homeEntity
            .machineRecords()
            .add(row)
            .whenComplete(
                (stored, failure) -> {
                  if (failure != null) {
                    replyConsumer.accept(HeartbeatReply.redirected(null));
                    return;
                  }
                  LOG.info(
                      "machine {} adopted by entity {} with fencing token {}",
                      row.id(),
                      homeEntity.id(),
                      row.term());
                  onAdopted.accept(homeEntity, stored);
                }),
        "record an adopted machine");
  }

  private MachineRow newRow(OwnedEntity homeEntity, WorkerReport report) {
    // The new term is strictly above the token that the worker has seen, so that a report that was
    // delayed in the network for minutes is recognizable as outdated.
    Version highestKnownVersion =
        report.fencingToken().compareTo(homeEntity.row().version()) > 0
            ? report.fencingToken()
            : homeEntity.row().version();
    return new MachineRow(
        report.machineId(),
        homeEntity.id(),
        report.machineType(),
        report.zone(),
        report.spot(),
        true,
        highestKnownVersion.nextOwnedBy(homeEntity.row().version().ownerIndex()),
        loop.wallMillis());
  }

  /**
   * Returns whether the machine may come from a scale-out request whose answer or record is still
   * in flight: some machines boot within a second or two. If the first controller to receive its
   * report adopted it at once, the requesting entity would lack the machine and request another in
   * its place.
   */
  private boolean mayHaveRecordInFlight(WorkerReport report) {
    double nowSeconds = loop.monotonicSeconds();
    if (report.session() > 1
        || !report.tasks().isEmpty()
        || nowSeconds - startedAtSeconds < STARTUP_SECONDS) {
      return false;
    }
    Double firstAtSeconds = firstReportAtSeconds.getIfPresent(report.machineId());
    if (firstAtSeconds == null) {
      firstReportAtSeconds.put(report.machineId(), (Double) nowSeconds);
      return true;
    }
    return nowSeconds - firstAtSeconds < SCALE_OUT_RECORD_DELAY_SECONDS;
  }
}
