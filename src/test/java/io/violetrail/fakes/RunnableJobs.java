package io.violetrail.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Team;
import io.violetrail.fleet.MachineOffering;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides from the rules of the protocol whether a job's waiting tasks could start now. Shares no
 * code with the scheduler, so that an oversight there is not repeated here.
 */
final class RunnableJobs {
  private final ClusterSimulation simulation;
  private final InvariantChecker checker;

  RunnableJobs(ClusterSimulation simulation, InvariantChecker checker) {
    this.simulation = simulation;
    this.checker = checker;
  }

  /**
   * Returns whether the job has waiting tasks that could start now: suitable machines in zones that
   * its other tasks allow have free capacity, and the team's quota allows it. A gang needs both for
   * all of its waiting tasks, other jobs for one task.
   *
   * @param countsRentableMachines whether machines that could be rented count as free capacity
   */
  boolean isRunnable(ObjectNode job, boolean countsRentableMachines) {
    int waitingCount = waitingCount(job);
    if (waitingCount == 0) {
      return false;
    }
    int startTogetherCount = job.path("shape").asText().equals("ensemble") ? waitingCount : 1;
    Resources task = InvariantChecker.resourcesOfOneTask(job);
    Team team = simulation.teamLimit().apply(job.path("crew").asText());
    Resources remainingQuota =
        new Resources(team.maxCpus(), team.maxGpus(), Double.POSITIVE_INFINITY)
            .minus(checker.usedBy(team.name()));
    return remainingQuota.countFitting(task) >= startTogetherCount
        && countStartable(job, task, countsRentableMachines) >= startTogetherCount;
  }

  private int waitingCount(ObjectNode job) {
    int waitingCount = 0;
    for (int i = 0; i < job.get("pieces").asInt(); i++) {
      String task = job.get("name_id").asText() + "/" + i;
      waitingCount += checker.isRunning(task) || checker.isTaskDone(task) ? 0 : 1;
    }
    return waitingCount;
  }

  /** Returns how many tasks could start together, given the zones of the job's other tasks. */
  private int countStartable(ObjectNode job, Resources task, boolean countsRentableMachines) {
    Map<String, Integer> slotsByZone = slotsByZone(job, task, countsRentableMachines);
    Map<String, Integer> tasksByZone = checker.taskCountByZone(job.get("name_id").asText());
    int total = 0;
    int largest = 0;
    for (var slotsInZone : slotsByZone.entrySet()) {
      int startable =
          Math.min(slotsInZone.getValue(), remaining(job, slotsInZone.getKey(), tasksByZone));
      total += startable;
      largest = Math.max(largest, startable);
    }
    return job.path("one_zone").asBoolean() ? largest : total;
  }

  /** Describes the job, its tasks and the room for it. */
  String describe(ObjectNode job, boolean countsRentableMachines) {
    Resources task = InvariantChecker.resourcesOfOneTask(job);
    return "%s, waiting %d, tasks by zone %s, free slots %s, with rentable ones %s"
        .formatted(
            job,
            waitingCount(job),
            checker.taskCountByZone(job.get("name_id").asText()),
            slotsByZone(job, task, false),
            slotsByZone(job, task, countsRentableMachines));
  }

  private Map<String, Integer> slotsByZone(
      ObjectNode job, Resources task, boolean countsRentableMachines) {
    Map<String, Integer> slotsByZone = new HashMap<>();
    for (FakeWorker worker : simulation.cloud().workers().values()) {
      if (worker.canRunTasks()
          && allowsMachine(job, worker.type(), worker.zone(), worker.isSpot())) {
        int slots = worker.freeResources(checker::resourcesOfTask).countFitting(task);
        slotsByZone.merge(worker.zone(), slots, Integer::sum);
      }
    }
    if (countsRentableMachines) {
      addRentableSlots(job, task, slotsByZone);
    }
    return slotsByZone;
  }

  private void addRentableSlots(ObjectNode job, Resources task, Map<String, Integer> slotsByZone) {
    for (MachineType type : simulation.cloud().machineTypes()) {
      for (String zone : type.zones()) {
        for (boolean spot : new boolean[] {false, true}) {
          if (allowsMachine(job, type.name(), zone, spot)
              && simulation.cloud().isRentable(new MachineOffering(type.name(), zone, spot))) {
            slotsByZone.merge(zone, type.capacity().countFitting(task), Integer::sum);
          }
        }
      }
    }
  }

  /** Returns how many more tasks of the job may be in the zone. */
  private static int remaining(ObjectNode job, String zone, Map<String, Integer> tasksByZone) {
    int taskCount = job.path("pieces").asInt();
    int inZone = tasksByZone.getOrDefault(zone, 0);
    boolean hasTasksElsewhere =
        tasksByZone.values().stream().mapToInt(Integer::intValue).sum() > inZone;
    if (job.path("one_zone").asBoolean() && hasTasksElsewhere) {
      return 0;
    }
    return job.path("apart").asBoolean() ? (taskCount + 1) / 2 - inZone : taskCount;
  }

  static boolean allowsMachine(ObjectNode job, String type, String zone, boolean spot) {
    JsonNode types = job.path("hosttypes");
    boolean typeAllowed = !types.isArray() || types.isEmpty();
    for (JsonNode allowedType : types) {
      typeAllowed |= allowedType.asText().equals(type);
    }
    String requiredZone = job.path("yard").asText("");
    boolean anyZone = requiredZone.isEmpty() || requiredZone.equals("null");
    return typeAllowed
        && (anyZone || requiredZone.equals(zone))
        && (!spot || job.path("loaners").asBoolean());
  }
}
