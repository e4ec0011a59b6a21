package io.violetrail.model;

import java.util.List;

/** What a user asked for; immutable. Nullable: types, zone, deadlineS. */
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
