package io.violetrail.scheduling;

import io.violetrail.net.Loop;
import io.violetrail.ownership.OwnedEntity;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The queues of pending jobs, one for each entity owned here. */
public final class PendingJobs {
  private final Loop loop;
  private final Aims aims;
  private final Estimates estimates;
  private final SchedulingLoop schedulingLoop;
  private final Map<OwnedEntity, Waiting> queues = new HashMap<>();

  /** Queues are ordered by the objectives and by how long jobs are expected to run. */
  public PendingJobs(Loop loop, Aims aims, Estimates estimates, SchedulingLoop schedulingLoop) {
    this.loop = loop;
    this.aims = aims;
    this.estimates = estimates;
    this.schedulingLoop = schedulingLoop;
  }

  /** Jobs of the entity with unplaced tasks, the most urgent first. */
  public List<Job> inOrder(OwnedEntity entity) {
    return queues
        .computeIfAbsent(entity, owned -> new Waiting(owned, aims, estimates))
        .order(loop.seconds());
  }

  /** A job has arrived, or tasks of one are pending again: the order is worked out anew. */
  public void jobsChanged(OwnedEntity entity) {
    Waiting queue = queues.get(entity);
    if (queue != null) {
      queue.changed();
    }
    schedulingLoop.requestPass();
  }

  /** Drops the queues of entities that are owned here no more. */
  void retainOnly(Collection<OwnedEntity> entities) {
    queues.keySet().retainAll(entities);
  }
}
