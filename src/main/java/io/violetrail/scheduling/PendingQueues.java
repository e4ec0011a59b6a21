package io.violetrail.scheduling;

import io.violetrail.net.EventLoop;
import io.violetrail.ownership.OwnedEntity;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The queues of pending jobs, one for each entity owned here. */
public final class PendingQueues {
  private final EventLoop loop;
  private final ServiceLevelObjectives serviceLevelObjectives;
  private final RuntimeEstimates runtimeEstimates;
  private final SchedulingLoop schedulingLoop;
  private final Map<OwnedEntity, PendingQueue> queues = new HashMap<>();

  /** Queues are ordered by the objectives and by how long jobs are expected to run. */
  public PendingQueues(
      EventLoop loop,
      ServiceLevelObjectives objectives,
      RuntimeEstimates runtimeEstimates,
      SchedulingLoop schedulingLoop) {
    this.loop = loop;
    this.serviceLevelObjectives = objectives;
    this.runtimeEstimates = runtimeEstimates;
    this.schedulingLoop = schedulingLoop;
  }

  /** Jobs of the entity with unplaced tasks, the most urgent first. */
  public List<Job> inOrder(OwnedEntity entity) {
    return queues
        .computeIfAbsent(
            entity, owned -> new PendingQueue(owned, serviceLevelObjectives, runtimeEstimates))
        .orderedJobs(loop.monotonicSeconds());
  }

  /** A job has arrived, or tasks of one are pending again: the order is worked out anew. */
  public void jobsChanged(OwnedEntity entity) {
    PendingQueue queue = queues.get(entity);
    if (queue != null) {
      queue.invalidateOrder();
    }
    schedulingLoop.requestPass();
  }

  /** Drops the queues of entities that are owned here no more. */
  void retainOnly(Collection<OwnedEntity> entities) {
    queues.keySet().retainAll(entities);
  }
}
