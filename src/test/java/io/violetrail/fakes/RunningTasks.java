package io.violetrail.fakes;

import io.violetrail.model.Resources;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Records which tasks occupy which workers. The record is updated as tasks arrive and depart, so
 * that a rule can be checked without iterating over every task of every worker.
 *
 * <p>A worker whose lease has expired drops its tasks at its next step. Its tasks count until then,
 * so all results are upper bounds. {@link InvariantChecker} expires due leases before it reports a
 * violation.
 */
final class RunningTasks {
  private final Function<String, TeamTaskResources> resourcesOfJob;

  /** Workers by job, then by task. */
  private final Map<String, Map<String, Set<FakeWorker>>> byJob = new LinkedHashMap<>();

  private final Map<String, Usage> byTeam = new HashMap<>();

  /** The resources of one task of a job, and the team whose quota they count against. */
  record TeamTaskResources(String team, Resources amounts) {}

  private static final class Usage {
    Resources sum = Resources.NONE;
    int taskCount;
  }

  /**
   * Creates an empty record.
   *
   * @param resourcesOfJob returns the resources of each task of a job; null for an unknown job
   */
  RunningTasks(Function<String, TeamTaskResources> resourcesOfJob) {
    this.resourcesOfJob = resourcesOfJob;
  }

  void taskArrived(FakeWorker worker, String task) {
    boolean added =
        byJob
            .computeIfAbsent(InvariantChecker.jobOf(task), j -> new HashMap<>())
            .computeIfAbsent(task, t -> new HashSet<>())
            .add(worker);
    if (added) {
      adjustUsage(resourcesOfJob.apply(InvariantChecker.jobOf(task)), 1);
    }
  }

  void taskDeparted(FakeWorker worker, String task) {
    String job = InvariantChecker.jobOf(task);
    Map<String, Set<FakeWorker>> tasks = byJob.get(job);
    Set<FakeWorker> workers = tasks == null ? null : tasks.get(task);
    if (workers == null || !workers.remove(worker)) {
      return;
    }
    adjustUsage(resourcesOfJob.apply(job), -1);
    if (workers.isEmpty()) {
      tasks.remove(task);
    }
    if (tasks.isEmpty()) {
      byJob.remove(job);
    }
  }

  /** Runs {@code change}, which sets or replaces a job's description, and adjusts the usage. */
  void updateJobDescription(String job, Runnable change) {
    int runningCount =
        byJob.getOrDefault(job, Map.of()).values().stream().mapToInt(Set::size).sum();
    adjustUsage(resourcesOfJob.apply(job), -runningCount);
    change.run();
    adjustUsage(resourcesOfJob.apply(job), runningCount);
  }

  private void adjustUsage(TeamTaskResources resources, int taskCountChange) {
    if (resources == null || taskCountChange == 0) {
      return;
    }
    Usage usage = byTeam.computeIfAbsent(resources.team(), t -> new Usage());
    usage.taskCount += taskCountChange;
    // Resets the sum when no task is left, so that rounding errors do not accumulate.
    usage.sum =
        usage.taskCount == 0
            ? Resources.NONE
            : usage.sum.plus(resources.amounts().times(taskCountChange));
  }

  /** Returns the resources of all of a team's tasks. */
  Resources usedBy(String team) {
    Usage usage = byTeam.get(team);
    return usage == null ? Resources.NONE : usage.sum;
  }

  /** Returns the workers that run the task. */
  Set<FakeWorker> workersRunning(String task) {
    return byJob.getOrDefault(InvariantChecker.jobOf(task), Map.of()).getOrDefault(task, Set.of());
  }

  /** Returns the workers of each task of the job, by task. */
  Map<String, Set<FakeWorker>> workersByTask(String job) {
    return byJob.getOrDefault(job, Map.of());
  }

  /** Returns a copy of the set of workers that run any task of the job. */
  Collection<FakeWorker> workersOf(String job) {
    Set<FakeWorker> all = new HashSet<>();
    workersByTask(job).values().forEach(all::addAll);
    return List.copyOf(all);
  }
}
