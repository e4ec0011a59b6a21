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
 * How much capacity to keep warm for classes of jobs that are to start sooner than a machine boots.
 * Peers can request it too, so each entity keeps only what its own arrivals call for. Called on the
 * event loop's thread; after a crash the arrivals are counted anew.
 */
public final class WarmCapacity {
  /** Arrivals are counted over this long. */
  private static final double WINDOW_SECONDS = 240;

  /** Warm capacity may cost this many times the cheapest on-demand price. */
  private static final double MAX_PRICE_RATIO = 3;

  /** Arrivals remembered of a class; more add nothing to the estimate. */
  private static final int MAX_ARRIVALS = 400;

  /** A boot may take half as long again as its type says. */
  private static final double SLOW_BOOT_FACTOR = 1.5;

  private final Configuration configuration;

  /** The soonest start that the objectives ask for, by class. */
  private final Map<String, Double> startWithinSeconds = new HashMap<>();

  private List<Objective> startObjectives = List.of();

  private final Map<String, JobClassArrivals> arrivalsByClass = new HashMap<>();

  private record Arrival(double atSeconds, int taskCount) {}

  private static final class JobClassArrivals {
    JobSpec example;
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

  /** Whether the job is to start sooner than a machine for it boots. */
  public boolean isUrgent(JobSpec job, Collection<MachineType> types) {
    Double startWithin = startWithinSeconds().get(job.jobClass());
    return startWithin != null
        && startWithin < SLOW_BOOT_FACTOR * bootSeconds(job, types) + BootTimes.OVERHEAD_SECONDS;
  }

  /** How many seconds until a task could run on a machine rented now. */
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
   * @param nowSeconds steady clock reading, in seconds
   */
  public void recordArrival(JobSpec job, double nowSeconds) {
    if (startWithinSeconds().containsKey(job.jobClass())) {
      JobClassArrivals arrivals =
          arrivalsByClass.computeIfAbsent(job.jobClass(), c -> new JobClassArrivals());
      arrivals.example = job;
      arrivals.taskCount += job.taskCount();
      arrivals.arrivals.addLast(new Arrival(nowSeconds, job.taskCount()));
      arrivals.dropBefore(
          arrivals.arrivals.size() > MAX_ARRIVALS
              ? arrivals.arrivals.peekFirst().atSeconds() + 1e-9
              : nowSeconds - WINDOW_SECONDS);
    }
  }

  /** Examples of jobs that capacity is kept warm for, with the number of tasks to keep it for. */
  public Map<JobSpec, Integer> wantedTaskCounts(Collection<MachineType> types, double nowSeconds) {
    Map<JobSpec, Integer> taskCounts = new HashMap<>();
    for (JobClassArrivals arrivals : arrivalsByClass.values()) {
      arrivals.dropBefore(nowSeconds - WINDOW_SECONDS);
      if (arrivals.taskCount > 0 && isUrgent(arrivals.example, types)) {
        double leadSeconds = bootSeconds(arrivals.example, types) + BootTimes.OVERHEAD_SECONDS;
        taskCounts.put(
            arrivals.example, (int) Math.ceil(arrivals.taskCount / WINDOW_SECONDS * leadSeconds));
      }
    }
    return taskCounts;
  }

  /** How many more tasks of the job would fit if less urgent ones were preempted. */
  public static int freeTaskSlots(JobSpec job, Collection<Machine> machines, Prices prices) {
    int slots = 0;
    for (Machine machine : machines) {
      boolean usable =
          (machine.isSchedulable() || (!machine.row().hasReported() && !machine.returning()))
              && job.allowsMachine(
                  machine.row().type(), machine.row().zone(), machine.row().spot());
      if (usable
          && prices.isWorthwhile(
              job, machine.type(), machine.row().spot(), job.taskCount(), MAX_PRICE_RATIO)) {
        Resources capacity = machine.freeCapacity();
        for (TaskPlacement placement : machine.placements().values()) {
          if (placement.job().spec().priority().compareTo(job.priority()) > 0) {
            capacity = capacity.plus(placement.job().spec().taskResources());
          }
        }
        slots += capacity.countFitting(job.taskResources());
      }
    }
    return slots;
  }
}
