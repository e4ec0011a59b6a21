package io.violetrail.fleet;

import io.violetrail.model.Resources;
import io.violetrail.model.TaskId;
import io.violetrail.scheduling.TaskPlacement;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The tasks on one machine and the capacity that they leave free: the placements decided by this
 * controller, and unknown tasks, which the worker reports but which are not placed on the machine
 * (see {@link Machine#unknownTasks}). Both count against the capacity until they are known to be
 * gone, since freeing their capacity too early would overcommit the machine. Exited tasks take room
 * only in the worker's report, which lists them until they are forgotten.
 *
 * <p>Used only by its {@link Machine}, on the event loop's thread. Nothing here survives a crash:
 * the placements are rebuilt from the stored jobs and the workers' heartbeats.
 */
final class PlacedTasks {
  private final Resources capacity;
  private final Map<TaskId, TaskPlacement> placements = new LinkedHashMap<>();
  private final Map<TaskId, Resources> unknownTasks = new HashMap<>();

  /** The room that the exited tasks of the latest report take in it, in bytes. */
  private double exitedReportBytes;

  /** The number of placements that are not best-effort work. */
  private int regularTaskCount;

  /**
   * Cached, as it is read far more often than tasks change. A new placement is subtracted, so that
   * placing many tasks takes a time in proportion to their number; null after any other change.
   */
  private Resources freeCapacity;

  /** The most accelerators that one placed task uses; null until computed after a removal. */
  private Double largestAcceleratorUse;

  PlacedTasks(Resources capacity) {
    this.capacity = capacity;
  }

  Map<TaskId, TaskPlacement> placements() {
    return Collections.unmodifiableMap(placements);
  }

  /** Returns the task's placement, or null if it has none on this machine. */
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
    updateCachesForAddition(placement, previous);
  }

  private void updateCachesForAddition(TaskPlacement added, TaskPlacement replaced) {
    if (replaced != null) {
      discardCaches();
      return;
    }
    Resources taskResources = added.job().spec().taskResources();
    if (freeCapacity != null) {
      freeCapacity = freeCapacity.minus(taskResources);
    }
    if (largestAcceleratorUse != null) {
      largestAcceleratorUse = Math.max(largestAcceleratorUse, taskResources.gpus());
    }
  }

  private void discardCaches() {
    freeCapacity = null;
    largestAcceleratorUse = null;
  }

  /** Frees the room of a placement whose exit was reported, or counts it again. */
  void setExitReported(TaskPlacement placement, boolean exited) {
    placement.setExitReported(exited);
    discardCaches();
  }

  /** Returns how many placements use room, so those whose exit was not reported. */
  int countUsingRoom() {
    int count = 0;
    for (TaskPlacement placement : placements.values()) {
      count += placement.isExitReported() ? 0 : 1;
    }
    return count;
  }

  boolean remove(TaskPlacement placement) {
    discardCaches();
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

  void setExitedReportBytes(double bytes) {
    if (bytes != exitedReportBytes) {
      exitedReportBytes = bytes;
      discardCaches();
    }
  }

  Resources freeCapacity() {
    if (freeCapacity == null) {
      freeCapacity = computeFreeCapacity();
    }
    return freeCapacity;
  }

  private Resources computeFreeCapacity() {
    Resources free = capacity.minus(new Resources(0, 0, 0, exitedReportBytes));
    for (TaskPlacement placement : placements.values()) {
      if (!placement.isExitReported()) {
        free = free.minus(placement.job().spec().taskResources());
      }
    }
    for (Resources taskResources : unknownTasks.values()) {
      free = free.minus(taskResources);
    }
    return free;
  }

  /** Returns the most accelerators that one of the placed tasks uses; 0 without placements. */
  double largestAcceleratorUse() {
    if (largestAcceleratorUse == null) {
      double largest = 0;
      for (TaskPlacement placement : placements.values()) {
        largest = Math.max(largest, placement.job().spec().taskResources().gpus());
      }
      largestAcceleratorUse = largest;
    }
    return largestAcceleratorUse;
  }

  Resources freeCapacityWithoutBestEffort() {
    Resources free = freeCapacity();
    if (placements.size() > regularTaskCount) {
      for (TaskPlacement placement : placements.values()) {
        if (placement.job().bestEffort() && !placement.isExitReported()) {
          free = free.plus(placement.job().spec().taskResources());
        }
      }
    }
    return free;
  }

  /** Returns the used fraction of processors or of accelerators, whichever is higher. */
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
