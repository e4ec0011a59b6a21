package io.violetrail.api;

import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.state.StateStore;
import java.util.HashMap;
import java.util.Map;

/**
 * Holds the {@link JobStore} and the {@link JobProgressStore} of each entity that this controller
 * owns. The stores of lost entities are dropped at the next access. Called on the event loop's
 * thread.
 */
public final class EntityJobStores {
  private final EventLoop loop;
  private final StateStore store;
  private final StateStoreLimits limits;
  private final Membership membership;
  private final Map<OwnedEntity, JobStore> jobStores = new HashMap<>();
  private final Map<OwnedEntity, JobProgressStore> progressStores = new HashMap<>();

  /** Creates stores that write within the given limits. */
  public EntityJobStores(
      EventLoop loop, StateStore store, StateStoreLimits limits, Membership membership) {
    this.loop = loop;
    this.store = store;
    this.limits = limits;
    this.membership = membership;
  }

  /** Returns the entity's job store. The first call creates an empty one. */
  JobStore jobStoreOf(OwnedEntity entity) {
    jobStores
        .keySet()
        .removeIf(other -> other.phase() == OwnedEntity.Phase.LOST && other != entity);
    return jobStores.computeIfAbsent(entity, this::createJobStore);
  }

  /**
   * Replaces the entity's job store, if any, by an empty one into which the caller loads the rows.
   */
  JobStore resetJobStore(OwnedEntity entity) {
    JobStore jobStore = createJobStore(entity);
    jobStores.put(entity, jobStore);
    return jobStore;
  }

  private JobStore createJobStore(OwnedEntity entity) {
    return new JobStore(loop, store, limits, membership, entity);
  }

  /** Returns the entity's progress store. The first call creates an empty one. */
  JobProgressStore progressStoreOf(OwnedEntity entity) {
    progressStores.keySet().retainAll(membership.ownedEntities());
    return progressStores.computeIfAbsent(
        entity, owned -> new JobProgressStore(loop, store, limits, membership, owned));
  }
}
