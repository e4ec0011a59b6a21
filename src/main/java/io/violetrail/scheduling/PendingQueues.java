package io.violetrail.scheduling;

import io.violetrail.net.EventLoop;
import io.violetrail.ownership.OwnedEntity;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The queues of pending jobs, one for each entity that this controller owns.
 *
 * <p>Called on the event loop's thread. The queues are not stored; the next owner computes the
 * order anew.
 */
public final class PendingQueues {
  private final EventLoop loop;
  private final ServiceLevelObjectives objectives;
  private final RuntimeEstimates runtimeEstimates;
  private final SchedulingLoop schedulingLoop;
  private final Map<OwnedEntity, PendingQueue> queues = new HashMap<>();

  /** Creates queues that are ordered by the objectives and the expected runtimes of the jobs. */
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

  /** Returns the open jobs of the entity that have unplaced tasks, the most urgent first. */
  public List<Job> orderedJobs(OwnedEntity entity) {
    return queues
        .computeIfAbsent(entity, owned -> new PendingQueue(owned, objectives, runtimeEstimates))
        .orderedJobs(loop.monotonicSeconds());
  }

  /**
   * Discards the cached order and requests a scheduling pass. To be called when a job has arrived
   * or tasks are pending again.
   */
  public void onJobsChanged(OwnedEntity entity) {
    PendingQueue queue = queues.get(entity);
    if (queue != null) {
      queue.invalidateOrder();
    }
    schedulingLoop.requestPass();
  }

  /** Removes the queues of entities that this controller no longer owns. */
  void retainOnly(Collection<OwnedEntity> entities) {
    queues.keySet().retainAll(entities);
  }
}
