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
 * Which tasks are on which workers, kept up to date as tasks come and go, so that a rule is checked
 * without going through every task of every worker.
 *
 * <p>A worker whose lease has run out drops its tasks at its next step. Until then they count here,
 * so everything here is an upper bound; {@link InvariantChecker} has workers expire before it says
 * that a rule is broken.
 */
final class RunningTasks {
  private final Function<String, TeamTaskResources> resourcesOfJob;

  /** By job, then by task. */
  private final Map<String, Map<String, Set<FakeWorker>>> byJob = new LinkedHashMap<>();

  private final Map<String, Usage> byTeam = new HashMap<>();

  /** What one task of a job takes, and of which team's limit. */
  record TeamTaskResources(String team, Resources amounts) {}

  private static final class Usage {
    Resources sum = Resources.NONE;
    int taskCount;
  }

  /**
   * Creates a record of the tasks that run, to check resource use against.
   *
   * @param resourcesOfJob what a job's tasks take; null while the job is not known
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

  /** A job's description becomes known or is replaced by {@code change}. */
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
    // Nothing that runs uses exactly nothing: rounding does not pile up.
    usage.sum =
        usage.taskCount == 0
            ? Resources.NONE
            : usage.sum.plus(resources.amounts().times(taskCountChange));
  }

  /** What all of a team's tasks take. */
  Resources usedBy(String team) {
    Usage usage = byTeam.get(team);
    return usage == null ? Resources.NONE : usage.sum;
  }

  /** The workers that have the task. */
  Set<FakeWorker> workersRunning(String task) {
    return byJob.getOrDefault(InvariantChecker.jobOf(task), Map.of()).getOrDefault(task, Set.of());
  }

  /** The job's tasks with the workers that have each. */
  Map<String, Set<FakeWorker>> workersByTask(String job) {
    return byJob.getOrDefault(job, Map.of());
  }

  /** All workers that have a task of the job. */
  Collection<FakeWorker> workersOf(String job) {
    Set<FakeWorker> all = new HashSet<>();
    workersByTask(job).values().forEach(all::addAll);
    return List.copyOf(all);
  }
}
