package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.fleet.ZoneSupply;
import io.violetrail.model.JobShape;
import io.violetrail.ownership.OwnedEntity;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Chooses the zone of jobs whose tasks start one by one but must all be in the same zone. The first
 * task binds its job to a zone, so it must not start where there is no room for the others and none
 * can be rented. A service that is bound to such a zone all the same, since it has lost machines
 * there, is moved to another zone as soon as all of its replicas have room there. Arrays are not
 * moved: their tasks end, and then the zone can be chosen anew.
 *
 * <p>Called on the event loop's thread; has no state. The reservations that protect a move are kept
 * in {@link Machine} and are lost with the process; the next owner decides anew.
 */
public final class SingleZonePlanner {
  private static final Logger LOG = LoggerFactory.getLogger(SingleZonePlanner.class);

  private final PlacementConstraints constraints;
  private final Preemption preemption;
  private final ZoneSupply supply;

  /**
   * Creates a planner.
   *
   * @param preemption stops the tasks of a service that is moved
   * @param supply tells where further machines can be rented
   */
  public SingleZonePlanner(
      PlacementConstraints constraints, Preemption preemption, ZoneSupply supply) {
    this.constraints = constraints;
    this.preemption = preemption;
    this.supply = supply;
  }

  /**
   * Returns the zones in which the job's next task may start. If the job may choose a single zone,
   * that is the one which can best take all of its tasks.
   */
  ZoneAllowance allowanceFor(OwnedEntity entity, Job job, double nowSeconds) {
    ZoneAllowance allowance = ZoneAllowance.of(job);
    int neededCount = entity.startableCount(job, nowSeconds);
    if (!allowance.mayChooseSingleZone()
        || job.spec().shape() == JobShape.GANG
        || neededCount <= 1) {
      return allowance;
    }
    Map<String, Integer> slotsByZone = countSlotsByZone(entity, job, allowance, nowSeconds);
    if (job.spec().shape() == JobShape.SERVICE && !job.mayUseAnyRoom(nowSeconds)) {
      // A service rather waits for machines than starts where not all of its replicas can follow.
      supply.zones().stream()
          .filter(zone -> supply.canRent(job.spec(), zone))
          .forEach(zone -> slotsByZone.putIfAbsent(zone, 0));
    }
    return slotsByZone.isEmpty()
        ? allowance
        : allowance.restrictedTo(findBestZone(job, neededCount, slotsByZone));
  }

  private String findBestZone(Job job, int neededCount, Map<String, Integer> slotsByZone) {
    String bestZone = null;
    ZoneSuitability best = null;
    for (var slotsInZone : slotsByZone.entrySet()) {
      ZoneSuitability suitability =
          suitabilityOf(job, neededCount, slotsInZone.getKey(), slotsInZone.getValue());
      int comparison = best == null ? 1 : suitability.compareTo(best);
      if (comparison > 0
          || (comparison == 0 && slotsInZone.getValue() > slotsByZone.get(bestZone))) {
        bestZone = slotsInZone.getKey();
        best = suitability;
      }
    }
    return bestZone;
  }

  /** How much of a job a zone can take. The order is from the worst to the best. */
  private enum ZoneSuitability {
    /** Only a part of the tasks has room, and no machine can be rented. */
    PART_ONLY,
    /** Machines for the tasks without room can be rented. */
    CAN_GROW,
    /** All tasks have room now. */
    HAS_ROOM
  }

  private ZoneSuitability suitabilityOf(Job job, int neededCount, String zone, int slots) {
    if (slots >= neededCount) {
      return ZoneSuitability.HAS_ROOM;
    }
    return supply.canRent(job.spec(), zone) ? ZoneSuitability.CAN_GROW : ZoneSuitability.PART_ONLY;
  }

  /**
   * Returns whether the job is a service that must leave its zone to become complete: replicas are
   * missing, and no machine for them can be rented where the others are.
   */
  public boolean needsAnotherZone(Job job) {
    if (job.spec().shape() != JobShape.SERVICE
        || !job.spec().singleZone()
        || job.spec().zone() != null
        || job.hasNoPlacements()
        || job.unplacedCount() == 0) {
      return false;
    }
    Set<String> zones = job.placedCountByZone().keySet();
    return zones.stream().noneMatch(zone -> supply.canRent(job.spec(), zone));
  }

  /**
   * Starts to move a service that needs another zone, if one has room for all of its replicas: this
   * room is reserved, and the replicas are stopped. A later pass starts them there once all of them
   * are gone from the former zone.
   */
  void moveIfNeeded(OwnedEntity entity, Job job, double nowSeconds) {
    if (!needsAnotherZone(job)
        || job.placements().stream().anyMatch(TaskPlacement::isStopRequested)) {
      return;
    }
    ZoneAllowance allowance = ZoneAllowance.ofUnplaced(job.spec());
    Map<String, Integer> slotsByZone = countSlotsByZone(entity, job, allowance, nowSeconds);
    for (var slotsInZone : slotsByZone.entrySet()) {
      if (slotsInZone.getValue() >= job.spec().taskCount()) {
        move(entity, job, slotsInZone.getKey(), nowSeconds);
        return;
      }
    }
  }

  private void move(OwnedEntity entity, Job job, String zone, double nowSeconds) {
    LOG.info(
        "job {}: moving its {} replicas to zone {}, as their zone has no room for the others",
        job.spec().id(),
        job.placedCount(),
        zone);
    ZoneAllowance allowance = ZoneAllowance.ofUnplaced(job.spec()).restrictedTo(zone);
    List<Machine> targets = new ArrayList<>();
    for (Machine machine : entity.machines().values()) {
      if (machine.isSchedulable() && constraints.fits(job, machine, allowance, nowSeconds)) {
        targets.add(machine);
      }
    }
    double graceSeconds = 0;
    for (TaskPlacement placement : job.placements()) {
      graceSeconds = Math.max(graceSeconds, preemption.preempt(entity, placement, nowSeconds));
    }
    for (Machine machine : targets) {
      machine.reserve(job, nowSeconds + graceSeconds + Preemption.RESERVATION_SECONDS);
    }
  }

  /** Returns how many of the job's tasks could start in each zone now; zones without are absent. */
  private Map<String, Integer> countSlotsByZone(
      OwnedEntity entity, Job job, ZoneAllowance allowance, double nowSeconds) {
    Map<String, Integer> slotsByZone = new HashMap<>();
    for (Machine machine : entity.machines().values()) {
      if (machine.isSchedulable() && constraints.fits(job, machine, allowance, nowSeconds)) {
        slotsByZone.merge(
            machine.row().zone(),
            machine.freeCapacity().countFitting(job.spec().taskResources()),
            Integer::sum);
      }
    }
    return slotsByZone;
  }
}
