package io.violetrail.peer;

import io.violetrail.api.KnownJobs;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobView;
import io.violetrail.peer.PeerMessages.JobViewMessage;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Asks peers for the states of jobs, many in one message, and remembers what cannot change. */
public final class PeerJobViews {
  private final PeerClient peerClient;
  private final KnownJobs knownJobs;
  private final JobQueryBatcher batcher = new JobQueryBatcher(this::ask);

  /** Lets the jobs learn what peers answer. */
  public PeerJobViews(PeerClient peerClient, KnownJobs knownJobs) {
    this.peerClient = peerClient;
    this.knownJobs = knownJobs;
  }

  /** Asks the owner of a job for its current state; fails if the owner does not know it. */
  public CompletableFuture<JobView> view(ControllerId owner, JobId id) {
    return batcher.query(owner, id);
  }

  private CompletableFuture<Map<JobId, JobView>> ask(ControllerId owner, List<JobId> ids) {
    return peerClient.jobStatuses(owner, ids).thenApply(this::learn);
  }

  private Map<JobId, JobView> learn(List<JobViewMessage> statuses) {
    Map<JobId, JobView> known = new HashMap<>();
    for (JobViewMessage status : statuses) {
      JobId id = new JobId(status.id());
      JobView view = status.toView();
      known.put(id, view);
      if (!status.entity().isEmpty()) {
        knownJobs.recordFromPeer(id, new ControllerId(status.entity()), view);
      }
    }
    return known;
  }
}
