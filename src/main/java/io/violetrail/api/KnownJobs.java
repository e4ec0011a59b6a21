package io.violetrail.api;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobView;
import io.violetrail.model.Resources;

/**
 * What this controller remembers of jobs, its own and others': their entities and their ends,
 * neither of which ever changes once stored.
 *
 * <p>Called on the event loop's thread. The memory is bounded and does not survive a restart: what
 * has been forgotten is read from the rows again.
 */
public final class KnownJobs {
  private static final int MAX_REMEMBERED_JOBS = 20_000;

  private final Cache<JobId, KnownJob> finishedJobs =
      CacheBuilder.newBuilder().maximumSize(MAX_REMEMBERED_JOBS).build();

  /** Ends known from peers, without the resources of the jobs' tasks. */
  private final Cache<JobId, JobView> finishedViewsFromPeers =
      CacheBuilder.newBuilder().maximumSize(MAX_REMEMBERED_JOBS).build();

  private final Cache<JobId, ControllerId> entityByJob =
      CacheBuilder.newBuilder().maximumSize(MAX_REMEMBERED_JOBS).build();

  /**
   * A job of which no task may run here.
   *
   * @param view its final state; null if there is no such job
   * @param taskResources what each of its tasks takes; none if there is no such job
   */
  public record KnownJob(JobView view, ControllerId entity, Resources taskResources) {}

  /** The final state of the job; null if it is not known to have ended. */
  public JobView findTerminalView(JobId id) {
    KnownJob knownJob = finishedJobs.getIfPresent(id);
    return knownJob == null ? finishedViewsFromPeers.getIfPresent(id) : knownJob.view();
  }

  /** The entity that the job belongs to; null if it is not known. */
  public ControllerId findEntityOf(JobId id) {
    return entityByJob.getIfPresent(id);
  }

  /** The job if its rows have shown that it has ended or does not exist; null otherwise. */
  KnownJob findFinished(JobId id) {
    return finishedJobs.getIfPresent(id);
  }

  /** Records what a peer has answered about a job. */
  public void recordFromPeer(JobId id, ControllerId entity, JobView view) {
    entityByJob.put(id, entity);
    if (view.status().isTerminal()) {
      finishedViewsFromPeers.put(id, view);
    }
  }

  /** Records the entity that the job's row names. */
  void recordEntity(JobId id, ControllerId entity) {
    entityByJob.put(id, entity);
  }

  /** Records the end of a job, which is stored. */
  void recordFinished(JobView view, ControllerId entity, Resources taskResources) {
    finishedJobs.put(new JobId(view.id()), new KnownJob(view, entity, taskResources));
    entityByJob.put(new JobId(view.id()), entity);
  }

  /** Records that there is no row of a job whose task a worker of the entity has reported. */
  void recordNonexistent(JobId id, ControllerId entity) {
    finishedJobs.put(id, new KnownJob(null, entity, Resources.NONE));
  }
}
