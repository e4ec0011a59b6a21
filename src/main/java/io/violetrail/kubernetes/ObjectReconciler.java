package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.api.JobLifecycle;
import io.violetrail.kubernetes.KubernetesObject.NativeJob;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.Job;
import io.violetrail.state.InitialListing;
import io.violetrail.state.StateStore;
import io.violetrail.state.Tombstones;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles native jobs with the stored Kubernetes objects that they belong to, and writes the
 * objects' statuses. Only an entity's owner does this for the entity's objects. Every write is
 * fenced by the entity's row and conditional on the revision of the object's row, so a write of a
 * former owner is rejected. An object's row names a native job before the job is submitted; after a
 * crash, the entity's next owner submits it under the same id.
 *
 * <p>Called on the event loop's thread.
 */
final class ObjectReconciler implements WatchCache.ObjectListener {
  private static final Logger LOG = LoggerFactory.getLogger(ObjectReconciler.class);
  private static final double TICK_SECONDS = 0.5;

  /** Maximum number of objects reconciled in one tick; heartbeats are handled between ticks. */
  private static final int MAX_OBJECTS_PER_TICK = 100;

  /** Maximum number of status writes in one tick: native jobs take priority in the write budget. */
  private static final int MAX_WRITES_PER_TICK = 5;

  private final EventLoop loop;
  private final StateStore store;
  private final Membership membership;
  private final JobLifecycle jobLifecycle;
  private final JobReconciler jobReconciler;
  private final DeploymentReconciler deploymentReconciler;
  private final Map<OwnedEntity, EntityState> stateByEntity = new HashMap<>();

  /** The objects of one owned entity, in memory only; a restarted controller reads them again. */
  private static final class EntityState {
    final Map<String, KubernetesObject> objects = new LinkedHashMap<>();
    final Map<String, DeletedObject> deletedObjects = new LinkedHashMap<>();
    final Set<String> operationsInFlight = new HashSet<>();
    final Set<JobId> neverSubmittedJobs = new HashSet<>();
    final ArrayDeque<String> reconcileQueue = new ArrayDeque<>();
    final InitialListing initialListing = new InitialListing();
  }

  /** A deleted object whose tasks may still be running. */
  private record DeletedObject(KubernetesObject lastState, long modRevision) {}

  ObjectReconciler(
      EventLoop loop,
      StateStore store,
      Membership membership,
      JobLifecycle jobLifecycle,
      NativeJobTranslator translator) {
    this.loop = loop;
    this.store = store;
    this.membership = membership;
    this.jobLifecycle = jobLifecycle;
    this.jobReconciler = new JobReconciler(loop, jobLifecycle, this, translator);
    this.deploymentReconciler = new DeploymentReconciler(loop, jobLifecycle, this, translator);
  }

  void start() {
    loop.scheduleWithFixedDelay(TICK_SECONDS, this::tick);
  }

  @Override
  public void onObjectChanged(KubernetesObject object) {
    EntityState state = findEntityState(object);
    if (state != null) {
      putIfNewer(state, object);
    }
  }

  private static void putIfNewer(EntityState state, KubernetesObject object) {
    KubernetesObject known = state.objects.get(object.key());
    if (known == null || known.resourceVersion() < object.resourceVersion()) {
      state.objects.put(object.key(), object);
    }
  }

  @Override
  public void onObjectDeleted(String key, ObjectNode row, long modRevision) {
    KubernetesObject lastState = KubernetesObject.fromRow(key, row, modRevision);
    EntityState state = lastState == null ? null : findEntityState(lastState);
    if (state != null) {
      state.deletedObjects.put(key, new DeletedObject(lastState, modRevision));
    }
  }

  @Override
  public void onRowRemoved(String key) {
    stateByEntity.values().forEach(state -> state.objects.remove(key));
  }

  /**
   * Returns an entity's objects, sorted by namespace and name.
   *
   * @param namespace null for all namespaces
   * @return null if this controller does not own the entity or has not read its objects yet
   */
  List<KubernetesObject> findOwnedObjects(ControllerId entity, String namespace) {
    for (var ownedEntry : stateByEntity.entrySet()) {
      if (ownedEntry.getKey().id().equals(entity)
          && ownedEntry.getKey().isActive()
          && ownedEntry.getValue().initialListing.isComplete()) {
        return ownedEntry.getValue().objects.values().stream()
            .filter(o -> namespace == null || o.namespace().equals(namespace))
            .sorted(
                Comparator.comparing(KubernetesObject::namespace)
                    .thenComparing(KubernetesObject::name))
            .toList();
      }
    }
    return null;
  }

  private EntityState findEntityState(KubernetesObject object) {
    for (var entry : stateByEntity.entrySet()) {
      if (entry.getKey().id().equals(object.entity())) {
        return entry.getValue();
      }
    }
    return null;
  }

  private void tick() {
    stateByEntity.keySet().retainAll(membership.ownedEntities());
    if (!membership.isLeaseValid()) {
      return;
    }
    for (OwnedEntity entity : membership.ownedEntities()) {
      EntityState state = stateByEntity.computeIfAbsent(entity, ignored -> new EntityState());
      if (!state.initialListing.isComplete()) {
        loadObjects(entity, state);
      } else if (entity.isActive()) {
        reconcileBatch(entity, state);
      }
    }
  }

  /** Reads the rows after the entity was acquired; the watch delivers every later change. */
  private void loadObjects(OwnedEntity entity, EntityState state) {
    state.initialListing.startReading(
        store,
        KubernetesObject.KEY_PREFIX,
        entry -> {
          KubernetesObject object =
              KubernetesObject.fromRow(entry.key(), entry.value(), entry.modRevision());
          if (object == null || !object.entity().equals(entity.id())) {
            return;
          }
          if (KubernetesObject.isDeletedKey(entry.key())) {
            state.deletedObjects.put(entry.key(), new DeletedObject(object, entry.modRevision()));
          } else {
            putIfNewer(state, object);
          }
        },
        () -> LOG.info("entity {}: read {} Kubernetes objects", entity.id(), state.objects.size()));
  }

  private void reconcileBatch(OwnedEntity entity, EntityState state) {
    if (state.reconcileQueue.isEmpty()) {
      state.reconcileQueue.addAll(state.objects.keySet());
    }
    int writesLeft = MAX_WRITES_PER_TICK;
    for (int i = 0;
        i < MAX_OBJECTS_PER_TICK && writesLeft > 0 && !state.reconcileQueue.isEmpty();
        i++) {
      KubernetesObject object = state.objects.get(state.reconcileQueue.poll());
      if (object == null || state.operationsInFlight.contains(object.key())) {
        continue;
      }
      KubernetesObject nextState =
          object.kind() == ObjectKind.JOB
              ? jobReconciler.reconcile(entity, object)
              : deploymentReconciler.reconcile(entity, object);
      if (nextState != null) {
        writesLeft--;
        writeObject(entity, state, object, nextState);
      }
    }
    for (var entry : Map.copyOf(state.deletedObjects).entrySet()) {
      cleanUpDeleted(entity, state, entry.getKey(), entry.getValue());
    }
  }

  /** Stores the next state of an object unless its row has changed in the meantime. */
  private void writeObject(
      OwnedEntity entity, EntityState state, KubernetesObject current, KubernetesObject nextState) {
    String key = current.key();
    state.operationsInFlight.add(key);
    var transaction = entity.fencedTransaction().ifRevision(key, current.resourceVersion());
    if (nextState.areTasksGone()) {
      // No task is left, and the entity's open jobs no longer contain the native jobs. The row at
      // the deleted key makes watches report the deletion; cleanUpDeleted removes it.
      transaction
          .delete(key)
          .put(nextState.deletedKey(), nextState.toDeletedRow(loop.wallMillis()));
      Tombstones.markDeletion(transaction, key, loop.wallMillis());
    } else {
      transaction.put(key, nextState.value());
    }
    Futures.logFailure(
        store
            .commitInBackground(transaction)
            .whenComplete(
                (outcome, failure) -> {
                  state.operationsInFlight.remove(key);
                  if (failure == null && outcome.applied() && !nextState.areTasksGone()) {
                    putIfNewer(state, nextState.withResourceVersion(outcome.revision()));
                  }
                  // Otherwise the watch delivers the stored row.
                }),
        "write the status of a Kubernetes object");
  }

  /**
   * Cancels the remaining native jobs of a deleted object, and removes the row at its deleted key
   * once none is left and none can appear any more: without the row, nobody would cancel a native
   * job whose write turns out to be applied.
   */
  private void cleanUpDeleted(
      OwnedEntity entity, EntityState state, String key, DeletedObject deleted) {
    boolean tasksRemain = false;
    for (NativeJob nativeJob : deleted.lastState().nativeJobs()) {
      Job job = entity.jobs().get(nativeJob.id());
      tasksRemain |= job != null || hasOperationInFlight(entity, nativeJob.id());
      if (job != null) {
        cancelJob(entity, job);
      }
    }
    if (tasksRemain || !state.operationsInFlight.add(key)) {
      return;
    }
    Futures.logFailure(
        store
            .commitInBackground(
                entity.fencedTransaction().ifRevision(key, deleted.modRevision()).delete(key))
            .whenComplete(
                (outcome, failure) -> {
                  state.operationsInFlight.remove(key);
                  if (failure == null) {
                    state.deletedObjects.remove(key);
                  }
                }),
        "remove the row of a deleted Kubernetes object");
  }

  /**
   * Cancels a native job permanently if it is open. {@link JobLifecycle} retries the write until
   * the cancellation is stored.
   */
  void cancelJob(OwnedEntity entity, Job job) {
    if (job.phase() == Job.Phase.OPEN) {
      LOG.info(
          "job {} of entity {}: cancelling for its Kubernetes object",
          job.spec().id(),
          entity.id());
      Futures.logFailure(
          jobLifecycle.cancel(entity, job), "cancel the native job of a Kubernetes object");
    }
  }

  /**
   * Returns whether a native job is being looked up or stored. The write may also be one of {@link
   * ObjectCreator}, which stores a Job together with its native job: others can see and delete the
   * Job before this controller knows that the write was applied.
   */
  boolean hasOperationInFlight(OwnedEntity entity, JobId id) {
    EntityState state = stateByEntity.get(entity);
    return jobLifecycle.isSubmissionPending(entity, id)
        || (state != null && state.operationsInFlight.contains(id.value()));
  }

  /**
   * Submits a native job that an object's row names, unless the job exists. This is idempotent,
   * since a job id can be claimed only once. If the object has changed since it was read, nothing
   * is stored: the object may no longer need the job, and no controller would ever cancel it.
   */
  void ensureSubmitted(OwnedEntity entity, KubernetesObject object, JobSpec spec) {
    lookUpJob(
        entity,
        spec.id(),
        (state, finishOperation) -> {
          KubernetesObject current = state.objects.get(object.key());
          if (current == null || current.resourceVersion() != object.resourceVersion()) {
            finishOperation.run();
            return;
          }
          Futures.logFailure(
              jobLifecycle
                  .store(entity, spec, null)
                  .whenComplete((stored, failure) -> finishOperation.run()),
              "store the native job of a Kubernetes object");
        });
  }

  /**
   * Returns whether {@link #confirmNeverSubmitted} has established that a native job was never
   * submitted and will not be.
   */
  boolean isNeverSubmitted(OwnedEntity entity, JobId id) {
    EntityState state = stateByEntity.get(entity);
    return state != null && state.neverSubmittedJobs.contains(id);
  }

  /** Looks up whether a native job that is no longer needed was ever submitted. */
  void confirmNeverSubmitted(OwnedEntity entity, JobId id) {
    lookUpJob(
        entity,
        id,
        (state, finishOperation) -> {
          state.neverSubmittedJobs.add(id);
          finishOperation.run();
        });
  }

  private void lookUpJob(OwnedEntity entity, JobId id, BiConsumer<EntityState, Runnable> onAbsent) {
    EntityState state = stateByEntity.get(entity);
    if (state == null || hasOperationInFlight(entity, id)) {
      return;
    }
    state.operationsInFlight.add(id.value());
    Runnable finishOperation = () -> state.operationsInFlight.remove(id.value());
    Futures.logFailure(
        jobLifecycle
            .lookUp(id)
            .whenComplete(
                (found, failure) -> {
                  boolean resultReliable =
                      failure == null && entity.isActive() && membership.isLeaseValid();
                  if (resultReliable && found.isAbsent()) {
                    onAbsent.accept(state, finishOperation);
                  } else {
                    finishOperation.run();
                  }
                }),
        "look up the native job of a Kubernetes object");
  }
}
