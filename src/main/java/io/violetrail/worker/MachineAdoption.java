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
 * Adopts machines that report and that no entity has a record of into this controller's home
 * entity, by a conditional write: if two controllers try at once, one of them fails.
 *
 * <p>Called by {@link HeartbeatHandler} on the event loop's thread. The machine's record survives a
 * crash once it is stored; when a worker was first heard does not, which delays its adoption.
 */
public final class MachineAdoption {
  private static final Logger LOG = LoggerFactory.getLogger(MachineAdoption.class);

  /** The answer to a scale-out request and the machine's record take so long with slow services. */
  private static final double SCALE_OUT_RECORDED_SECONDS = 2.5;

  /**
   * Workers without a record are, so soon after the start, those that ran before the controllers.
   */
  private static final double STARTUP_SECONDS = 10;

  private static final int MAX_REMEMBERED = 2_000;

  private final EventLoop loop;
  private final ClusterView clusterView;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final double startedAtSeconds;

  /** When each worker without a record was first heard. */
  private final Cache<MachineId, Double> firstSeenAtSeconds =
      CacheBuilder.newBuilder().maximumSize(MAX_REMEMBERED).build();

  /** Adopts into the entity that {@code membership} names as this controller's home entity. */
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
   * @param onAdopted gets the entity and the machine's row once it is stored
   * @param replyConsumer gets the reply to the worker in every other case
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
    if (mayBeRecordedSoon(report)) {
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
                      "machine {} adopted by entity {} version {}",
                      row.id(),
                      homeEntity.id(),
                      row.term());
                  onAdopted.accept(homeEntity, stored);
                }),
        "record an adopted machine");
  }

  private MachineRow newRow(OwnedEntity homeEntity, WorkerReport report) {
    // Strictly above the token that its worker has seen, so that a report that was delayed in the
    // network for minutes shows its age.
    Version seen =
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
        seen.nextOwnedBy(homeEntity.row().version().ownerIndex()),
        loop.wallMillis());
  }

  /**
   * Whether the worker may be of a scale-out request whose answer or record is still in flight:
   * some machines are up within a second or two. If whoever hears it first adopted it at once, it
   * would be missing in the entity that requested it, which would request another in its place.
   */
  private boolean mayBeRecordedSoon(WorkerReport report) {
    double now = loop.monotonicSeconds();
    if (report.session() > 1
        || !report.tasks().isEmpty()
        || now - startedAtSeconds < STARTUP_SECONDS) {
      return false;
    }
    Double first = firstSeenAtSeconds.getIfPresent(report.machineId());
    if (first == null) {
      firstSeenAtSeconds.put(report.machineId(), (Double) now);
      return true;
    }
    return now - first < SCALE_OUT_RECORDED_SECONDS;
  }
}
