package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.model.JobShape;
import io.violetrail.model.Resources;
import io.violetrail.ownership.OwnedEntity;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Jobs of an entity with tasks that wait, the most urgent first. The order is kept for a moment:
 * due times pass slowly, and reports that need the order come many times a second.
 */
final class PendingQueue {
  private static final double ORDER_CACHE_SECONDS = 0.5;

  /**
   * So long at most an array waits for its first task because others fit in time and it does not.
   * While there was more work than room, the widest made way without end: a third of them had not
   * begun after four minutes of a bad day. Sooner than after three, too many went before those that
   * could still be in time. A gang is not helped by going first: its room is never free at once.
   */
  private static final double MAX_FIRST_TASK_WAIT_SECONDS = 180;

  private final OwnedEntity entity;
  private final ServiceLevelObjectives objectives;
  private final RuntimeEstimates runtimeEstimates;
  private List<Job> order = List.of();
  private double orderedAtSeconds = Double.NEGATIVE_INFINITY;

  PendingQueue(
      OwnedEntity entity, ServiceLevelObjectives objectives, RuntimeEstimates runtimeEstimates) {
    this.entity = entity;
    this.objectives = objectives;
    this.runtimeEstimates = runtimeEstimates;
  }

  /** A job has come, or tasks wait again. */
  void invalidateOrder() {
    orderedAtSeconds = Double.NEGATIVE_INFINITY;
  }

  List<Job> orderedJobs(double nowSeconds) {
    if (nowSeconds - orderedAtSeconds >= ORDER_CACHE_SECONDS) {
      orderedAtSeconds = nowSeconds;
      order = sortJobs(nowSeconds);
    }
    return order;
  }

  private List<Job> sortJobs(double nowSeconds) {
    Map<String, List<Job>> jobsByKind = new TreeMap<>();
    for (Job job : entity.jobs().values()) {
      if (job.phase() == Job.Phase.OPEN && job.unplacedCount() > 0) {
        // Priorities come one after the other; kinds of one priority do not compete for room.
        String kind = job.spec().priority().ordinal() + (usesAccelerators(job) ? " a" : " b");
        jobsByKind.computeIfAbsent(kind, k -> new ArrayList<>()).add(job);
      }
    }
    List<Job> order = new ArrayList<>();
    for (List<Job> jobs : jobsByKind.values()) {
      double totalRoom = totalRoomFor(jobs.get(0));
      List<DeadlineSelection.PendingJob> pendingJobs = new ArrayList<>();
      List<Job> firstTaskJobs = new ArrayList<>();
      for (Job job : jobs) {
        job.prioritizeForFirstTask(isOverdueForFirstTask(job, nowSeconds));
        if (job.prioritizedForFirstTask()) {
          firstTaskJobs.add(job);
          continue;
        }
        double runtimeSeconds = runtimeEstimates.expectedRuntimeSeconds(job.spec());
        // What fails wherever it goes comes after all that may be in time.
        boolean suspect = job.isSuspect();
        double deadlineAtSeconds =
            suspect
                ? Double.POSITIVE_INFINITY
                : objectives.nextReachableObjectiveSeconds(job, nowSeconds, runtimeSeconds);
        double workSeconds =
            job.unplacedCount()
                * runtimeSeconds
                * amountOfKind(job.spec().taskResources(), usesAccelerators(job))
                / totalRoom;
        pendingJobs.add(
            new DeadlineSelection.PendingJob(job, deadlineAtSeconds, workSeconds, runtimeSeconds));
      }
      // Only to begin: with its first task it makes way again, so that others stay in time.
      firstTaskJobs.sort(Comparator.comparingDouble(j -> j.arrivedAtSeconds()));
      order.addAll(firstTaskJobs);
      DeadlineSelection.orderByDeadline(pendingJobs, nowSeconds).forEach(d -> order.add(d.job()));
    }
    return order;
  }

  private static boolean isOverdueForFirstTask(Job job, double nowSeconds) {
    return nowSeconds - job.arrivedAtSeconds() > MAX_FIRST_TASK_WAIT_SECONDS
        && job.spec().shape() == JobShape.ARRAY
        && job.hasNoPlacements()
        && job.doneCount() == 0
        && !job.bestEffort()
        && !job.isSuspect();
  }

  private static boolean usesAccelerators(Job job) {
    return job.spec().taskResources().gpus() > 0;
  }

  private static double amountOfKind(Resources resources, boolean gpus) {
    return gpus ? resources.gpus() : resources.cpus();
  }

  /** What the entity's machines hold for work of this kind, beside what is more urgent. */
  private double totalRoomFor(Job sampleJob) {
    boolean gpus = usesAccelerators(sampleJob);
    double room = 0;
    for (Machine machine : entity.machines().values()) {
      if (machine.isSchedulable() && (machine.type().capacity().gpus() > 0) == gpus) {
        room += amountOfKind(machine.type().capacity(), gpus);
        for (TaskPlacement placement : machine.placements().values()) {
          if (placement.job().spec().priority().compareTo(sampleJob.spec().priority()) < 0) {
            room -= amountOfKind(placement.job().spec().taskResources(), gpus);
          }
        }
      }
    }
    return Math.max(1, room);
  }
}
