package io.violetrail.api;

import io.violetrail.errors.RequestFailedException;
import io.violetrail.errors.RequestUndecidedException;
import io.violetrail.evidence.TerminationEvidence;
import io.violetrail.fleet.WarmCapacity;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.JobView.JobStatus;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.PendingQueues;
import io.violetrail.scheduling.ServiceLevelObjectives;
import io.violetrail.scheduling.TaskPlacement;
import io.violetrail.tracing.JobTracer;
import io.violetrail.worker.TaskStopper;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The open jobs of the entities owned here: accepts them, follows their progress, ends and cancels
 * them. Each step counts only once its rows are stored, so a crash at any point leaves either the
 * step undone or its rows for the next owner.
 *
 * <p>Called on the event loop's thread.
 */
public final class JobLifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(JobLifecycle.class);
  private static final double END_RETRY_SECONDS = 2;

  private final EventLoop loop;
  private final Membership membership;
  private final EntityJobStores stores;
  private final KnownJobs knownJobs;
  private final JobLookup jobLookup;
  private final PendingQueues pendingQueues;
  private final ServiceLevelObjectives serviceLevelObjectives;
  private final WarmCapacity warmCapacity;
  private final TaskStopper taskStopper;
  private final JobTracer jobTracer;

  /** Notifies the pending queues and the task stopper of what begins and ends. */
  public JobLifecycle(
      EventLoop loop,
      Membership membership,
      EntityJobStores stores,
      KnownJobs knownJobs,
      JobLookup jobLookup,
      PendingQueues pendingQueues,
      ServiceLevelObjectives objectives,
      WarmCapacity warmCapacity,
      TaskStopper taskStopper,
      JobTracer jobTracer) {
    this.loop = loop;
    this.membership = membership;
    this.stores = stores;
    this.knownJobs = knownJobs;
    this.jobLookup = jobLookup;
    this.pendingQueues = pendingQueues;
    this.serviceLevelObjectives = objectives;
    this.warmCapacity = warmCapacity;
    this.taskStopper = taskStopper;
    this.jobTracer = jobTracer;
  }

  /**
   * The final state of any job of the cluster; null if it is not known here to have ended.
   *
   * @see KnownJobs#findTerminalView
   */
  public JobView findTerminalView(JobId id) {
    return knownJobs.findTerminalView(id);
  }

  /**
   * Reads the rows of any job of the cluster.
   *
   * @see JobLookup#lookUp
   */
  public CompletableFuture<JobLookup.LookupResult> lookUp(JobId id) {
    return jobLookup.lookUp(id);
  }

  /**
   * Whether no task of the job may run on a machine of an active entity: its end is stored, its
   * user has cancelled it, or it is none of the entity's open jobs, of which the owner knows all.
   */
  public boolean isFinishedOrCancelled(OwnedEntity entity, JobId id) {
    Job openJob = entity.jobs().get(id);
    return openJob == null
        ? stores.jobStoreOf(entity).findStoredJob(id) == null
        : openJob.phase() == Job.Phase.CANCELLING || openJob.phase() == Job.Phase.FINISHED;
  }

  /**
   * The result of storing a submission.
   *
   * @param newlyStored whether the job is this entity's now; otherwise its id is taken, or its
   *     co-written row conflicts
   * @param coWrittenRowConflict whether the co-written row was not as expected
   * @param revision of the rows if the job was newly stored; 0 if it is not known
   */
  public record StoreResult(boolean newlyStored, boolean coWrittenRowConflict, long revision) {}

  /**
   * Stores a new job and opens it.
   *
   * @param coWrittenRow a row that is stored in the same transaction; null if there is none
   * @return fails with a {@code RequestFailedException} if it is not known to be stored
   */
  public CompletableFuture<StoreResult> store(
      OwnedEntity entity, JobSpec spec, CoWrittenRow coWrittenRow) {
    long nowMillis = loop.wallMillis();
    double nowSeconds = loop.monotonicSeconds();
    CompletableFuture<StoreResult> result = new CompletableFuture<>();
    // An answer that never came leaves the outcome open; it is repeated until certain, so that no
    // job is stored without its owner knowing of it.
    Futures.logFailure(
        stores
            .jobStoreOf(entity)
            .storeSubmission(spec, nowMillis, coWrittenRow)
            .whenComplete(
                (stored, failure) -> {
                  if (failure != null) {
                    result.completeExceptionally(RequestFailedException.from(failure));
                    return;
                  }
                  if (stored.newlyStored()) {
                    open(entity, spec, nowMillis, nowSeconds);
                  }
                  result.complete(stored);
                }),
        "store a submitted job");
    return result;
  }

  private void open(OwnedEntity entity, JobSpec spec, long arrivedAtMillis, double arrivedSeconds) {
    knownJobs.recordEntity(spec.id(), entity.id());
    // Also during a handover: if that is abandoned the entity stays here, and a job that was not
    // opened would never run.
    if (entity.phase() != OwnedEntity.Phase.LOST) {
      boolean bestEffort = serviceLevelObjectives.isBestEffort(spec);
      entity.addJobIfAbsent(new Job(spec, arrivedAtMillis, arrivedSeconds, false, bestEffort));
      warmCapacity.recordArrival(spec, arrivedSeconds);
      pendingQueues.jobsChanged(entity);
    }
    LOG.info(
        "job {} accepted by entity {} version {}: {} tasks",
        spec.id(),
        entity.id(),
        entity.row().version(),
        spec.taskCount());
  }

  /** The number of submissions that wait to be stored. */
  public int pendingSubmissionCount(OwnedEntity entity) {
    return stores.jobStoreOf(entity).pendingSubmissionCount();
  }

  /**
   * Handles tasks of the job that may have finished: their progress is stored with the next flush,
   * and the job's end once all tasks are done.
   */
  public void handleProgress(OwnedEntity entity, Job job) {
    if (job.phase() != Job.Phase.OPEN) {
      return;
    }
    if (job.isComplete()) {
      job.startClosing();
      job.enqueueWrite(() -> storeEnd(entity, job, JobStatus.DONE));
    } else if (!job.isProgressStored()) {
      stores.progressStoreOf(entity).markChanged(job);
    }
  }

  /** Stores the progress that is due. */
  public void flushProgress(OwnedEntity entity) {
    stores.progressStoreOf(entity).flush(loop.monotonicSeconds());
  }

  /** Stores the end of a job. Users and workers hear of it only afterwards. */
  private CompletableFuture<Boolean> storeEnd(OwnedEntity entity, Job job, JobStatus status) {
    if (job.phase() == Job.Phase.FINISHED) {
      return CompletableFuture.completedFuture(true);
    }
    return stores
        .jobStoreOf(entity)
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
    knownJobs.recordFinished(
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
   * Cancels an open job of an owned entity. If its last task has finished before, it ends as done.
   *
   * @return completes with the job's final state once it is stored; fails if it could not be stored
   */
  public CompletableFuture<JobView> cancel(OwnedEntity entity, Job job) {
    CompletableFuture<JobView> cancelled = new CompletableFuture<>();
    if (job.phase() == Job.Phase.OPEN) {
      // From here on no task of it is started or kept running, whenever its end is stored.
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
