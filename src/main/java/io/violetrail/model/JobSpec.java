package io.violetrail.model;

import java.util.List;

/**
 * What a user asked for; immutable.
 *
 * @param machineTypes the allowed types of machine; null: any
 * @param zone the only allowed zone; null: any
 * @param singleZone all tasks must be in the same zone
 * @param spreadAcrossZones at most half of the tasks, rounded up, may be in one zone
 * @param spotAllowed whether the tasks may run on spot machines
 * @param estimatedRuntimeSeconds the owner's estimate for a task, without the image fetch
 * @param checkpointIntervalSeconds how often a task saves its progress; 0: never
 * @param checkpointSaveSeconds how long a task needs to save when it is stopped
 * @param deadlineSeconds until when it should be complete, from its submission; null: no deadline
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

  /** Returns whether the job's constraints admit a machine of this type, zone and pricing model. */
  public boolean allowsMachine(String machineType, String machineZone, boolean spotMachine) {
    return (machineTypes == null || machineTypes.contains(machineType))
        && (zone == null || zone.equals(machineZone))
        && (spotAllowed || !spotMachine);
  }

  /** How many tasks one zone may hold. */
  public int maxTasksPerZone() {
    return spreadAcrossZones ? (taskCount + 1) / 2 : taskCount;
  }
}
