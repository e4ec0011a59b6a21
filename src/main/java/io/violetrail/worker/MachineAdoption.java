package io.violetrail.worker;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.model.MachineId;
import io.violetrail.model.Version;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.ownership.Directory;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.Rows.MachineRow;
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

  private final Loop loop;
  private final Directory directory;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final double startedAtSeconds;

  /** When each worker without a record was first heard. */
  private final Cache<MachineId, Double> firstSeenAtSeconds =
      CacheBuilder.newBuilder().maximumSize(MAX_REMEMBERED).build();

  /** Adopts into the entity that the membership says is this controller's own. */
  public MachineAdoption(
      Loop loop, Directory directory, Membership membership, MachineTypes machineTypes) {
    this.loop = loop;
    this.directory = directory;
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.startedAtSeconds = loop.seconds();
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
    OwnedEntity own = membership.own();
    if (own == null
        || !own.active()
        || !membership.valid()
        || directory.wasReturned(report.machine())
        || machineTypes.find(report.type()) == null) {
      done.accept(HeartbeatReply.elsewhere(null));
      return;
    }
    if (mayBeRecordedSoon(report)) {
      done.accept(HeartbeatReply.stay(report));
      return;
    }
    MachineRow row = newRow(own, report);
    Futures.logFailure(
        own.register()
            .add(row)
            .whenComplete(
                (stored, failure) -> {
                  if (failure != null) {
                    done.accept(HeartbeatReply.elsewhere(null));
                    return;
                  }
                  LOG.info(
                      "machine {} adopted by entity {} version {}",
                      row.id(),
                      own.entity(),
                      row.term());
                  adopted.accept(own, stored);
                }),
        "record an adopted machine");
  }

  private MachineRow newRow(OwnedEntity own, WorkerReport report) {
    // Strictly above what its worker has seen: a report held back for minutes then shows its age.
    Version seen =
        report.token().compareTo(own.row().version()) > 0 ? report.token() : own.row().version();
    return new MachineRow(
        report.machine(),
        own.entity(),
        report.type(),
        report.zone(),
        report.spot(),
        true,
        seen.nextFor(own.row().version().owner()),
        loop.wallMillis());
  }

  /**
   * Whether the worker may be of a rental request whose answer or record is still under way: some
   * are up within a second or two. Adopted at once by whoever heard it first, it was missing where
   * it had been rented, and another was rented in its place.
   */
  private boolean mayBeRecordedSoon(WorkerReport report) {
    double now = loop.seconds();
    if (report.session() > 1
        || !report.pieces().isEmpty()
        || now - startedAtSeconds < SETTLED_SECONDS) {
      return false;
    }
    Double first = firstSeenAtSeconds.getIfPresent(report.machine());
    if (first == null) {
      firstSeenAtSeconds.put(report.machine(), (Double) now);
      return true;
    }
    return now - first < RECORDED_SECONDS;
  }
}
