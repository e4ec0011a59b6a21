package io.violetrail.worker;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.model.MachineId;
import io.violetrail.model.Version;
import io.violetrail.net.EventLoop;
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
 * Takes machines that report and that no entity has recorded into this controller's own entity, by
 * a conditional write.
 */
public final class MachineAdoption {
  private static final Logger LOG = LoggerFactory.getLogger(MachineAdoption.class);

  /** A rental's answer and its record take this long when the services are slow. */
  private static final double RECORDED_SECONDS = 2.5;

  /** Before that, workers without a record are those that were there before the controllers. */
  private static final double SETTLED_SECONDS = 10;

  private static final int MAX_REMEMBERED = 2_000;

  private final EventLoop loop;
  private final ClusterView clusterView;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final double startedAtSeconds;

  /** When each worker without a record was first heard. */
  private final Cache<MachineId, Double> firstSeenAtSeconds =
      CacheBuilder.newBuilder().maximumSize(MAX_REMEMBERED).build();

  /** Adopts into the entity that the membership says is this controller's own. */
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
   * @param adopted gets the entity and the machine's row once it is stored
   * @param done gets the answer to the worker in every other case
   */
  void adopt(
      WorkerReport report,
      BiConsumer<OwnedEntity, MachineRow> adopted,
      Consumer<HeartbeatReply> done) {
    OwnedEntity ownEntity = membership.findHomeEntity();
    if (ownEntity == null
        || !ownEntity.isActive()
        || !membership.isLeaseValid()
        || clusterView.wasTerminated(report.machineId())
        || machineTypes.find(report.machineType()) == null) {
      done.accept(HeartbeatReply.redirected(null));
      return;
    }
    if (mayBeRecordedSoon(report)) {
      done.accept(HeartbeatReply.withoutRenewal(report));
      return;
    }
    MachineRow row = newRow(ownEntity, report);
    ownEntity
        .machineRecords()
        .add(row)
        .whenComplete(
            (stored, failure) -> {
              if (failure != null) {
                done.accept(HeartbeatReply.redirected(null));
                return;
              }
              LOG.info(
                  "machine {} adopted by entity {} version {}",
                  row.id(),
                  ownEntity.id(),
                  row.term());
              adopted.accept(ownEntity, stored);
            });
  }

  private MachineRow newRow(OwnedEntity ownEntity, WorkerReport report) {
    // Strictly above what its worker has seen: a report held back for minutes then shows its age.
    Version seen =
        report.fencingToken().compareTo(ownEntity.row().version()) > 0
            ? report.fencingToken()
            : ownEntity.row().version();
    return new MachineRow(
        report.machineId(),
        ownEntity.id(),
        report.machineType(),
        report.zone(),
        report.spot(),
        true,
        seen.nextOwnedBy(ownEntity.row().version().ownerIndex()),
        loop.wallMillis());
  }

  /**
   * Whether the worker may be of a rental request whose answer or record is still under way: some
   * are up within a second or two. Adopted at once by whoever heard it first, it was missing where
   * it had been rented, and another was rented in its place.
   */
  private boolean mayBeRecordedSoon(WorkerReport report) {
    double now = loop.monotonicSeconds();
    if (report.session() > 1
        || !report.tasks().isEmpty()
        || now - startedAtSeconds < SETTLED_SECONDS) {
      return false;
    }
    Double first = firstSeenAtSeconds.getIfPresent(report.machineId());
    if (first == null) {
      firstSeenAtSeconds.put(report.machineId(), (Double) now);
      return true;
    }
    return now - first < RECORDED_SECONDS;
  }
}
