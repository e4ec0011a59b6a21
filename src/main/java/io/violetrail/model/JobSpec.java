package io.violetrail.model;

import java.util.List;

/** What a user asked for; immutable. Nullable: types, zone, deadlineS. */
public record JobSpec(
    JobId id,
    String jobClass,
    String team,
    Shape shape,
    Priority priority,
    int tasks,
    Amounts task,
    String image,
    double imageGb,
    List<String> types,
    String zone,
    boolean oneZone,
    boolean spread,
    boolean spot,
    double estimateS,
    double checkpointS,
    double saveS,
    Double deadlineS) {

  /** Returns whether the job's constraints admit a machine of this type, zone and pricing model. */
  public boolean allows(String type, String inZone, boolean spotMachine) {
    return (types == null || types.contains(type))
        && (zone == null || zone.equals(inZone))
        && (spot || !spotMachine);
  }

  /** How many tasks one zone may hold. */
  public int perZone() {
    return spread ? (tasks + 1) / 2 : tasks;
  }
}
