package io.violetrail.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.JobView.JobStatus;
import io.violetrail.model.ReportSize;
import io.violetrail.model.Resources;
import io.violetrail.net.RequestCoalescer;
import io.violetrail.ownership.StateSchema;
import io.violetrail.state.StateStore;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.Entry;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Reads the stored rows of any job, and records in {@link KnownJobs} the facts that never change:
 * the job's entity and its end. Called on the event loop's thread.
 */
public final class JobLookup {
  /**
   * A lookup reads the claim row and the finished-job segment; the first read is charged for both.
   */
  private static final int READS_PER_LOOKUP = 2;

  private final StateStore store;
  private final KnownJobs knownJobs;
  private final RequestCoalescer<JobId, LookupResult> coalescer;

  /** Creates a lookup that reads from the state store. */
  public JobLookup(StateStore store, KnownJobs knownJobs) {
    this.store = store;
    this.knownJobs = knownJobs;
    this.coalescer =
        new RequestCoalescer<>(
            id -> readJobRows(id, key -> store.getForUser(key, READS_PER_LOOKUP)));
  }

  /**
   * The state of a job according to its rows.
   *
   * @param finalView the job's final state; null if it has not ended or does not exist
   * @param openAtEntity the entity at which the job is open; null if it is not open
   * @param storedView the state of an open job as far as its rows show it: queued, with no task
   *     running or done; null if the job is not open
   */
  public record LookupResult(JobView finalView, ControllerId openAtEntity, JobView storedView) {
    private static final LookupResult ABSENT = new LookupResult(null, null, null);

    /** Returns whether it is proven that the job does not exist. */
    public boolean isAbsent() {
      return finalView == null && openAtEntity == null;
    }
  }

  /**
   * Reads a job's rows for a waiting user. The rows are never stale. Concurrent lookups of the same
   * job share the reads. The future fails if the rows cannot be read.
   */
  public CompletableFuture<LookupResult> lookUp(JobId id) {
    return coalescer.request(id);
  }

  /** Reads a job's rows while no user is waiting. The future fails if the rows cannot be read. */
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
                              parseTaskResources(id, claimRow.value()),
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

  /** Returns the row that claims a job's id, without the name of its finished-job segment. */
  static ObjectNode toClaimRow(ControllerId entity, JobSpec spec) {
    ObjectNode row = Cbor.newMap().put("entity", entity.value());
    return row.put("cpus", spec.taskResources().cpus())
        .put("gpus", spec.taskResources().gpus())
        .put("memory", spec.taskResources().memoryGb());
  }

  private static Resources parseTaskResources(JobId id, JsonNode claimRow) {
    return new Resources(
        claimRow.path("cpus").asDouble(),
        claimRow.path("gpus").asDouble(),
        claimRow.path("memory").asDouble(),
        ReportSize.bytesOfTask(id));
  }
}
