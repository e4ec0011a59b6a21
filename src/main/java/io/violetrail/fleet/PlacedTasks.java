package io.violetrail.fleet;

import io.violetrail.model.Resources;
import io.violetrail.model.TaskId;
import io.violetrail.scheduling.TaskPlacement;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The tasks on one machine and the capacity that they leave free: the placements decided here, and
 * unknown tasks that the worker reports although no open job has them. Both count against the
 * capacity until they are known to be gone, since counting them too early would overcommit the
 * machine.
 *
 * <p>Used by its {@link Machine} alone, on the event loop's thread. Nothing here survives a crash:
 * the placements are rebuilt from the stored jobs and the workers' heartbeats.
 */
final class PlacedTasks {
  private final Resources capacity;
  private final Map<TaskId, TaskPlacement> placements = new LinkedHashMap<>();
  private final Map<TaskId, Resources> unknownTasks = new HashMap<>();

  /** Placements that are not best-effort work. */
  private int regularTaskCount;

  /** Null after a change, until asked for: placement asks far more often than tasks change. */
  private Resources freeCapacity;

  PlacedTasks(Resources capacity) {
    this.capacity = capacity;
  }

  Map<TaskId, TaskPlacement> placements() {
    return Collections.unmodifiableMap(placements);
  }

  /** Returns the task's placement, or null if it has none here. */
  TaskPlacement find(TaskId taskId) {
    return placements.get(taskId);
  }

  void add(TaskPlacement placement) {
    TaskPlacement previous = placements.put(placement.taskId(), placement);
    if (!placement.job().bestEffort()) {
      regularTaskCount++;
    }
    if (previous != null && !previous.job().bestEffort()) {
      regularTaskCount--;
    }
    freeCapacity = null;
  }

  boolean remove(TaskPlacement placement) {
    freeCapacity = null;
    boolean removed = placements.remove(placement.taskId(), placement);
    if (removed && !placement.job().bestEffort()) {
      regularTaskCount--;
    }
    return removed;
  }

  Map<TaskId, Resources> unknownTasks() {
    return Collections.unmodifiableMap(unknownTasks);
  }

  void replaceUnknownTasks(Map<TaskId, Resources> reported) {
    if (!reported.isEmpty() || !unknownTasks.isEmpty()) {
      unknownTasks.clear();
      unknownTasks.putAll(reported);
      freeCapacity = null;
    }
  }

  Resources freeCapacity() {
    if (freeCapacity == null) {
      freeCapacity = computeFreeCapacity();
    }
    return freeCapacity;
  }

  private Resources computeFreeCapacity() {
    double cpus = capacity.cpus();
    double gpus = capacity.gpus();
    double memory = capacity.memoryGb();
    for (TaskPlacement placement : placements.values()) {
      Resources amounts = placement.job().spec().taskResources();
      cpus -= amounts.cpus();
      gpus -= amounts.gpus();
      memory -= amounts.memoryGb();
    }
    for (Resources amounts : unknownTasks.values()) {
      cpus -= amounts.cpus();
      gpus -= amounts.gpus();
      memory -= amounts.memoryGb();
    }
    return new Resources(cpus, gpus, memory);
  }

  Resources freeCapacityWithoutBestEffort() {
    Resources free = freeCapacity();
    if (placements.size() > regularTaskCount) {
      for (TaskPlacement placement : placements.values()) {
        if (placement.job().bestEffort()) {
          free = free.plus(placement.job().spec().taskResources());
        }
      }
    }
    return free;
  }

  /** The used fraction of the capacity, by the scarcer of processors and accelerators. */
  double utilization() {
    Resources used = capacity.minus(freeCapacity());
    double gpus = capacity.gpus() > 0 ? used.gpus() / capacity.gpus() : 0;
    return Math.max(used.cpus() / capacity.cpus(), gpus);
  }

  boolean isEmpty() {
    return placements.isEmpty() && unknownTasks.isEmpty();
  }

  boolean hasOnlyBestEffortTasks() {
    return regularTaskCount == 0 && unknownTasks.isEmpty();
  }
}
