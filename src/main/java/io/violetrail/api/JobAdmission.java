package io.violetrail.api;

import io.violetrail.config.Settings.Team;
import io.violetrail.configuration.Configuration;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.model.JobShape;
import io.violetrail.model.JobSpec;
import io.violetrail.model.MachineType;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.state.StateStore;
import io.violetrail.tracing.JobTracer;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Takes new jobs into this controller's entity, however they were described. Every interface that
 * accepts work goes through here, so equal jobs meet equal checks.
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

  /** Stores what it accepts as jobs of this controller's own entity. */
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

  /** What became of a job. */
  public enum Verdict {
    /** Stored; it runs from now on. */
    ACCEPTED,
    /** Its id was taken before. */
    KNOWN,
    /** It can never run, and was never accepted. */
    IMPOSSIBLE,
    /** Not now. */
    LATER,
    /** The row that was to be stored with it exists already. */
    CONFLICT
  }

  /** The verdict with its reason; {@code revision}: of the accepted job, 0 if it is not known. */
  public record Decision(Verdict verdict, String reason, long revision) {
    static Decision of(Verdict verdict, String why) {
      return new Decision(verdict, why, 0);
    }
  }

  /** Takes the job in, with a row of its own if one is given. */
  public CompletableFuture<Decision> admit(JobSpec spec, CoWrittenRow coWrittenRow) {
    jobTracer.submissionStarted(spec.id());
    return decideAdmission(spec, coWrittenRow)
        .whenComplete((d, failure) -> jobTracer.submissionDecided(spec.id(), d.verdict().name()));
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
      // Said at once: who waits in vain for a place in the queue comes back later than who is told.
      return retryLater("too many jobs at once");
    }
    return jobLifecycle
        .store(ownedEntity, spec, coWrittenRow)
        .handle(
            (stored, failure) -> {
              if (failure != null) {
                return Decision.of(Verdict.LATER, "the job could not be stored");
              }
              if (stored.newlyStored()) {
                return new Decision(Verdict.ACCEPTED, "", stored.revision());
              }
              return stored.coWrittenRowConflict()
                  ? Decision.of(Verdict.CONFLICT, "it exists already")
                  : Decision.of(Verdict.KNOWN, "its id is taken");
            });
  }

  /**
   * Why nothing can be taken in now; null if it can. Whoever asks {@link #findImpossibleReason}
   * asks this first: while the machine types are not known nothing seems ever to run, which is not
   * an answer.
   */
  public String findClosedReason() {
    OwnedEntity ownedEntity = membership.findHomeEntity();
    if (ownedEntity == null || !ownedEntity.isActive() || !membership.isLeaseValid()) {
      return "this controller cannot take jobs now";
    }
    return machineTypes.isEmpty() ? "the machine types are not known yet" : null;
  }

  private static CompletableFuture<Decision> retryLater(String reason) {
    return CompletableFuture.completedFuture(Decision.of(Verdict.LATER, reason));
  }

  /** A job that was accepted once is never refused, even if a check would now fail. */
  private CompletableFuture<Decision> rejectUnlessStored(JobSpec spec, String reason) {
    return jobLookup
        .lookUp(spec.id())
        .handle(
            (found, failure) -> {
              if (failure != null) {
                return Decision.of(Verdict.LATER, "the state service does not answer");
              }
              return found.isAbsent()
                  ? Decision.of(Verdict.IMPOSSIBLE, reason)
                  : Decision.of(Verdict.KNOWN, "its id is taken");
            });
  }

  /** Why a job can never run; null if it can. */
  public String findImpossibleReason(JobSpec spec) {
    Team team = configuration.findTeam(spec.team());
    if (team == null) {
      return "unknown team";
    }
    if (!configuration.acceptsJobs(spec.team())) {
      return "the team is closed";
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
      return "a task fits no allowed machine type";
    }
    int maxTaskCount = (spec.singleZone() ? 1 : zones.size()) * ((spec.taskCount() + 1) / 2);
    if (spec.spreadAcrossZones()
        && spec.shape() != JobShape.ARRAY
        && maxTaskCount < spec.taskCount()) {
      return "its tasks run together and may not be apart";
    }
    double concurrentTaskCount = spec.shape() == JobShape.ARRAY ? 1 : spec.taskCount();
    if (spec.taskResources().cpus() * concurrentTaskCount > team.maxCpus() + 1e-6
        || spec.taskResources().gpus() * concurrentTaskCount > team.maxGpus() + 1e-6) {
      return "the job needs more than the team's limit";
    }
    return null;
  }
}
