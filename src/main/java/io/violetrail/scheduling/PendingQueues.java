package io.violetrail.scheduling;

import io.violetrail.net.EventLoop;
import io.violetrail.ownership.OwnedEntity;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The queues of pending jobs, one for each entity owned here.
 *
 * <p>Called on the event loop's thread; nothing survives the process, the order is computed again.
 */
public final class PendingQueues {
  private final EventLoop loop;
  private final ServiceLevelObjectives objectives;
  private final RuntimeEstimates runtimeEstimates;
  private final SchedulingLoop schedulingLoop;
  private final Map<OwnedEntity, PendingQueue> queues = new HashMap<>();

  /** Queues are ordered by the objectives and by the expected runtimes of jobs. */
  public PendingQueues(
      EventLoop loop,
      ServiceLevelObjectives objectives,
      RuntimeEstimates runtimeEstimates,
      SchedulingLoop schedulingLoop) {
    this.loop = loop;
    this.objectives = objectives;
    this.runtimeEstimates = runtimeEstimates;
    this.schedulingLoop = schedulingLoop;
  }

  /** Jobs of the entity with unplaced tasks, the most urgent first. */
  public List<Job> inOrder(OwnedEntity entity) {
    return queues
        .computeIfAbsent(entity, owned -> new PendingQueue(owned, objectives, runtimeEstimates))
        .orderedJobs(loop.monotonicSeconds());
  }

  /** A job has arrived, or tasks of one are pending again: the order is computed again. */
  public void jobsChanged(OwnedEntity entity) {
    PendingQueue queue = queues.get(entity);
    if (queue != null) {
      queue.invalidateOrder();
    }
    schedulingLoop.requestPass();
  }

  /** Drops the queues of entities that are no longer owned here. */
  void retainOnly(Collection<OwnedEntity> entities) {
    queues.keySet().retainAll(entities);
  }
}
