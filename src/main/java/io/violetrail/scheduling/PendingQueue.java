package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.model.JobShape;
import io.violetrail.model.Resources;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.DeadlineSelection.PendingJob;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Jobs of an entity with unplaced tasks, the most urgent first. The order is cached for a moment:
 * deadlines pass slowly, and heartbeats that need the order arrive many times a second.
 *
 * <p>Part of {@link PendingQueues}, used on the event loop's thread.
 */
final class PendingQueue {
  private static final double ORDER_CACHE_SECONDS = 0.5;

  /**
   * So long at most an array waits for its first task because others can meet their deadlines and
   * it cannot. Without a limit, while there is more work than room, the widest arrays would make
   * way without end: in an overload a third of them had not started after four minutes. With a
   * lower limit, too many go before those that could still meet their deadlines. A gang is not
   * helped by going first: its room is never free at once.
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

  /** A job has arrived, or tasks of one are pending again. */
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
    List<Job> sorted = new ArrayList<>();
    for (List<Job> jobs : groupByKind().values()) {
      List<Job> firstTaskJobs = new ArrayList<>();
      List<PendingJob> pendingJobs = new ArrayList<>();
      double totalRoom = totalRoomFor(jobs.get(0));
      for (Job job : jobs) {
        job.prioritizeForFirstTask(isOverdueForFirstTask(job, nowSeconds));
        if (job.prioritizedForFirstTask()) {
          firstTaskJobs.add(job);
        } else {
          pendingJobs.add(toPendingJob(job, totalRoom, nowSeconds));
        }
      }
      // For the first task only: with it the job makes way again, so that others meet deadlines.
      firstTaskJobs.sort(Comparator.comparingDouble(Job::arrivedAtSeconds));
      sorted.addAll(firstTaskJobs);
      DeadlineSelection.orderByDeadline(pendingJobs, nowSeconds)
          .forEach(pendingJob -> sorted.add(pendingJob.job()));
    }
    return sorted;
  }

  /** By priority and by kind, in the order in which they are placed. */
  private Map<String, List<Job>> groupByKind() {
    Map<String, List<Job>> jobsByKind = new TreeMap<>();
    for (Job job : entity.jobs().values()) {
      if (job.phase() == Job.Phase.OPEN && job.unplacedCount() > 0) {
        // Priorities come one after the other; kinds of one priority do not compete for room.
        String kind = job.spec().priority().ordinal() + (usesAccelerators(job) ? " a" : " b");
        jobsByKind.computeIfAbsent(kind, k -> new ArrayList<>()).add(job);
      }
    }
    return jobsByKind;
  }

  private PendingJob toPendingJob(Job job, double totalRoom, double nowSeconds) {
    double runtimeSeconds = runtimeEstimates.expectedRuntimeSeconds(job.spec());
    // A job that fails on every machine comes after all that may meet their deadlines.
    double deadlineAtSeconds =
        job.isSuspect()
            ? Double.POSITIVE_INFINITY
            : objectives.nextReachableObjectiveSeconds(job, nowSeconds, runtimeSeconds);
    double workSeconds =
        job.unplacedCount()
            * runtimeSeconds
            * amountOfKind(job.spec().taskResources(), usesAccelerators(job))
            / totalRoom;
    return new PendingJob(job, deadlineAtSeconds, workSeconds, runtimeSeconds);
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

  /** The room of the entity's machines for work of this kind, less what is more urgent. */
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
