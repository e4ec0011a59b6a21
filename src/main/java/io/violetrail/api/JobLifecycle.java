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
 * Manages the open jobs of the entities that this controller owns: accepts jobs, tracks their
 * progress, ends and cancels them. A step takes effect only once its rows are stored, so after a
 * crash at any point either the step has not happened or the next owner finds its rows.
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

  /**
   * Creates a lifecycle that notifies the pending queues of new jobs and stops the tasks of ended
   * jobs through the task stopper.
   */
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
   * Returns the final state of any job of the cluster, or null if this controller does not know
   * that the job has ended.
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
   * Returns whether no task of the job may run on a machine of the active entity: the job's end is
   * stored, its user has cancelled it, or it is not one of the entity's open jobs, all of which the
   * owner knows.
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
   * @param newlyStored whether the job now belongs to this entity; if false, its id is taken or its
   *     co-written row conflicts
   * @param coWrittenRowConflict whether the co-written row was not at its expected revision
   * @param revision the revision of the job's rows if it was newly stored; 0 if that is unknown
   */
  public record StoreResult(boolean newlyStored, boolean coWrittenRowConflict, long revision) {}

  /**
   * Stores a new job and adds it to the entity's open jobs.
   *
   * @param coWrittenRow a row that is stored in the same transaction; null if there is none
   * @return a future that fails with a {@code RequestFailedException} if the job is not known to be
   *     stored
   */
  public CompletableFuture<StoreResult> store(
      OwnedEntity entity, JobSpec spec, CoWrittenRow coWrittenRow) {
    long nowMillis = loop.wallMillis();
    double nowSeconds = loop.monotonicSeconds();
    CompletableFuture<StoreResult> result = new CompletableFuture<>();
    // A missing answer leaves the outcome open. The write is repeated until its outcome is certain,
    // so that no job is stored without its owner knowing of it.
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
                    openJob(entity, spec, nowMillis, nowSeconds);
                  }
                  result.complete(stored);
                }),
        "store a submitted job");
    return result;
  }

  private void openJob(
      OwnedEntity entity, JobSpec spec, long arrivedAtMillis, double arrivedSeconds) {
    knownJobs.recordEntity(spec.id(), entity.id());
    // The job is opened during a handover too: if the handover is abandoned, the entity stays here,
    // and a job that was not opened would never run.
    if (entity.phase() != OwnedEntity.Phase.LOST) {
      boolean bestEffort = serviceLevelObjectives.isBestEffort(spec);
      entity.addJobIfAbsent(new Job(spec, arrivedAtMillis, arrivedSeconds, false, bestEffort));
      warmCapacity.recordArrival(spec, arrivedSeconds);
      pendingQueues.onJobsChanged(entity);
    }
    LOG.info(
        "job {} accepted by entity {} version {}: {} tasks",
        spec.id(),
        entity.id(),
        entity.row().version(),
        spec.taskCount());
  }

  /**
   * Returns whether the job's submission to this entity waits to be stored or has no known outcome
   * yet. The job may be stored already, and is opened once that is known.
   */
  public boolean isSubmissionPending(OwnedEntity entity, JobId id) {
    return stores.jobStoreOf(entity).isSubmissionPending(id);
  }

  /** Returns the number of submissions that are waiting to be stored. */
  public int pendingSubmissionCount(OwnedEntity entity) {
    return stores.jobStoreOf(entity).pendingSubmissionCount();
  }

  /**
   * Handles a change of the job's done tasks: schedules their progress for the next flush or, once
   * all tasks are done, stores the job's end.
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

  /** Writes the progress rows whose flush interval has passed. */
  public void flushProgress(OwnedEntity entity) {
    stores.progressStoreOf(entity).flush(loop.monotonicSeconds());
  }

  /** Stores the end of a job. It is reported to users and workers only after it is stored. */
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
                  // The failure may be temporary, and no other controller would store this end.
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
    job.markFinished(status);
    knownJobs.recordFinished(
        new JobView(job.spec().id().value(), status, job.doneCount(), 0),
        entity.id(),
        job.spec().taskResources());
    LOG.info("job {} of entity {} ended with status {}", job.spec().id(), entity.id(), status);
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
   * Cancels an open job of an owned entity. A job whose last task has already finished ends as
   * done.
   *
   * @return a future that completes with the job's final state once that is stored, and fails if it
   *     could not be stored
   */
  public CompletableFuture<JobView> cancel(OwnedEntity entity, Job job) {
    CompletableFuture<JobView> cancelled = new CompletableFuture<>();
    if (job.phase() == Job.Phase.OPEN) {
      // From here on, none of its tasks is started or kept running, however long storing its end
      // takes.
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
                        cancelled.completeExceptionally(
                            RequestUndecidedException.possiblyNotStored());
                      }
                    }));
    return cancelled;
  }
}
