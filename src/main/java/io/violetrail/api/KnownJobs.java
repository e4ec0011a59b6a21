package io.violetrail.api;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobView;
import io.violetrail.model.Resources;

/**
 * A bounded cache of the entities and the ends of jobs, whether this controller owns the jobs or a
 * peer does. Neither the entity nor the end of a job changes once it is stored.
 *
 * <p>Called on the event loop's thread. The cache does not survive a restart. Evicted jobs are
 * looked up in the stored rows again.
 */
public final class KnownJobs {
  private static final int MAX_REMEMBERED_JOBS = 20_000;

  private final Cache<JobId, FinishedOrNonexistentJob> finishedJobs =
      CacheBuilder.newBuilder().maximumSize(MAX_REMEMBERED_JOBS).build();

  /** Final states reported by peers, which do not include the resources of the jobs' tasks. */
  private final Cache<JobId, JobView> finishedViewsFromPeers =
      CacheBuilder.newBuilder().maximumSize(MAX_REMEMBERED_JOBS).build();

  private final Cache<JobId, ControllerId> entityByJob =
      CacheBuilder.newBuilder().maximumSize(MAX_REMEMBERED_JOBS).build();

  /**
   * A job whose tasks may not run here, because it has ended or does not exist.
   *
   * @param finalView the job's final state; null if the job does not exist
   * @param entity the entity that the job belonged to; if the job does not exist, the entity whose
   *     worker reported its task
   * @param taskResources the resources of each task; {@link Resources#NONE} if the job does not
   *     exist
   */
  public record FinishedOrNonexistentJob(
      JobView finalView, ControllerId entity, Resources taskResources) {}

  /** Returns the final state of the job, or null if it is not known to have ended. */
  public JobView findTerminalView(JobId id) {
    FinishedOrNonexistentJob knownJob = finishedJobs.getIfPresent(id);
    return knownJob == null ? finishedViewsFromPeers.getIfPresent(id) : knownJob.finalView();
  }

  /** Returns the entity that the job belongs to, or null if it is not known. */
  public ControllerId findEntityOf(JobId id) {
    return entityByJob.getIfPresent(id);
  }

  /**
   * Returns the job if its rows have shown that it has ended or does not exist, or null otherwise.
   */
  FinishedOrNonexistentJob findFinishedOrNonexistent(JobId id) {
    return finishedJobs.getIfPresent(id);
  }

  /**
   * Records the entity of a job that a peer has reported and, if the job has ended, its final
   * state.
   */
  public void recordFromPeer(JobId id, ControllerId entity, JobView view) {
    entityByJob.put(id, entity);
    if (view.status().isTerminal()) {
      finishedViewsFromPeers.put(id, view);
    }
  }

  /** Records the entity that a job belongs to according to its stored row. */
  void recordEntity(JobId id, ControllerId entity) {
    entityByJob.put(id, entity);
  }

  /** Records the stored end of a job. */
  void recordFinished(JobView view, ControllerId entity, Resources taskResources) {
    finishedJobs.put(
        new JobId(view.id()), new FinishedOrNonexistentJob(view, entity, taskResources));
    entityByJob.put(new JobId(view.id()), entity);
  }

  /** Records that a job whose task was reported by a worker of the entity has no row. */
  void recordNonexistent(JobId id, ControllerId entity) {
    finishedJobs.put(id, new FinishedOrNonexistentJob(null, entity, Resources.NONE));
  }
}
