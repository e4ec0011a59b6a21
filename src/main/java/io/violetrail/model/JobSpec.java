package io.violetrail.model;

import java.util.List;

/**
 * A job as its user specified it. The resources of a task include its room in a worker's report,
 * which follows from the job's id.
 *
 * @param machineTypes the allowed machine types; null allows any
 * @param zone the only allowed zone; null allows any
 * @param singleZone whether all tasks must be in the same zone
 * @param spreadAcrossZones whether a zone may hold at most half of the tasks, rounded up
 * @param spotAllowed whether the tasks may run on spot machines
 * @param estimatedRuntimeSeconds the user's estimate of a task's runtime, without the image fetch
 * @param checkpointIntervalSeconds how often a task saves a checkpoint; 0 if it never does
 * @param checkpointSaveSeconds how long a task takes to save a checkpoint when it is stopped
 * @param deadlineSeconds the time from submission within which the job should complete; null if it
 *     has no deadline
 */
public record JobSpec(
    JobId id,
    String jobClass,
    String team,
    JobShape shape,
    Priority priority,
    int taskCount,
    Resources taskResources,
    String image,
    double imageGb,
    List<String> machineTypes,
    String zone,
    boolean singleZone,
    boolean spreadAcrossZones,
    boolean spotAllowed,
    double estimatedRuntimeSeconds,
    double checkpointIntervalSeconds,
    double checkpointSaveSeconds,
    Double deadlineSeconds) {
  /** Sets the room that a task takes in a worker's report. */
  public JobSpec {
    taskResources = taskResources.withReportBytes(ReportSize.bytesOfTask(id));
  }

  /** Returns whether the job's constraints admit a machine of this type, zone and pricing model. */
  public boolean allowsMachine(String machineType, String machineZone, boolean spotMachine) {
    return (machineTypes == null || machineTypes.contains(machineType))
        && allowsZone(machineZone)
        && (spotAllowed || !spotMachine);
  }

  /** Returns whether the job's constraints admit the zone, apart from its other tasks. */
  public boolean allowsZone(String machineZone) {
    return zone == null || zone.equals(machineZone);
  }

  /** Returns the maximum number of tasks in a zone. */
  public int maxTasksPerZone() {
    return spreadAcrossZones ? (taskCount + 1) / 2 : taskCount;
  }
}
