package io.violetrail.fleet;

import io.violetrail.config.Settings.Objective;
import io.violetrail.configuration.Configuration;
import io.violetrail.model.JobSpec;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import io.violetrail.scheduling.TaskPlacement;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides how much capacity to keep warm for job classes that must start sooner than a machine
 * boots. Peers can request warm capacity too, so each entity keeps only what its own arrivals need.
 * Called on the event loop's thread; after a crash the arrivals are counted anew.
 */
public final class WarmCapacity {
  /** The period over which arrivals are counted. */
  private static final double WINDOW_SECONDS = 240;

  /** The most that warm capacity may cost, as a multiple of the cheapest on-demand price. */
  private static final double MAX_PRICE_RATIO = 3;

  /** The most arrivals kept for a class; more would not improve the estimate. */
  private static final int MAX_ARRIVALS = 400;

  /** A boot may take 1.5 times as long as the machine type's boot time. */
  private static final double SLOW_BOOT_FACTOR = 1.5;

  private final Configuration configuration;

  /** The shortest time to start that the objectives require, in seconds, by class. */
  private final Map<String, Double> startWithinSeconds = new HashMap<>();

  private List<Objective> startObjectives = List.of();

  private final Map<String, JobClassArrivals> arrivalsByClass = new HashMap<>();

  private record Arrival(double atSeconds, int taskCount) {}

  private static final class JobClassArrivals {
    JobSpec sampleJob;
    int taskCount;
    final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();

    void dropBefore(double fromSeconds) {
      while (!arrivals.isEmpty() && arrivals.peekFirst().atSeconds() < fromSeconds) {
        taskCount -= arrivals.removeFirst().taskCount();
      }
    }
  }

  public WarmCapacity(Configuration configuration) {
    this.configuration = configuration;
  }

  private Map<String, Double> startWithinSeconds() {
    List<Objective> objectives = configuration.objectives();
    if (objectives != startObjectives) {
      startObjectives = objectives;
      startWithinSeconds.clear();
      for (Objective objective : objectives) {
        if ("wait".equals(objective.kind()) && objective.jobClass() != null) {
          startWithinSeconds.merge(objective.jobClass(), objective.withinSeconds(), Math::min);
        }
      }
    }
    return startWithinSeconds;
  }

  /** Returns whether the job must start sooner than a machine for it boots. */
  public boolean isUrgent(JobSpec job, Collection<MachineType> types) {
    Double startWithin = startWithinSeconds().get(job.jobClass());
    return startWithin != null
        && startWithin < SLOW_BOOT_FACTOR * bootSeconds(job, types) + BootTimes.OVERHEAD_SECONDS;
  }

  /** Returns the seconds until a task could run on a machine rented now, image fetch included. */
  public double secondsUntilStart(JobSpec job, Collection<MachineType> types) {
    double fetchSeconds = 0;
    for (MachineType machineType : types) {
      fetchSeconds = Math.max(fetchSeconds, job.imageGb() / machineType.fetchGbPerSecond());
    }
    return bootSeconds(job, types) + BootTimes.OVERHEAD_SECONDS + fetchSeconds;
  }

  private static double bootSeconds(JobSpec job, Collection<MachineType> types) {
    double shortestBoot = Double.POSITIVE_INFINITY;
    for (MachineType machineType : types) {
      if (machineType.capacity().countFitting(job.taskResources()) > 0) {
        shortestBoot = Math.min(shortestBoot, machineType.bootSeconds());
      }
    }
    return shortestBoot;
  }

  /**
   * Records a submitted job as a sample of its class's demand, if that class has a start time
   * objective.
   *
   * @param nowSeconds seconds of the monotonic clock
   */
  public void recordArrival(JobSpec job, double nowSeconds) {
    if (startWithinSeconds().containsKey(job.jobClass())) {
      JobClassArrivals classArrivals =
          arrivalsByClass.computeIfAbsent(job.jobClass(), c -> new JobClassArrivals());
      classArrivals.sampleJob = job;
      classArrivals.taskCount += job.taskCount();
      classArrivals.arrivals.addLast(new Arrival(nowSeconds, job.taskCount()));
      classArrivals.dropBefore(
          classArrivals.arrivals.size() > MAX_ARRIVALS
              ? classArrivals.arrivals.peekFirst().atSeconds() + 1e-9
              : nowSeconds - WINDOW_SECONDS);
    }
  }

  /**
   * Returns a sample job of each class that needs warm capacity, with the number of tasks to keep
   * capacity for.
   */
  public Map<JobSpec, Integer> wantedTaskCounts(Collection<MachineType> types, double nowSeconds) {
    Map<JobSpec, Integer> taskCounts = new HashMap<>();
    for (JobClassArrivals classArrivals : arrivalsByClass.values()) {
      classArrivals.dropBefore(nowSeconds - WINDOW_SECONDS);
      if (classArrivals.taskCount > 0 && isUrgent(classArrivals.sampleJob, types)) {
        double leadSeconds =
            bootSeconds(classArrivals.sampleJob, types) + BootTimes.OVERHEAD_SECONDS;
        taskCounts.put(
            classArrivals.sampleJob,
            (int) Math.ceil(classArrivals.taskCount / WINDOW_SECONDS * leadSeconds));
      }
    }
    return taskCounts;
  }

  /**
   * Returns how many more of the job's tasks would fit if tasks of lower priority were preempted.
   * Counts schedulable and booting machines that the job may use and that are not too expensive.
   */
  public static int freeTaskSlots(JobSpec job, Collection<Machine> machines, Prices prices) {
    int slots = 0;
    for (Machine machine : machines) {
      boolean usable =
          (machine.isSchedulable() || (!machine.row().hasReported() && !machine.isReturning()))
              && machine.isAllowedFor(job);
      if (usable
          && prices.isWorthwhile(
              job, machine.type(), machine.row().spot(), job.taskCount(), MAX_PRICE_RATIO)) {
        Resources capacity = machine.freeCapacity();
        for (TaskPlacement placement : machine.placements().values()) {
          if (!placement.isExitReported()
              && placement.job().spec().priority().compareTo(job.priority()) > 0) {
            capacity = capacity.plus(placement.job().spec().taskResources());
          }
        }
        slots += capacity.countFitting(job.taskResources());
      }
    }
    return slots;
  }
}
