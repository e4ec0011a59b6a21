package io.violetrail.peer;

import io.violetrail.api.Jobs;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobView;
import io.violetrail.peer.PeerMessages.JobStatus;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Asks peers for the states of jobs, many in one message, and remembers what cannot change. */
public final class PeerJobViews {
  private final PeerClient peers;
  private final Jobs jobs;
  private final Views batcher = new Views(this::ask);

  /** Lets the jobs learn what peers answer. */
  public PeerJobViews(PeerClient peers, Jobs jobs) {
    this.peers = peers;
    this.jobs = jobs;
  }

  /** Asks the owner of a job for its current state; fails if the owner does not know it. */
  public CompletableFuture<JobView> view(ControllerId owner, JobId id) {
    return batcher.ask(owner, id);
  }

  private CompletableFuture<Map<JobId, JobView>> ask(ControllerId owner, List<JobId> ids) {
    return peers.jobStatuses(owner, ids).thenApply(this::learn);
  }

  private Map<JobId, JobView> learn(List<JobStatus> statuses) {
    Map<JobId, JobView> known = new HashMap<>();
    for (JobStatus status : statuses) {
      JobId id = new JobId(status.id());
      JobView view = status.toView();
      known.put(id, view);
      if (!status.entity().isEmpty()) {
        jobs.learn(id, new ControllerId(status.entity()), view);
      }
    }
    return known;
  }
}
