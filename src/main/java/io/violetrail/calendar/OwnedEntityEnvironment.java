package io.violetrail.calendar;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.api.CoWrittenRow;
import io.violetrail.api.JobLifecycle;
import io.violetrail.calendar.CompletionForecast.RunProgress;
import io.violetrail.calendar.ScheduleTrigger.WriteOutcome;
import io.violetrail.calendar.ScheduleTrigger.WriteResult;
import io.violetrail.fleet.BootTimes;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.MachineType;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.RuntimeEstimates;
import io.violetrail.scheduling.TaskPlacement;
import io.violetrail.state.StateStore;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.StateStoreMessages.TransactionOutcome;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Gives the trigger of one owned entity access to the clocks, the entity's jobs and the state
 * service. Writes are fenced by the entity's row, so that writes of a former owner change nothing.
 */
final class OwnedEntityEnvironment implements ScheduleTrigger.Environment {
  /**
   * The maximum number of runs waiting to be stored; none is added while a user's submission is
   * waiting. Four waiting runs delayed a submission by two seconds under a low write limit.
   */
  private static final int MAX_PENDING_RUNS = 1;

  private final EventLoop loop;
  private final StateStore store;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final JobLifecycle jobLifecycle;
  private final RuntimeEstimates runtimeEstimates;
  private final OwnedEntity entity;
  private final Set<JobId> lookupsInFlight = new HashSet<>();

  OwnedEntityEnvironment(
      EventLoop loop,
      StateStore store,
      Membership membership,
      MachineTypes machineTypes,
      JobLifecycle jobLifecycle,
      RuntimeEstimates runtimeEstimates,
      OwnedEntity entity) {
    this.loop = loop;
    this.store = store;
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.jobLifecycle = jobLifecycle;
    this.runtimeEstimates = runtimeEstimates;
    this.entity = entity;
  }

  @Override
  public long wallClockMillis() {
    return loop.wallMillis();
  }

  @Override
  public long monotonicMillis() {
    return loop.monotonicNanos() / 1_000_000;
  }

  @Override
  public int availableRunSlots() {
    return entity.isActive() && membership.isLeaseValid()
        ? MAX_PENDING_RUNS - jobLifecycle.pendingSubmissionCount(entity)
        : 0;
  }

  @Override
  public CompletableFuture<WriteOutcome> storeRun(
      ScheduleRow before, ScheduleRow next, JobSpec spec) {
    int sizeBytes = Cbor.encode(next.value()).length;
    CoWrittenRow coWrittenRow =
        new CoWrittenRow(before.key(), before.modRevision(), next.value(), sizeBytes);
    return jobLifecycle
        .store(entity, spec, coWrittenRow)
        .thenCompose(
            stored -> {
              if (stored.newlyStored() && stored.revision() > 0) {
                return completedWith(WriteResult.APPLIED, stored.revision());
              }
              if (stored.newlyStored() || stored.coWrittenRowConflict()) {
                return completedWith(WriteResult.CONFLICT, 0);
              }
              // The run's job was stored before, but the row does not record it yet.
              return storeRow(before, next, null, true);
            });
  }

  private static CompletableFuture<WriteOutcome> completedWith(
      WriteResult result, long modRevision) {
    return CompletableFuture.completedFuture(new WriteOutcome(result, modRevision));
  }

  @Override
  public CompletableFuture<WriteOutcome> storeRow(
      ScheduleRow before, ScheduleRow next, ObjectNode block, boolean urgent) {
    Transaction transaction =
        entity
            .fencedTransaction()
            .ifRevision(before.key(), before.modRevision())
            .put(before.key(), next.value());
    if (block != null) {
      int number = next.value().path("blocks").asInt() - 1;
      transaction.put(next.blockKey(number), block);
      if (number >= ScheduleTrigger.MAX_HISTORY_BLOCKS) {
        transaction.delete(next.blockKey(number - ScheduleTrigger.MAX_HISTORY_BLOCKS));
      }
    }
    CompletableFuture<TransactionOutcome> outcome =
        urgent ? store.commit(transaction) : store.commitInBackground(transaction);
    return outcome.thenApply(
        result ->
            new WriteOutcome(
                result.applied() ? WriteResult.APPLIED : WriteResult.CONFLICT, result.revision()));
  }

  @Override
  public JobView findJobView(JobId id) {
    Job job = entity.jobs().get(id);
    if (job != null && job.phase() != Job.Phase.FINISHED) {
      return job.toView();
    }
    JobView terminalView = jobLifecycle.findTerminalView(id);
    if (terminalView == null && lookupsInFlight.add(id)) {
      Futures.logFailure(
          jobLifecycle.lookUp(id).whenComplete((result, failure) -> lookupsInFlight.remove(id)),
          "look up the job of a run");
    }
    return terminalView;
  }

  @Override
  public RunProgress findRunProgress(JobId id) {
    Job job = entity.jobs().get(id);
    if (job == null) {
      return null;
    }
    double nowSeconds = loop.monotonicSeconds();
    double totalAgeSeconds = 0;
    int running = 0;
    for (TaskPlacement placement : job.placements()) {
      if (placement.runningSinceSeconds() > 0) {
        running++;
        totalAgeSeconds += nowSeconds - placement.runningSinceSeconds();
      }
    }
    return new RunProgress(
        job.spec().taskCount(),
        job.doneCount(),
        running,
        running == 0 ? 0 : totalAgeSeconds / running,
        runtimeEstimates.expectedRuntimeSeconds(job.spec()),
        startDelaySeconds(job.spec()));
  }

  private double startDelaySeconds(JobSpec spec) {
    double bootSeconds = 0;
    for (MachineType machineType : machineTypes.all()) {
      if (machineType.capacity().countFitting(spec.taskResources()) > 0) {
        bootSeconds =
            Math.max(
                bootSeconds,
                machineType.bootSeconds() + spec.imageGb() / machineType.fetchGbPerSecond());
      }
    }
    return bootSeconds + BootTimes.OVERHEAD_SECONDS;
  }
}
