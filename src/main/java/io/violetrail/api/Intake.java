package io.violetrail.api;

import io.violetrail.config.Settings.Team;
import io.violetrail.configuration.Configuration;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.model.JobSpec;
import io.violetrail.model.MachineType;
import io.violetrail.model.Shape;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.state.StateStore;
import io.violetrail.tracing.Traces;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Takes new jobs into this controller's entity, however they were described. Every interface that
 * accepts work goes through here, so equal jobs meet equal checks.
 */
public final class Intake {
  private static final int MAX_OPEN_JOBS = 5_000;

  private final StateStore store;
  private final Membership membership;
  private final Configuration configuration;
  private final MachineTypes machineTypes;
  private final Jobs jobs;
  private final Traces traces;

  /** Stores what it accepts as jobs of this controller's own entity. */
  public Intake(
      StateStore store,
      Membership membership,
      Configuration configuration,
      MachineTypes machineTypes,
      Jobs jobs,
      Traces traces) {
    this.store = store;
    this.membership = membership;
    this.configuration = configuration;
    this.machineTypes = machineTypes;
    this.jobs = jobs;
    this.traces = traces;
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
  public record Decision(Verdict verdict, String why, long revision) {
    static Decision of(Verdict verdict, String why) {
      return new Decision(verdict, why, 0);
    }
  }

  /** Takes the job in, with a row of its own if one is given. */
  public CompletableFuture<Decision> admit(JobSpec spec, Companion with) {
    traces.asked(spec.id());
    return decide(spec, with)
        .whenComplete((d, failure) -> traces.answered(spec.id(), d.verdict().name()));
  }

  private CompletableFuture<Decision> decide(JobSpec spec, Companion with) {
    String closed = closed();
    if (closed != null) {
      return later(closed);
    }
    OwnedEntity own = membership.own();
    String never = neverRuns(spec);
    if (never != null) {
      return refuse(spec, never);
    }
    if (own.jobs().size() >= MAX_OPEN_JOBS || store.overloaded(jobs.waiting(own))) {
      // Said at once: who waits in vain for a place in the queue comes back later than who is told.
      return later("too many jobs at once");
    }
    return jobs.store(own, spec, with)
        .handle(
            (stored, failure) -> {
              if (failure != null) {
                return Decision.of(Verdict.LATER, "the job could not be stored");
              }
              if (stored.fresh()) {
                return new Decision(Verdict.ACCEPTED, "", stored.revision());
              }
              return stored.companionTaken()
                  ? Decision.of(Verdict.CONFLICT, "it exists already")
                  : Decision.of(Verdict.KNOWN, "its id is taken");
            });
  }

  /**
   * Why nothing can be taken in now; null if it can. Whoever asks {@link #neverRuns} asks this
   * first: while the machine types are not known nothing seems ever to run, which is not an answer.
   */
  public String closed() {
    OwnedEntity own = membership.own();
    if (own == null || !own.active() || !membership.valid()) {
      return "this controller cannot take jobs now";
    }
    return machineTypes.isEmpty() ? "the machine types are not known yet" : null;
  }

  private static CompletableFuture<Decision> later(String why) {
    return CompletableFuture.completedFuture(Decision.of(Verdict.LATER, why));
  }

  /** A job that was accepted once is never refused, even if a check would now fail. */
  private CompletableFuture<Decision> refuse(JobSpec spec, String why) {
    return jobs.lookUp(spec.id())
        .handle(
            (found, failure) -> {
              if (failure != null) {
                return Decision.of(Verdict.LATER, "the state service does not answer");
              }
              return found.absent()
                  ? Decision.of(Verdict.IMPOSSIBLE, why)
                  : Decision.of(Verdict.KNOWN, "its id is taken");
            });
  }

  /** Why a job can never run; null if it can. */
  public String neverRuns(JobSpec s) {
    Team team = configuration.team(s.team());
    if (team == null) {
      return "unknown team";
    }
    if (!configuration.accepts(s.team())) {
      return "the team is closed";
    }
    Set<String> zones = new HashSet<>();
    for (MachineType t : machineTypes.all()) {
      if ((s.types() == null || s.types().contains(t.name())) && s.task().fitsIn(t.size())) {
        zones.addAll(t.zones());
      }
    }
    if (s.zone() != null) {
      zones.retainAll(Set.of(s.zone()));
    }
    if (zones.isEmpty()) {
      return "a task fits no allowed machine type";
    }
    int most = (s.oneZone() ? 1 : zones.size()) * ((s.tasks() + 1) / 2);
    if (s.spread() && s.shape() != Shape.ARRAY && most < s.tasks()) {
      return "its tasks run together and may not be apart";
    }
    double tasks = s.shape() == Shape.ARRAY ? 1 : s.tasks();
    if (s.task().cpus() * tasks > team.cpusMax() + 1e-6
        || s.task().gpus() * tasks > team.gpusMax() + 1e-6) {
      return "the job needs more than the team's limit";
    }
    return null;
  }
}
