package io.violetrail.api;

import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.state.StateStore;
import java.util.HashMap;
import java.util.Map;

/**
 * The {@link JobStore} and the {@link JobProgressStore} of each entity owned here. Those of lost
 * entities are dropped. Called on the event loop's thread.
 */
public final class EntityJobStores {
  private final EventLoop loop;
  private final StateStore store;
  private final StateStoreLimits limits;
  private final Membership membership;
  private final Map<OwnedEntity, JobStore> jobStores = new HashMap<>();
  private final Map<OwnedEntity, JobProgressStore> progressStores = new HashMap<>();

  /** Makes stores that write within the limits. */
  public EntityJobStores(
      EventLoop loop, StateStore store, StateStoreLimits limits, Membership membership) {
    this.loop = loop;
    this.store = store;
    this.limits = limits;
    this.membership = membership;
  }

  /** The entity's store of jobs, which is made empty at the first call. */
  JobStore jobStoreOf(OwnedEntity entity) {
    jobStores
        .keySet()
        .removeIf(other -> other.phase() == OwnedEntity.Phase.LOST && other != entity);
    return jobStores.computeIfAbsent(entity, this::createJobStore);
  }

  /** An empty store of jobs in place of any that the entity had: its rows are to be loaded. */
  JobStore resetJobStore(OwnedEntity entity) {
    JobStore jobStore = createJobStore(entity);
    jobStores.put(entity, jobStore);
    return jobStore;
  }

  private JobStore createJobStore(OwnedEntity entity) {
    return new JobStore(loop, store, limits, membership, entity);
  }

  /** The entity's store of progress, which is made empty at the first call. */
  JobProgressStore progressStoreOf(OwnedEntity entity) {
    progressStores.keySet().retainAll(membership.ownedEntities());
    return progressStores.computeIfAbsent(
        entity, owned -> new JobProgressStore(loop, store, limits, membership, owned));
  }
}
