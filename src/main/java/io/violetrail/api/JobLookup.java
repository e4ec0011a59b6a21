package io.violetrail.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.JobView.JobStatus;
import io.violetrail.model.Resources;
import io.violetrail.net.RequestCoalescer;
import io.violetrail.ownership.StateSchema;
import io.violetrail.state.StateStore;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.Entry;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Reads what the rows of any job say, and records in {@link KnownJobs} what cannot change. Called
 * on the event loop's thread.
 */
public final class JobLookup {
  /** A look-up reads the claim row and the finished-job segment; both are paid for at the first. */
  private static final int READS_PER_LOOKUP = 2;

  private final StateStore store;
  private final KnownJobs knownJobs;
  private final RequestCoalescer<JobId, LookupResult> coalescer;

  /** Reads from the store. */
  public JobLookup(StateStore store, KnownJobs knownJobs) {
    this.store = store;
    this.knownJobs = knownJobs;
    this.coalescer =
        new RequestCoalescer<>(
            id -> readJobRows(id, key -> store.getForUser(key, READS_PER_LOOKUP)));
  }

  /**
   * What a job's rows say.
   *
   * @param view its final state; null if it has not ended or does not exist
   * @param openAtEntity the entity at which it is open; null if it is not open
   * @param storedView of an open job, the state that the rows alone prove; null otherwise
   */
  public record LookupResult(JobView view, ControllerId openAtEntity, JobView storedView) {
    private static final LookupResult ABSENT = new LookupResult(null, null, null);

    /** Whether it is proven that there is no such job. */
    public boolean isAbsent() {
      return view == null && openAtEntity == null;
    }
  }

  /** Reads a job's rows, which are never stale, for a user who waits; fails if they cannot be. */
  public CompletableFuture<LookupResult> lookUp(JobId id) {
    return coalescer.request(id);
  }

  /** Reads a job's rows with no user waiting; fails if they cannot be read. */
  CompletableFuture<LookupResult> lookUpInBackground(JobId id) {
    return readJobRows(id, store::get);
  }

  private CompletableFuture<LookupResult> readJobRows(
      JobId id, Function<String, CompletableFuture<Entry>> reader) {
    return reader
        .apply(StateSchema.jobKey(id))
        .thenCompose(
            claimRow -> {
              if (claimRow.value() == null) {
                return CompletableFuture.completedFuture(LookupResult.ABSENT);
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
      knownJobs.recordFinished(finalView, entity, taskResources);
      return new LookupResult(finalView, null, null);
    }
    knownJobs.recordEntity(id, entity);
    return new LookupResult(null, entity, new JobView(id.value(), JobStatus.QUEUED, 0, 0));
  }

  /** The row that claims a job's id, without the name of its finished-job segment. */
  static ObjectNode toClaimRow(ControllerId entity, JobSpec spec) {
    ObjectNode row = Cbor.newMap().put("entity", entity.value());
    return row.put("cpus", spec.taskResources().cpus())
        .put("gpus", spec.taskResources().gpus())
        .put("memory", spec.taskResources().memoryGb());
  }

  private static Resources parseTaskResources(JsonNode claimRow) {
    return new Resources(
        claimRow.path("cpus").asDouble(),
        claimRow.path("gpus").asDouble(),
        claimRow.path("memory").asDouble());
  }
}
