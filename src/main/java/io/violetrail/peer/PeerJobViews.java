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

/** Queries peers for the states of jobs, many in one message, and records what cannot change. */
public final class PeerJobViews {
  private final PeerClient peerClient;
  private final KnownJobs knownJobs;
  private final JobQueryBatcher batcher = new JobQueryBatcher(this::queryOwner);

  /** Creates a client that records the peers' replies in {@code knownJobs}. */
  public PeerJobViews(PeerClient peerClient, KnownJobs knownJobs) {
    this.peerClient = peerClient;
    this.knownJobs = knownJobs;
  }

  /** Queries the owner of a job for its current state; fails if the owner does not know the job. */
  public CompletableFuture<JobView> view(ControllerId owner, JobId id) {
    return batcher.query(owner, id);
  }

  private CompletableFuture<Map<JobId, JobView>> queryOwner(ControllerId owner, List<JobId> ids) {
    return peerClient.queryJobViews(owner, ids).thenApply(this::recordViews);
  }

  private Map<JobId, JobView> recordViews(List<JobViewMessage> messages) {
    Map<JobId, JobView> viewById = new HashMap<>();
    for (JobViewMessage message : messages) {
      JobId id = new JobId(message.id());
      JobView view = message.toView();
      viewById.put(id, view);
      if (!message.entity().isEmpty()) {
        knownJobs.recordFromPeer(id, new ControllerId(message.entity()), view);
      }
    }
    return viewById;
  }
}
