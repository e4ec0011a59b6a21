package io.violetrail.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.errors.RequestFailedException;
import io.violetrail.errors.RequestUndecidedException;
import io.violetrail.evidence.TerminationEvidence;
import io.violetrail.fleet.WarmCapacity;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.JobView.JobStatus;
import io.violetrail.model.Resources;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.net.RequestCoalescer;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.StateSchema;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.PendingQueues;
import io.violetrail.scheduling.ServiceLevelObjectives;
import io.violetrail.scheduling.TaskPlacement;
import io.violetrail.state.StateStore;
import io.violetrail.tracing.JobTracer;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.Entry;
import io.violetrail.worker.TaskStopper;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Jobs' rows in the state service: intake, progress, ends, and what is remembered of them here. */
public final class JobLifecycle {
  static final Logger LOG = LoggerFactory.getLogger(JobLifecycle.class);
  private static final int MAX_REMEMBERED_JOBS = 20_000;
  private static final double LOOKUP_RETRY_SECONDS = 3;
  private static final double END_RETRY_SECONDS = 2;

  private final EventLoop loop;
  private final StateStore store;
  private final StateStoreLimits limits;
  private final Membership membership;
  private final PendingQueues pendingQueues;
  private final ServiceLevelObjectives serviceLevelObjectives;
  private final WarmCapacity warmCapacity;
  private final TaskStopper taskStopper;
  private final JobTracer jobTracer;
  private final Map<OwnedEntity, JobProgressStore> progressStores = new HashMap<>();
  private final Map<OwnedEntity, JobStore> jobStores = new HashMap<>();
  private final Cache<JobId, KnownJob> finishedJobs =
      CacheBuilder.newBuilder().maximumSize(MAX_REMEMBERED_JOBS).build();

  /** Ends known from peers, without what the jobs' tasks take. */
  private final Cache<JobId, JobView> finishedViewsFromPeers =
      CacheBuilder.newBuilder().maximumSize(MAX_REMEMBERED_JOBS).build();

  private final Cache<JobId, ControllerId> entityByJob =
      CacheBuilder.newBuilder().maximumSize(MAX_REMEMBERED_JOBS).build();
  private final Set<JobId> lookingUp = new HashSet<>();
  private final RequestCoalescer<JobId, LookupResult> lookupCoalescer;

  /** Jobs of other entities' ended tasks are asked about now and then, not with every report. */
  private final Cache<JobId, Double> lastLookupSeconds =
      CacheBuilder.newBuilder().maximumSize(1_000).build();

  /** Tells the pending jobs and the task stopper what begins and ends. */
  public JobLifecycle(
      EventLoop loop,
      StateStore store,
      StateStoreLimits limits,
      Membership membership,
      PendingQueues pendingQueues,
      ServiceLevelObjectives objectives,
      WarmCapacity warmCapacity,
      TaskStopper taskStopper,
      JobTracer jobTracer) {
    this.loop = loop;
    this.store = store;
    this.limits = limits;
    this.membership = membership;
    this.pendingQueues = pendingQueues;
    this.serviceLevelObjectives = objectives;
    this.warmCapacity = warmCapacity;
    this.taskStopper = taskStopper;
    this.jobTracer = jobTracer;
    this.lookupCoalescer =
        new RequestCoalescer<>(id -> readJobRows(id, key -> store.getForUser(key, 2)));
  }

  /** A job that is over, or bound to another entity ({@code view} is null then). */
  public record KnownJob(JobView view, ControllerId entity, Resources taskResources) {}

  /**
   * What a look-up came to: a job's view, proven absence (null view), or its binding to an open
   * entity.
   */
  public record LookupResult(JobView view, ControllerId openAtEntity, JobView storedView) {
    public boolean isAbsent() {
      return view == null && openAtEntity == null;
    }
  }

  public JobView findTerminalView(JobId id) {
    KnownJob knownJob = finishedJobs.getIfPresent(id);
    return knownJob == null ? finishedViewsFromPeers.getIfPresent(id) : knownJob.view();
  }

  /** A peer has told what it knows of a job: where it is bound, and its end, never change. */
  public void recordFromPeer(JobId id, ControllerId entity, JobView view) {
    entityByJob.put(id, entity);
    if (view.status().isTerminal()) {
      finishedViewsFromPeers.put(id, view);
    }
  }

  public ControllerId findEntityOf(JobId id) {
    return entityByJob.getIfPresent(id);
  }

  /**
   * Whether no task of the job may run on a machine of an active holding: its end is stored, or
   * asked for by its user, or it is none of the entity's open jobs, of which the owner knows all.
   */
  public boolean isFinishedOrCancelled(OwnedEntity entity, JobId id) {
    Job openJob = entity.jobs().get(id);
    return openJob == null
        ? jobStoreOf(entity).findStoredJob(id) == null
        : openJob.phase() == Job.Phase.CANCELLING || openJob.phase() == Job.Phase.FINISHED;
  }

  /**
   * For a worker's task whose job is not open here: what is known; null while it is being looked
   * up.
   */
  public KnownJob findKnownJob(OwnedEntity ownedEntity, JobId id) {
    KnownJob knownJob = finishedJobs.getIfPresent(id);
    if (knownJob != null) {
      return knownJob;
    }
    double nowSeconds = loop.monotonicSeconds();
    Double lastLookup = lastLookupSeconds.getIfPresent(id);
    boolean lookupDue = lastLookup == null || nowSeconds - lastLookup > LOOKUP_RETRY_SECONDS;
    if (lookupDue && lookingUp.size() < 100 && lookingUp.add(id)) {
      lastLookupSeconds.put(id, (Double) nowSeconds);
      Futures.logFailure(
          readJobRows(id, store::get)
              .whenComplete(
                  (found, failure) -> {
                    lookingUp.remove(id);
                    if (failure != null) {
                      return;
                    }
                    if (found.isAbsent()
                        || (found.openAtEntity() != null
                            && !found.openAtEntity().equals(ownedEntity.id()))) {
                      LOG.info(
                          "a worker of entity {} has a task of {}, which is not of this entity",
                          ownedEntity.id(),
                          id);
                      if (found.isAbsent()) {
                        finishedJobs.put(id, new KnownJob(null, ownedEntity.id(), Resources.NONE));
                      }
                    } else if (found.openAtEntity() != null) {
                      reload(ownedEntity, id);
                    }
                  }),
          "read a job's stored state");
    }
    return null;
  }

  /** Reads a job's rows, which are never stale, on behalf of whoever asks. */
  public CompletableFuture<LookupResult> lookUp(JobId id) {
    return lookupCoalescer.request(id);
  }

  private CompletableFuture<LookupResult> readJobRows(
      JobId id, Function<String, CompletableFuture<Entry>> reader) {
    return reader
        .apply(StateSchema.jobKey(id))
        .thenCompose(
            claimRow -> {
              if (claimRow.value() == null) {
                return CompletableFuture.completedFuture(new LookupResult(null, null, null));
              }
              ControllerId entity = new ControllerId(claimRow.value().path("entity").asText());
              return store
                  .getUrgent(
                      StateSchema.finishedJobSegmentKey(
                          entity, claimRow.value().path("page").asText()))
                  .thenApply(
                      finishedSegmentRow ->
                          toLookupResult(
                              id,
                              entity,
                              parseTaskResources(claimRow.value()),
                              finishedSegmentRow));
            });
  }

  private LookupResult toLookupResult(
      JobId id, ControllerId entity, Resources taskResources, Entry finishedSegmentRow) {
    JobView finalView = JobStore.parseEnd(id, finishedSegmentRow.value());
    if (finalView != null) {
      rememberFinished(finalView, entity, taskResources);
      return new LookupResult(finalView, null, null);
    }
    entityByJob.put(id, entity);
    return new LookupResult(null, entity, new JobView(id.value(), JobStatus.QUEUED, 0, 0));
  }

  private void rememberFinished(JobView view, ControllerId entity, Resources taskResources) {
    finishedJobs.put(new JobId(view.id()), new KnownJob(view, entity, taskResources));
    entityByJob.put(new JobId(view.id()), entity);
  }

  private static Resources parseTaskResources(JsonNode row) {
    return new Resources(
        row.path("cpus").asDouble(), row.path("gpus").asDouble(), row.path("memory").asDouble());
  }

  /** What a job's own row says of it. */
  static ObjectNode toClaimRow(ControllerId entity, JobSpec spec) {
    ObjectNode row = Cbor.newMap().put("entity", entity.value());
    return row.put("cpus", spec.taskResources().cpus())
        .put("gpus", spec.taskResources().gpus())
        .put("memory", spec.taskResources().memoryGb());
  }

  private Job createJob(
      JobSpec spec, long arrivedAtMillis, double arrivedAtSeconds, boolean loadedFromStore) {
    return new Job(
        spec,
        arrivedAtMillis,
        arrivedAtSeconds,
        loadedFromStore,
        serviceLevelObjectives.isBestEffort(spec));
  }

  /**
   * What storing a job came to. Fresh: it is this entity's now. Otherwise its id is taken, or the
   * row that was to be stored with it.
   */
  public record StoreResult(boolean newlyStored, boolean coWrittenRowConflict, long revision) {}

  /** Stores a new job, with a row of its own if one is given. */
  public CompletableFuture<StoreResult> store(
      OwnedEntity entity, JobSpec spec, CoWrittenRow coWrittenRow) {
    long nowMillis = loop.wallMillis();
    double nowSeconds = loop.monotonicSeconds();
    CompletableFuture<StoreResult> result = new CompletableFuture<>();
    // An answer that never came leaves the outcome open; it is repeated until certain, so that no
    // job is stored without its owner knowing of it.
    Futures.logFailure(
        jobStoreOf(entity)
            .storeSubmission(spec, nowMillis, coWrittenRow)
            .whenComplete(
                (stored, failure) -> {
                  if (failure != null) {
                    result.completeExceptionally(RequestFailedException.from(failure));
                  } else if (stored.newlyStored()) {
                    entityByJob.put(spec.id(), entity.id());
                    // Also while the entity is being handed over: if that comes to nothing it stays
                    // here,
                    // and a job that was not taken up would never run.
                    if (entity.phase() != OwnedEntity.Phase.LOST) {
                      entity.addJobIfAbsent(createJob(spec, nowMillis, nowSeconds, false));
                      warmCapacity.recordArrival(spec, nowSeconds);
                      pendingQueues.jobsChanged(entity);
                    }
                    LOG.info(
                        "job {} accepted by entity {} version {}: {} tasks",
                        spec.id(),
                        entity.id(),
                        entity.row().version(),
                        spec.taskCount());
                    result.complete(stored);
                  } else {
                    result.complete(stored);
                  }
                }),
        "store a submitted job");
    return result;
  }

  /** Submissions that wait to be stored. */
  public int pendingSubmissionCount(OwnedEntity entity) {
    return jobStoreOf(entity).pendingSubmissionCount();
  }

  /** A job of the entity that was stored without being taken up here. */
  private void reload(OwnedEntity entity, JobId id) {
    JobStore.StoredJob stored =
        entity.isActive() && !entity.jobs().containsKey(id)
            ? jobStoreOf(entity).findStoredJob(id)
            : null;
    if (stored != null) {
      restoreJob(entity, stored);
      pendingQueues.jobsChanged(entity);
    }
  }

  /** Reads which of the jobs on an entity's sheets are open. */
  public CompletableFuture<List<JobStore.StoredJob>> loadOpenJobs(
      OwnedEntity entity, List<Entry> openSegmentRows) {
    JobStore jobStore = newLedger(entity);
    jobStores.put(entity, jobStore);
    return jobStore.load(openSegmentRows);
  }

  /** Takes up the open jobs of an entity, and what is done of them. */
  public void restore(
      OwnedEntity entity, List<JobStore.StoredJob> openJobs, List<Entry> progressRows) {
    openJobs.forEach(stored -> restoreJob(entity, stored));
    progressStoreOf(entity).restore(progressRows);
    List.copyOf(entity.jobs().values()).forEach(job -> handleProgress(entity, job));
  }

  private void restoreJob(OwnedEntity entity, JobStore.StoredJob stored) {
    double ageSeconds = Math.max(0, loop.wallMillis() - stored.arrivedAtMillis()) / 1000.0;
    JobSpec spec = stored.spec();
    entity.addJob(
        createJob(spec, stored.arrivedAtMillis(), loop.monotonicSeconds() - ageSeconds, true));
    entityByJob.put(spec.id(), entity.id());
  }

  private JobStore newLedger(OwnedEntity entity) {
    return new JobStore(loop, store, limits, membership, entity);
  }

  private JobStore jobStoreOf(OwnedEntity entity) {
    jobStores
        .keySet()
        .removeIf(other -> other.phase() == OwnedEntity.Phase.LOST && other != entity);
    return jobStores.computeIfAbsent(entity, this::newLedger);
  }

  /** Tasks of the job may be done: store that, in time, and close the job after the last one. */
  public void handleProgress(OwnedEntity entity, Job job) {
    if (job.phase() != Job.Phase.OPEN) {
      return;
    }
    if (job.isComplete()) {
      job.startClosing();
      job.enqueueWrite(() -> storeEnd(entity, job, JobStatus.DONE));
    } else if (!job.isProgressStored()) {
      progressStoreOf(entity).markChanged(job);
    }
  }

  private JobProgressStore progressStoreOf(OwnedEntity entity) {
    progressStores.keySet().retainAll(membership.ownedEntities());
    return progressStores.computeIfAbsent(
        entity, owned -> new JobProgressStore(loop, store, limits, membership, owned));
  }

  /** Stores the progress that is due. */
  public void flushProgress(OwnedEntity entity) {
    progressStoreOf(entity).flush(loop.monotonicSeconds());
  }

  /** Stores the end of a job. Only afterwards is anybody told of it. */
  private CompletableFuture<Boolean> storeEnd(OwnedEntity entity, Job job, JobStatus status) {
    if (job.phase() == Job.Phase.FINISHED) {
      return CompletableFuture.completedFuture(true);
    }
    return jobStoreOf(entity)
        .storeEnd(job.spec().id(), status, job.doneCount())
        .handle(
            (stored, failure) -> {
              if (failure != null) {
                membership.relist();
                if (entity.phase() != OwnedEntity.Phase.LOST) {
                  // Refused for a reason that may pass: nobody else would ever store this end.
                  loop.schedule(
                      END_RETRY_SECONDS,
                      () -> job.enqueueWrite(() -> storeEnd(entity, job, status)));
                }
                return false;
              }
              handleEndStored(entity, job, status);
              return true;
            });
  }

  private void handleEndStored(OwnedEntity entity, Job job, JobStatus status) {
    job.ended(status);
    rememberFinished(
        new JobView(job.spec().id().value(), status, job.doneCount(), 0),
        entity.id(),
        job.spec().taskResources());
    LOG.info("job {} of entity {} is {}", job.spec().id(), entity.id(), status);
    jobTracer.jobEnded(job.spec().id(), status);
    stopTasks(entity, job);
    if (job.hasNoPlacements()) {
      entity.removeJob(job);
    }
  }

  private void stopTasks(OwnedEntity entity, Job job) {
    for (TaskPlacement placement : job.placements()) {
      if (placement.isRevocable()) {
        entity.removePlacement(placement, loop.monotonicSeconds(), TerminationEvidence.NEVER_SENT);
      } else {
        placement.requestStop(0);
        taskStopper.stopUntilGone(placement);
      }
    }
  }

  /**
   * Cancels an open job of a held entity; completes with what the user is to be told, once stored.
   */
  public CompletableFuture<JobView> cancel(OwnedEntity entity, Job job) {
    CompletableFuture<JobView> cancelled = new CompletableFuture<>();
    if (job.phase() == Job.Phase.OPEN) {
      // Its user does not want it any more: nothing of it is started or kept running from now on.
      job.startCancelling();
      stopTasks(entity, job);
    }
    JobStatus status = job.phase() == Job.Phase.CLOSING ? JobStatus.DONE : JobStatus.CANCELLED;
    job.enqueueWrite(
        () ->
            storeEnd(entity, job, status)
                .whenComplete(
                    (stored, failure) -> {
                      JobView view = findTerminalView(job.spec().id());
                      if (failure == null && view != null) {
                        cancelled.complete(view);
                      } else {
                        cancelled.completeExceptionally(RequestUndecidedException.notStored());
                      }
                    }));
    return cancelled;
  }
}
