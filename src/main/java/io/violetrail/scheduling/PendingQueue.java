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
 * The open jobs of an entity that have unplaced tasks, the most urgent first. The order is cached
 * for {@link #ORDER_CACHE_SECONDS}, since heartbeats that need it arrive many times a second and
 * deadlines pass slowly.
 *
 * <p>Part of {@link PendingQueues}, used on the event loop's thread.
 */
final class PendingQueue {
  private static final double ORDER_CACHE_SECONDS = 0.5;

  /**
   * The maximum time that an array which cannot meet its deadline waits for its first task behind
   * jobs that can still meet theirs. Without a limit, the widest arrays are deferred indefinitely
   * while there is more work than capacity: in an overload a third of them had not started after
   * four minutes. With a lower limit, too many arrays are ordered before jobs that could still meet
   * their deadlines. Gangs are excluded: going first does not help them, since the room for a whole
   * gang is never free at one time.
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

  /** Discards the cached order, since a job has arrived or tasks are pending again. */
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
    for (List<Job> jobs : groupByPriorityAndAccelerators().values()) {
      List<Job> overdueForFirstTask = new ArrayList<>();
      List<PendingJob> pendingJobs = new ArrayList<>();
      double availableCapacity = capacityAvailableTo(jobs.get(0));
      for (Job job : jobs) {
        job.prioritizeForFirstTask(isOverdueForFirstTask(job, nowSeconds));
        if (job.prioritizedForFirstTask()) {
          overdueForFirstTask.add(job);
        } else {
          pendingJobs.add(toPendingJob(job, availableCapacity, nowSeconds));
        }
      }
      // An overdue job goes first only until its first task is placed. Then it is ordered by
      // deadline again, so that other jobs can meet their deadlines.
      overdueForFirstTask.sort(Comparator.comparingDouble(Job::arrivedAtSeconds));
      sorted.addAll(overdueForFirstTask);
      DeadlineSelection.orderByDeadline(pendingJobs, nowSeconds)
          .forEach(pendingJob -> sorted.add(pendingJob.job()));
    }
    return sorted;
  }

  /**
   * Groups the pending jobs by priority and by whether they use accelerators. The groups are in the
   * order in which their jobs are placed.
   */
  private Map<String, List<Job>> groupByPriorityAndAccelerators() {
    Map<String, List<Job>> jobsByGroup = new TreeMap<>();
    for (Job job : entity.jobs().values()) {
      if (job.phase() == Job.Phase.OPEN && job.unplacedCount() > 0) {
        // Groups of the same priority may be in any order: they do not compete for machines.
        String groupKey = job.spec().priority().ordinal() + (usesAccelerators(job) ? " a" : " b");
        jobsByGroup.computeIfAbsent(groupKey, k -> new ArrayList<>()).add(job);
      }
    }
    return jobsByGroup;
  }

  private PendingJob toPendingJob(Job job, double availableCapacity, double nowSeconds) {
    double runtimeSeconds = runtimeEstimates.expectedRuntimeSeconds(job.spec());
    // A job that fails on every machine is ordered after all jobs that may meet their deadlines.
    double deadlineAtSeconds =
        job.isSuspect()
            ? Double.POSITIVE_INFINITY
            : objectives.nextReachableObjectiveSeconds(job, nowSeconds, runtimeSeconds);
    double workSeconds =
        job.unplacedCount()
            * runtimeSeconds
            * gpusOrCpus(job.spec().taskResources(), usesAccelerators(job))
            / availableCapacity;
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

  private static double gpusOrCpus(Resources resources, boolean countGpus) {
    return countGpus ? resources.gpus() : resources.cpus();
  }

  /**
   * Returns the capacity of the entity's schedulable machines that is available to jobs like the
   * given one, less what tasks of higher priority use: accelerators on accelerator machines, or
   * cores on the others. At least 1.
   */
  private double capacityAvailableTo(Job sampleJob) {
    boolean countGpus = usesAccelerators(sampleJob);
    double availableCapacity = 0;
    for (Machine machine : entity.machines().values()) {
      if (machine.isSchedulable() && (machine.type().capacity().gpus() > 0) == countGpus) {
        availableCapacity += gpusOrCpus(machine.type().capacity(), countGpus);
        for (TaskPlacement placement : machine.placements().values()) {
          if (placement.job().spec().priority().compareTo(sampleJob.spec().priority()) < 0) {
            availableCapacity -= gpusOrCpus(placement.job().spec().taskResources(), countGpus);
          }
        }
      }
    }
    return Math.max(1, availableCapacity);
  }
}
