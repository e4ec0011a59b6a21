package io.violetrail.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.violetrail.config.Settings.StateLimits;
import io.violetrail.evidence.GoneProof;
import io.violetrail.fleet.Spares;
import io.violetrail.model.Amounts;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.JobView.Status;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.net.Rounds;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.Rows;
import io.violetrail.scheduling.Aims;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.PendingJobs;
import io.violetrail.scheduling.Placement;
import io.violetrail.state.StateStore;
import io.violetrail.state.StateStore.Unavailable;
import io.violetrail.tracing.Traces;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateWire.Entry;
import io.violetrail.worker.TaskStopper;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Jobs' rows in the state service: intake, progress, ends, and what is remembered of them here. */
public final class Jobs {
  static final Logger LOG = LoggerFactory.getLogger(Jobs.class);
  private static final int REMEMBERED = 20_000;
  private static final double ASK_AGAIN_S = 3;
  private static final double END_AGAIN_S = 2;

  private final Loop loop;
  private final StateStore store;
  private final StateLimits limits;
  private final Membership membership;
  private final PendingJobs pendingJobs;
  private final Aims aims;
  private final Spares spares;
  private final TaskStopper taskStopper;
  private final Traces traces;
  private final Map<OwnedEntity, Progress> progress = new HashMap<>();
  private final Map<OwnedEntity, Ledger> ledgers = new HashMap<>();
  private final Cache<JobId, Known> terminal =
      CacheBuilder.newBuilder().maximumSize(REMEMBERED).build();

  /** Ends known from peers, without what the jobs' tasks take. */
  private final Cache<JobId, JobView> told =
      CacheBuilder.newBuilder().maximumSize(REMEMBERED).build();

  private final Cache<JobId, ControllerId> bound =
      CacheBuilder.newBuilder().maximumSize(REMEMBERED).build();
  private final Set<JobId> lookingUp = new HashSet<>();
  private final Rounds<JobId, Found> lookUps;

  /** Jobs of other entities' ended tasks are asked about now and then, not with every report. */
  private final Cache<JobId, Double> askedS = CacheBuilder.newBuilder().maximumSize(1_000).build();

  /** Tells the pending jobs and the task stopper what begins and ends. */
  public Jobs(
      Loop loop,
      StateStore store,
      StateLimits limits,
      Membership membership,
      PendingJobs pendingJobs,
      Aims aims,
      Spares spares,
      TaskStopper taskStopper,
      Traces traces) {
    this.loop = loop;
    this.store = store;
    this.limits = limits;
    this.membership = membership;
    this.pendingJobs = pendingJobs;
    this.aims = aims;
    this.spares = spares;
    this.taskStopper = taskStopper;
    this.traces = traces;
    this.lookUps = new Rounds<>(id -> read(id, key -> store.getForUser(key, 2)));
  }

  /** A job that is over, or bound to another entity ({@code view} is null then). */
  public record Known(JobView view, ControllerId entity, Amounts amounts) {}

  /**
   * What a look-up came to: a job's view, proven absence (null view), or its binding to an open
   * entity.
   */
  public record Found(JobView view, ControllerId openAt, JobView asStored) {
    public boolean absent() {
      return view == null && openAt == null;
    }
  }

  public JobView terminalView(JobId id) {
    Known known = terminal.getIfPresent(id);
    return known == null ? told.getIfPresent(id) : known.view();
  }

  /** A peer has told what it knows of a job: where it is bound, and its end, never change. */
  public void learn(JobId id, ControllerId entity, JobView view) {
    bound.put(id, entity);
    if (view.status().terminal()) {
      told.put(id, view);
    }
  }

  public ControllerId boundTo(JobId id) {
    return bound.getIfPresent(id);
  }

  /**
   * Whether no task of the job may run on a machine of an active holding: its end is stored, or
   * asked for by its user, or it is none of the entity's open jobs, of which the owner knows all.
   */
  public boolean over(OwnedEntity h, JobId id) {
    Job job = h.jobs().get(id);
    return job == null
        ? ledger(h).stored(id) == null
        : job.phase() == Job.Phase.CANCELLING || job.phase() == Job.Phase.OVER;
  }

  /**
   * For a worker's task whose job is not open here: what is known; null while it is being looked
   * up.
   */
  public Known known(OwnedEntity holding, JobId id) {
    Known known = terminal.getIfPresent(id);
    if (known != null) {
      return known;
    }
    double now = loop.seconds();
    Double asked = askedS.getIfPresent(id);
    boolean due = asked == null || now - asked > ASK_AGAIN_S;
    if (due && lookingUp.size() < 100 && lookingUp.add(id)) {
      askedS.put(id, (Double) now);
      Futures.logFailure(
          read(id, store::get)
              .whenComplete(
                  (found, failure) -> {
                    lookingUp.remove(id);
                    if (failure != null) {
                      return;
                    }
                    if (found.absent()
                        || (found.openAt() != null && !found.openAt().equals(holding.entity()))) {
                      LOG.info(
                          "a worker of entity {} has a task of {}, which is not of this entity",
                          holding.entity(),
                          id);
                      if (found.absent()) {
                        terminal.put(id, new Known(null, holding.entity(), Amounts.NONE));
                      }
                    } else if (found.openAt() != null) {
                      reload(holding, id);
                    }
                  }),
          "read a job's stored state");
    }
    return null;
  }

  /** Reads a job's rows, which are never stale, on behalf of whoever asks. */
  public CompletableFuture<Found> lookUp(JobId id) {
    return lookUps.ask(id);
  }

  private CompletableFuture<Found> read(
      JobId id, Function<String, CompletableFuture<Entry>> reader) {
    return reader
        .apply(Rows.job(id))
        .thenCompose(
            claim -> {
              if (claim.value() == null) {
                return CompletableFuture.completedFuture(new Found(null, null, null));
              }
              ControllerId entity = new ControllerId(claim.value().path("entity").asText());
              return store
                  .getNow(Rows.page(entity, claim.value().path("page").asText()))
                  .thenApply(page -> found(id, entity, amounts(claim.value()), page));
            });
  }

  private Found found(JobId id, ControllerId entity, Amounts amounts, Entry page) {
    JobView over = Ledger.end(id, page.value());
    if (over != null) {
      remember(over, entity, amounts);
      return new Found(over, null, null);
    }
    bound.put(id, entity);
    return new Found(null, entity, new JobView(id.value(), Status.QUEUED, 0, 0));
  }

  private void remember(JobView view, ControllerId entity, Amounts amounts) {
    terminal.put(new JobId(view.id()), new Known(view, entity, amounts));
    bound.put(new JobId(view.id()), entity);
  }

  private static Amounts amounts(JsonNode v) {
    return new Amounts(
        v.path("cpus").asDouble(), v.path("gpus").asDouble(), v.path("memory").asDouble());
  }

  /** What a job's own row says of it. */
  static ObjectNode row(ControllerId entity, JobSpec s) {
    ObjectNode m = Cbor.map().put("entity", entity.value());
    return m.put("cpus", s.task().cpus())
        .put("gpus", s.task().gpus())
        .put("memory", s.task().memoryGb());
  }

  private Job job(JobSpec spec, long arrivedMs, double arrivedS, boolean recovered) {
    return new Job(spec, arrivedMs, arrivedS, recovered, aims.spareWork(spec));
  }

  /**
   * What storing a job came to. Fresh: it is this entity's now. Otherwise its id is taken, or the
   * row that was to be stored with it.
   */
  public record Stored(boolean fresh, boolean companionTaken, long revision) {}

  /** Stores a new job, with a row of its own if one is given. */
  public CompletableFuture<Stored> store(OwnedEntity h, JobSpec spec, Companion with) {
    long nowMs = loop.wallMillis();
    double nowS = loop.seconds();
    CompletableFuture<Stored> result = new CompletableFuture<>();
    // An answer that never came leaves the outcome open; it is repeated until certain, so that no
    // job is stored without its owner knowing of it.
    Futures.logFailure(
        ledger(h)
            .enter(spec, nowMs, with)
            .whenComplete(
                (stored, failure) -> {
                  if (failure != null) {
                    result.completeExceptionally(Unavailable.of(failure));
                  } else if (stored.fresh()) {
                    bound.put(spec.id(), h.entity());
                    // Also while the entity is being handed over: if that comes to nothing it stays
                    // here,
                    // and a job that was not taken up would never run.
                    if (h.phase() != OwnedEntity.Phase.LOST) {
                      h.addJobIfAbsent(job(spec, nowMs, nowS, false));
                      spares.arrived(spec, nowS);
                      pendingJobs.jobsChanged(h);
                    }
                    LOG.info(
                        "job {} accepted by entity {} version {}: {} tasks",
                        spec.id(),
                        h.entity(),
                        h.row().version(),
                        spec.tasks());
                    result.complete(stored);
                  } else {
                    result.complete(stored);
                  }
                }),
        "store a submitted job");
    return result;
  }

  /** Submissions that wait to be stored. */
  public int waiting(OwnedEntity h) {
    return ledger(h).waiting();
  }

  /** A job of the entity that was stored without being taken up here. */
  private void reload(OwnedEntity h, JobId id) {
    Ledger.Stored stored = h.active() && !h.jobs().containsKey(id) ? ledger(h).stored(id) : null;
    if (stored != null) {
      take(h, stored);
      pendingJobs.jobsChanged(h);
    }
  }

  /** Reads which of the jobs on an entity's sheets are open. */
  public CompletableFuture<List<Ledger.Stored>> open(OwnedEntity h, List<Entry> sheets) {
    Ledger ledger = newLedger(h);
    ledgers.put(h, ledger);
    return ledger.load(sheets);
  }

  /** Takes up the open jobs of an entity, and what is done of them. */
  public void load(OwnedEntity h, List<Ledger.Stored> open, List<Entry> progress) {
    open.forEach(stored -> take(h, stored));
    progress(h).load(progress);
    List.copyOf(h.jobs().values()).forEach(job -> progressed(h, job));
  }

  private void take(OwnedEntity h, Ledger.Stored stored) {
    double age = Math.max(0, loop.wallMillis() - stored.arrivedMs()) / 1000.0;
    JobSpec spec = stored.spec();
    h.addJob(job(spec, stored.arrivedMs(), loop.seconds() - age, true));
    bound.put(spec.id(), h.entity());
  }

  private Ledger newLedger(OwnedEntity entity) {
    return new Ledger(loop, store, limits, membership, entity);
  }

  private Ledger ledger(OwnedEntity h) {
    ledgers.keySet().removeIf(other -> other.phase() == OwnedEntity.Phase.LOST && other != h);
    return ledgers.computeIfAbsent(h, this::newLedger);
  }

  /** Tasks of the job may be done: store that, in time, and close the job after the last one. */
  public void progressed(OwnedEntity h, Job job) {
    if (job.phase() != Job.Phase.OPEN) {
      return;
    }
    if (job.complete()) {
      job.startClosing();
      job.write(() -> end(h, job, Status.DONE));
    } else if (!job.allStored()) {
      progress(h).changed(job);
    }
  }

  private Progress progress(OwnedEntity h) {
    progress.keySet().retainAll(membership.holdings());
    return progress.computeIfAbsent(
        h, owned -> new Progress(loop, store, limits, membership, owned));
  }

  /** Stores the progress that is due. */
  public void flush(OwnedEntity h) {
    progress(h).flush(loop.seconds());
  }

  /** Stores the end of a job. Only afterwards is anybody told of it. */
  private CompletableFuture<Boolean> end(OwnedEntity h, Job job, Status status) {
    if (job.phase() == Job.Phase.OVER) {
      return CompletableFuture.completedFuture(true);
    }
    return ledger(h)
        .end(job.spec().id(), status, job.doneCount())
        .handle(
            (stored, failure) -> {
              if (failure != null) {
                membership.suspect();
                if (h.phase() != OwnedEntity.Phase.LOST) {
                  // Refused for a reason that may pass: nobody else would ever store this end.
                  loop.after(END_AGAIN_S, () -> job.write(() -> end(h, job, status)));
                }
                return false;
              }
              ended(h, job, status);
              return true;
            });
  }

  private void ended(OwnedEntity h, Job job, Status status) {
    job.ended(status);
    remember(
        new JobView(job.spec().id().value(), status, job.doneCount(), 0),
        h.entity(),
        job.spec().task());
    LOG.info("job {} of entity {} is {}", job.spec().id(), h.entity(), status);
    traces.ended(job.spec().id(), status);
    stop(h, job);
    if (job.nothingPlaced()) {
      h.removeJob(job);
    }
  }

  private void stop(OwnedEntity h, Job job) {
    for (Placement p : job.placements()) {
      if (p.revocable()) {
        h.unplace(p, loop.seconds(), GoneProof.NEVER_SENT);
      } else {
        p.halt(0);
        taskStopper.cancelled(p);
      }
    }
  }

  /**
   * Cancels an open job of a held entity; completes with what the user is to be told, once stored.
   */
  public CompletableFuture<JobView> cancel(OwnedEntity h, Job job) {
    CompletableFuture<JobView> told = new CompletableFuture<>();
    if (job.phase() == Job.Phase.OPEN) {
      // Its user does not want it any more: nothing of it is started or kept running from now on.
      job.startCancelling();
      stop(h, job);
    }
    Status status = job.phase() == Job.Phase.CLOSING ? Status.DONE : Status.CANCELLED;
    job.write(
        () ->
            end(h, job, status)
                .whenComplete(
                    (stored, failure) -> {
                      JobView view = terminalView(job.spec().id());
                      if (failure == null && view != null) {
                        told.complete(view);
                      } else {
                        told.completeExceptionally(new Unavailable("not stored", 0));
                      }
                    }));
    return told;
  }
}
