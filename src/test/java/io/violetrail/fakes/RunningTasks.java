package io.violetrail.fakes;

import io.violetrail.model.Amounts;
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
 * so everything here is an upper bound; {@link Checker} has workers expire before it says that a
 * rule is broken.
 */
final class RunningTasks {
  private final Function<String, Resources> resourcesOfJob;

  /** By job, then by task. */
  private final Map<String, Map<String, Set<FakeWorker>>> byJob = new LinkedHashMap<>();

  private final Map<String, Usage> byTeam = new HashMap<>();

  /** What one task of a job takes, and of which team's limit. */
  record Resources(String team, Amounts amounts) {}

  private static final class Usage {
    Amounts sum = Amounts.NONE;
    int tasks;
  }

  /**
   * Creates a record of the tasks that run, to check resource use against.
   *
   * @param resourcesOfJob what a job's tasks take; null while the job is not known
   */
  RunningTasks(Function<String, Resources> resourcesOfJob) {
    this.resourcesOfJob = resourcesOfJob;
  }

  void arrived(FakeWorker worker, String task) {
    boolean fresh =
        byJob
            .computeIfAbsent(Checker.jobOf(task), j -> new HashMap<>())
            .computeIfAbsent(task, t -> new HashSet<>())
            .add(worker);
    if (fresh) {
      count(resourcesOfJob.apply(Checker.jobOf(task)), 1);
    }
  }

  void departed(FakeWorker worker, String task) {
    String job = Checker.jobOf(task);
    Map<String, Set<FakeWorker>> tasks = byJob.get(job);
    Set<FakeWorker> workers = tasks == null ? null : tasks.get(task);
    if (workers == null || !workers.remove(worker)) {
      return;
    }
    count(resourcesOfJob.apply(job), -1);
    if (workers.isEmpty()) {
      tasks.remove(task);
    }
    if (tasks.isEmpty()) {
      byJob.remove(job);
    }
  }

  /** A job's description becomes known or is replaced by {@code change}. */
  void describe(String job, Runnable change) {
    int running = byJob.getOrDefault(job, Map.of()).values().stream().mapToInt(Set::size).sum();
    count(resourcesOfJob.apply(job), -running);
    change.run();
    count(resourcesOfJob.apply(job), running);
  }

  private void count(Resources resources, int tasks) {
    if (resources == null || tasks == 0) {
      return;
    }
    Usage usage = byTeam.computeIfAbsent(resources.team(), t -> new Usage());
    usage.tasks += tasks;
    // Nothing that runs uses exactly nothing: rounding does not pile up.
    usage.sum = usage.tasks == 0 ? Amounts.NONE : usage.sum.plus(resources.amounts().times(tasks));
  }

  /** What all of a team's tasks take. */
  Amounts usedBy(String team) {
    Usage usage = byTeam.get(team);
    return usage == null ? Amounts.NONE : usage.sum;
  }

  /** The workers that have the task. */
  Set<FakeWorker> with(String task) {
    return byJob.getOrDefault(Checker.jobOf(task), Map.of()).getOrDefault(task, Set.of());
  }

  /** The job's tasks with the workers that have each. */
  Map<String, Set<FakeWorker>> ofJob(String job) {
    return byJob.getOrDefault(job, Map.of());
  }

  /** All workers that have a task of the job. */
  Collection<FakeWorker> workersOf(String job) {
    Set<FakeWorker> all = new HashSet<>();
    ofJob(job).values().forEach(all::addAll);
    return List.copyOf(all);
  }
}
