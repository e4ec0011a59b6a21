package io.violetrail.api;

import io.violetrail.config.Settings.Team;
import io.violetrail.configuration.Configuration;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.model.JobShape;
import io.violetrail.model.JobSpec;
import io.violetrail.model.MachineType;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.TaskCountLimit;
import io.violetrail.state.StateStore;
import io.violetrail.tracing.JobTracer;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Admits new jobs to this controller's home entity, the entity with the controller's own id. Every
 * interface that accepts jobs uses this class, so a job is checked the same way however it was
 * described.
 */
public final class JobAdmission {
  private static final int MAX_OPEN_JOBS = 5_000;

  private final StateStore store;
  private final Membership membership;
  private final Configuration configuration;
  private final MachineTypes machineTypes;
  private final JobLookup jobLookup;
  private final JobLifecycle jobLifecycle;
  private final JobTracer jobTracer;

  /** Creates an admission that stores accepted jobs in this controller's home entity. */
  public JobAdmission(
      StateStore store,
      Membership membership,
      Configuration configuration,
      MachineTypes machineTypes,
      JobLookup jobLookup,
      JobLifecycle jobLifecycle,
      JobTracer jobTracer) {
    this.store = store;
    this.membership = membership;
    this.configuration = configuration;
    this.machineTypes = machineTypes;
    this.jobLookup = jobLookup;
    this.jobLifecycle = jobLifecycle;
    this.jobTracer = jobTracer;
  }

  /** The outcome of a job's admission. */
  public enum Verdict {
    /** The job is stored, and its tasks may be placed. */
    ACCEPTED,
    /** The job's id is already taken. */
    KNOWN,
    /** The job can never run, and was not accepted earlier. */
    IMPOSSIBLE,
    /** The job cannot be admitted now; the client is to retry. */
    LATER,
    /** The job's co-written row is not at its expected revision. */
    CONFLICT
  }

  /**
   * The result of an admission.
   *
   * @param reason a human-readable reason; empty for an accepted job
   * @param revision the revision of the accepted job's rows; 0 if that is unknown or the job is not
   *     accepted
   */
  public record Decision(Verdict verdict, String reason, long revision) {
    static Decision of(Verdict verdict, String reason) {
      return new Decision(verdict, reason, 0);
    }
  }

  /**
   * Admits the job if it can run and this controller can accept it now.
   *
   * @param coWrittenRow a row that is stored in the same transaction; null if there is none
   */
  public CompletableFuture<Decision> admit(JobSpec spec, CoWrittenRow coWrittenRow) {
    jobTracer.submissionStarted(spec.id());
    return decideAdmission(spec, coWrittenRow)
        .whenComplete(
            (decision, failure) ->
                jobTracer.submissionDecided(spec.id(), decision.verdict().name()));
  }

  private CompletableFuture<Decision> decideAdmission(JobSpec spec, CoWrittenRow coWrittenRow) {
    String closedReason = findClosedReason();
    if (closedReason != null) {
      return retryLater(closedReason);
    }
    OwnedEntity ownedEntity = membership.findHomeEntity();
    String impossibleReason = findImpossibleReason(spec);
    if (impossibleReason != null) {
      return rejectUnlessStored(spec, impossibleReason);
    }
    if (ownedEntity.jobs().size() >= MAX_OPEN_JOBS
        || store.isOverloaded(jobLifecycle.pendingSubmissionCount(ownedEntity))) {
      // Refused immediately: a client whose queued request times out retries later than a client
      // that is refused at once.
      return retryLater(
          "entity "
              + ownedEntity.id()
              + " has too many open jobs ("
              + ownedEntity.jobs().size()
              + " of at most "
              + MAX_OPEN_JOBS
              + ") or too many submissions waiting to be stored; retry later");
    }
    return jobLifecycle
        .store(ownedEntity, spec, coWrittenRow)
        .handle(
            (stored, failure) -> {
              if (failure != null) {
                return Decision.of(
                    Verdict.LATER,
                    "the job is not known to be stored; submit it again with the same id");
              }
              if (stored.newlyStored()) {
                return new Decision(Verdict.ACCEPTED, "", stored.revision());
              }
              return stored.coWrittenRowConflict()
                  ? Decision.of(
                      Verdict.CONFLICT,
                      "row " + coWrittenRow.key() + " exists already or has changed")
                  : Decision.of(Verdict.KNOWN, "job id " + spec.id() + " is already taken");
            });
  }

  /**
   * Returns why no job can be admitted now, or null if jobs can be. Call this before {@link
   * #findImpossibleReason}: until the machine types are known, that method finds every job
   * impossible, which must not be answered.
   */
  public String findClosedReason() {
    OwnedEntity ownedEntity = membership.findHomeEntity();
    if (ownedEntity == null || !ownedEntity.isActive() || !membership.isLeaseValid()) {
      return "this controller is not the active leader of its home entity with a valid lease; retry"
          + " later or use another controller";
    }
    return machineTypes.isEmpty() ? "the machine types are not known yet; retry later" : null;
  }

  private static CompletableFuture<Decision> retryLater(String reason) {
    return CompletableFuture.completedFuture(Decision.of(Verdict.LATER, reason));
  }

  /**
   * Rejects the job unless it was accepted earlier: an accepted job is never rejected, even if a
   * check would fail now.
   */
  private CompletableFuture<Decision> rejectUnlessStored(JobSpec spec, String reason) {
    return jobLookup
        .lookUp(spec.id())
        .handle(
            (lookupResult, failure) -> {
              if (failure != null) {
                return Decision.of(Verdict.LATER, "the state service did not answer; retry later");
              }
              return lookupResult.isAbsent()
                  ? Decision.of(Verdict.IMPOSSIBLE, reason)
                  : Decision.of(Verdict.KNOWN, "job id " + spec.id() + " is already taken");
            });
  }

  /** Returns why a job can never run, or null if it can. */
  public String findImpossibleReason(JobSpec spec) {
    Team team = configuration.findTeam(spec.team());
    if (team == null) {
      return "unknown team " + spec.team();
    }
    if (!configuration.acceptsJobs(spec.team())) {
      return "team " + spec.team() + " is closed to new jobs";
    }
    Set<String> zones = new HashSet<>();
    for (MachineType machineType : machineTypes.all()) {
      if ((spec.machineTypes() == null || spec.machineTypes().contains(machineType.name()))
          && spec.taskResources().fitsIn(machineType.capacity())) {
        zones.addAll(machineType.zones());
      }
    }
    if (spec.zone() != null) {
      zones.retainAll(Set.of(spec.zone()));
    }
    if (zones.isEmpty()) {
      return "no allowed machine type in an allowed zone has room for a task of "
          + spec.taskResources().cpus()
          + " CPUs, "
          + spec.taskResources().gpus()
          + " GPUs and "
          + spec.taskResources().memoryGb()
          + " GB of memory";
    }
    if (spec.shape() == JobShape.GANG && spec.taskCount() > TaskCountLimit.MAX_PLACED_TASKS) {
      return "the job's "
          + spec.taskCount()
          + " tasks must run at the same time; a gang may have at most "
          + TaskCountLimit.MAX_PLACED_TASKS;
    }
    int maxTaskCount = (spec.singleZone() ? 1 : zones.size()) * ((spec.taskCount() + 1) / 2);
    if (spec.spreadAcrossZones()
        && spec.shape() != JobShape.ARRAY
        && maxTaskCount < spec.taskCount()) {
      return "the job's "
          + spec.taskCount()
          + " tasks must run at the same time and spread across zones, but its allowed zones can"
          + " take at most "
          + maxTaskCount
          + " of them";
    }
    double concurrentTaskCount = spec.shape() == JobShape.ARRAY ? 1 : spec.taskCount();
    if (spec.taskResources().cpus() * concurrentTaskCount > team.maxCpus() + 1e-6
        || spec.taskResources().gpus() * concurrentTaskCount > team.maxGpus() + 1e-6) {
      return "the job needs "
          + spec.taskResources().cpus() * concurrentTaskCount
          + " CPUs and "
          + spec.taskResources().gpus() * concurrentTaskCount
          + " GPUs at the same time; the limits of team "
          + spec.team()
          + " are "
          + team.maxCpus()
          + " CPUs and "
          + team.maxGpus()
          + " GPUs";
    }
    return null;
  }
}
