package io.violetrail.fakes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Team;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks liveness: status requests are answered, and jobs that could run do not wait. */
final class LivenessChecker {
  /** Limit, once faults have ended, for status requests about an accepted job to go unanswered. */
  private static final double MAX_UNANSWERED_SECONDS = 75;

  /** Limit, once faults have ended, for the wait of a job that could run. */
  private static final double MAX_WAIT_SECONDS = 90;

  /** Limit for the largest jobs of a class, from acceptance to the start of the first task. */
  private static final double MAX_START_DELAY_SECONDS = 240;

  private static final List<String> REQUIRED_FIELDS =
      List.of(
          "jobclass",
          "crew",
          "shape",
          "urgency",
          "pieces",
          "cores",
          "gpus",
          "mem_gb",
          "bundle",
          "pull_gb",
          "one_zone",
          "apart",
          "loaners",
          "guess_s",
          "snapshot_s",
          "flush_s");

  private final ClusterSimulation simulation;
  private final InvariantChecker checker;
  private final Map<String, Double> unansweredSinceSeconds = new HashMap<>();
  private final Map<String, Double> runnableSinceSeconds = new HashMap<>();
  private final Map<String, Double> acceptedAtSeconds = new HashMap<>();
  private final Map<String, Double> startedAtSeconds = new HashMap<>();
  private final RunnableJobs runnableJobs;
  private double faultsEndedAtSeconds = Double.POSITIVE_INFINITY;

  /** Whether a job must not wait beside machines that could be rented for it either. */
  private boolean countsRentableMachines;

  LivenessChecker(ClusterSimulation simulation, InvariantChecker checker) {
    this.simulation = simulation;
    this.checker = checker;
    this.runnableJobs = new RunnableJobs(simulation, checker);
  }

  void countRentableMachines() {
    countsRentableMachines = true;
  }

  void faultsEnded() {
    faultsEndedAtSeconds = simulation.nowSeconds();
    unansweredSinceSeconds.replaceAll((id, since) -> simulation.nowSeconds());
  }

  void recordStatusRequest(String id, boolean answered) {
    if (answered) {
      unansweredSinceSeconds.remove(id);
    } else {
      unansweredSinceSeconds.putIfAbsent(id, simulation.nowSeconds());
    }
  }

  void recordTaskStart(String task) {
    startedAtSeconds.putIfAbsent(InvariantChecker.jobOf(task), simulation.nowSeconds());
    runnableSinceSeconds.remove(InvariantChecker.jobOf(task));
  }

  void check() {
    for (ObjectNode job : checker.uncancelledJobs()) {
      acceptedAtSeconds.putIfAbsent(job.get("name_id").asText(), simulation.nowSeconds());
    }
    if (simulation.nowSeconds() < faultsEndedAtSeconds) {
      return;
    }
    for (ObjectNode job : checker.unfinishedJobs()) {
      String id = job.get("name_id").asText();
      Double sinceSeconds = unansweredSinceSeconds.get(id);
      if (sinceSeconds != null && simulation.nowSeconds() - sinceSeconds > MAX_UNANSWERED_SECONDS) {
        checker.reportViolation("forgotten", "no status request about job " + id + " is answered");
      }
      if (!runnableJobs.isRunnable(job, countsRentableMachines)) {
        runnableSinceSeconds.remove(id);
      } else if (simulation.nowSeconds()
              - runnableSinceSeconds.computeIfAbsent(id, x -> simulation.nowSeconds())
          > MAX_WAIT_SECONDS) {
        checker.reportViolation(
            "left_waiting",
            "job "
                + id
                + " waits despite free capacity and quota: "
                + runnableJobs.describe(job, countsRentableMachines));
      }
    }
  }

  /** Returns why the job must not be accepted; null if it may be accepted. */
  static String findRejectionReason(ClusterSimulation simulation, ObjectNode job) {
    for (String field : REQUIRED_FIELDS) {
      if (!job.hasNonNull(field)) {
        return "it lacks the field " + field;
      }
    }
    Team team = simulation.teamLimit().apply(job.get("crew").asText());
    if (team == null) {
      return "its team does not exist";
    }
    Resources task = InvariantChecker.resourcesOfOneTask(job);
    boolean fits = false;
    for (MachineType type : simulation.cloud().machineTypes()) {
      for (String zone : type.zones()) {
        fits |=
            task.fitsIn(type.capacity())
                && RunnableJobs.allowsMachine(job, type.name(), zone, false);
      }
    }
    if (!fits) {
      return "it fits no machine type";
    }
    boolean startsTogether = !job.get("shape").asText().equals("batch");
    double tasksAtOnce = startsTogether ? job.get("pieces").asInt() : 1;
    boolean overLimit =
        task.cpus() * tasksAtOnce > team.maxCpus() || task.gpus() * tasksAtOnce > team.maxGpus();
    return overLimit ? "it needs more than its team's quota" : null;
  }

  /**
   * Returns a description of each job class and team with less than half of its jobs done, and of
   * each job class with less than half of its largest jobs started in time. Jobs with a
   * cancellation request do not count.
   */
  List<String> findUnderservedGroups() {
    List<String> underserved = new ArrayList<>();
    Map<String, List<ObjectNode>> groups = new HashMap<>();
    for (ObjectNode job : checker.uncancelledJobs()) {
      for (String field : List.of("jobclass", "crew")) {
        String name = field + " " + job.path(field).asText();
        groups.computeIfAbsent(name, n -> new ArrayList<>()).add(job);
      }
    }
    groups.forEach(
        (name, jobsOfGroup) -> {
          if (2 * jobsOfGroup.stream().filter(this::isDone).count() < jobsOfGroup.size()) {
            underserved.add("less than half of the jobs of " + name + " are done");
          }
          if (name.startsWith("jobclass")) {
            int maxTasks =
                jobsOfGroup.stream().mapToInt(j -> j.get("pieces").asInt()).max().orElse(0);
            List<ObjectNode> largest =
                jobsOfGroup.stream().filter(j -> j.get("pieces").asInt() == maxTasks).toList();
            if (2 * largest.stream().filter(this::startedInTime).count() < largest.size()) {
              underserved.add("less than half of the largest jobs of " + name + " start in time");
            }
          }
        });
    return underserved;
  }

  private boolean isDone(ObjectNode job) {
    String id = job.get("name_id").asText();
    for (int i = 0; i < job.get("pieces").asInt(); i++) {
      if (!checker.isTaskDone(id + "/" + i)) {
        return false;
      }
    }
    return true;
  }

  private boolean startedInTime(ObjectNode job) {
    String id = job.get("name_id").asText();
    Double startedAt = startedAtSeconds.get(id);
    return startedAt != null
        && startedAt - acceptedAtSeconds.getOrDefault(id, startedAt) <= MAX_START_DELAY_SECONDS;
  }
}
