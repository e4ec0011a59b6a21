package io.violetrail.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.violetrail.model.Amounts;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.JobView.Status;
import io.violetrail.node.Node;
import io.violetrail.ownership.Holding;
import io.violetrail.ownership.Rows;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.Placement;
import io.violetrail.state.StateStore.Unavailable;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.Cbor.Malformed;
import io.violetrail.wire.JobWire;
import io.violetrail.wire.StateWire.Entry;
import io.violetrail.wire.StateWire.Txn;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Jobs' rows in the state service: intake, progress, ends, and what is remembered of them here. */
public final class Jobs {
  private static final Logger LOG = LoggerFactory.getLogger(Jobs.class);
  private static final int REMEMBERED = 20_000;
  private static final double ASK_AGAIN_S = 3;

  private final Node node;
  private final Map<Holding, Progress> progress = new HashMap<>();
  private final Cache<JobId, Known> terminal =
      CacheBuilder.newBuilder().maximumSize(REMEMBERED).build();
  private final Cache<JobId, ControllerId> bound =
      CacheBuilder.newBuilder().maximumSize(REMEMBERED).build();
  private final Set<JobId> lookingUp = new HashSet<>();

  /** Jobs of other entities' ended tasks are asked about now and then, not with every report. */
  private final Cache<JobId, Double> askedS = CacheBuilder.newBuilder().maximumSize(1_000).build();

  public Jobs(Node node) {
    this.node = node;
  }

  /** A job that is over, or bound to another entity ({@code view} is null then). */
  public record Known(JobView view, ControllerId entity, Amounts amounts) {}

  /**
   * What a look-up came to: a job's view, proven absence (null view), or its binding to an open
   * entity.
   */
  public record Found(JobView view, ControllerId openAt, JobView asStored) {
    boolean absent() {
      return view == null && openAt == null;
    }
  }

  public JobView terminalView(JobId id) {
    Known known = terminal.getIfPresent(id);
    return known == null ? null : known.view();
  }

  public ControllerId boundTo(JobId id) {
    return bound.getIfPresent(id);
  }

  /**
   * For a worker's task whose job is not open here: what is known; null while it is being looked
   * up.
   */
  public Known known(Holding holding, JobId id) {
    Known known = terminal.getIfPresent(id);
    if (known != null) {
      return known;
    }
    double now = node.loop.seconds();
    Double asked = askedS.getIfPresent(id);
    boolean due = asked == null || now - asked > ASK_AGAIN_S;
    if (due && lookingUp.size() < 100 && lookingUp.add(id)) {
      askedS.put(id, (Double) now);
      node.store
          .get(Rows.job(id))
          .whenComplete(
              (entry, failure) -> {
                lookingUp.remove(id);
                if (failure != null) {
                  return;
                }
                Found found = found(id, entry);
                if (found.absent()
                    || found.openAt() != null && !found.openAt().equals(holding.entity())) {
                  LOG.info(
                      "a worker of entity {} has a task of {}, which is not of this entity",
                      holding.entity(),
                      id);
                  if (found.absent()) {
                    terminal.put(id, new Known(null, holding.entity(), Amounts.NONE));
                  }
                } else if (found.openAt() != null
                    && holding.active()
                    && !holding.jobs.containsKey(id)) {
                  reload(holding, id);
                }
              });
    }
    return null;
  }

  /** Reads a job's row, which is never stale. */
  public CompletableFuture<Found> lookUp(JobId id) {
    return node.store.getForUser(Rows.job(id)).thenApply(entry -> found(id, entry));
  }

  private Found found(JobId id, Entry entry) {
    if (entry.value() == null) {
      return new Found(null, null, null);
    }
    JsonNode v = entry.value();
    ControllerId entity = new ControllerId(v.path("entity").asText());
    if (v.has("end")) {
      JobView view =
          new JobView(id.value(), Status.valueOf(v.get("end").asText()), v.path("done").asInt(), 0);
      remember(view, entity, amounts(v));
      return new Found(view, null, null);
    }
    bound.put(id, entity);
    return new Found(null, entity, new JobView(id.value(), Status.QUEUED, 0, 0));
  }

  private void remember(JobView view, ControllerId entity, Amounts amounts) {
    terminal.put(new JobId(view.id()), new Known(view, entity, amounts));
  }

  private static Amounts amounts(JsonNode v) {
    return new Amounts(
        v.path("cpus").asDouble(), v.path("gpus").asDouble(), v.path("memory").asDouble());
  }

  private static ObjectNode row(ControllerId entity, JobSpec s) {
    ObjectNode m = Cbor.map().put("entity", entity.value());
    return m.put("cpus", s.task().cpus())
        .put("gpus", s.task().gpus())
        .put("memory", s.task().memoryGb());
  }

  private Job job(JobSpec spec, long arrivedMs, double arrivedS, boolean recovered) {
    return new Job(spec, arrivedMs, arrivedS, recovered, node.dispatcher.spareWork(spec));
  }

  /** Stores a new job. True: it is this entity's now. False: the id is taken already. */
  public CompletableFuture<Boolean> store(Holding h, JobSpec spec) {
    long nowMs = node.loop.wallMillis();
    double nowS = node.loop.seconds();
    ObjectNode open = Cbor.map().put("arrived", nowMs);
    open.set("spec", JobWire.spec(spec));
    Txn txn =
        h.fenced()
            .when(Rows.job(spec.id()), 0)
            .set(Rows.job(spec.id()), row(h.entity(), spec))
            .set(Rows.openJob(h.entity(), spec.id()), open);
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    // An answer that never came leaves the outcome open; it is repeated until certain, so that no
    // job
    // is stored without its owner knowing of it.
    node.store
        .settleForUser(txn)
        .whenComplete(
            (outcome, failure) -> {
              if (failure != null) {
                result.completeExceptionally(Unavailable.of(failure));
              } else if (outcome.applied()) {
                bound.put(spec.id(), h.entity());
                if (h.active()) {
                  h.jobs.putIfAbsent(spec.id(), job(spec, nowMs, nowS, false));
                  node.fleet.spares.arrived(spec, nowS);
                  node.dispatcher.changed(h);
                }
                LOG.info(
                    "job {} accepted by entity {} version {}: {} tasks",
                    spec.id(),
                    h.entity(),
                    h.row.version(),
                    spec.tasks());
                result.complete(true);
              } else if (outcome.failed().contains(Rows.job(spec.id()))) {
                if (!h.jobs.containsKey(spec.id())) {
                  recover(h, spec.id());
                }
                result.complete(false);
              } else {
                node.membership.suspect();
                result.completeExceptionally(new Unavailable("the entity has moved", 409));
              }
            });
    return result;
  }

  /** The id is taken: if an earlier try of this very intake did it, the job is loaded. */
  private void recover(Holding h, JobId id) {
    lookUp(id)
        .whenComplete(
            (found, failure) -> {
              if (failure != null) {
                node.loop.after(1, () -> recover(h, id));
              } else if (h.entity().equals(found.openAt())
                  && h.active()
                  && !h.jobs.containsKey(id)) {
                reload(h, id);
              }
            });
  }

  private void reload(Holding h, JobId id) {
    node.store
        .list(Rows.openJob(h.entity(), id))
        .whenComplete(
            (listing, failure) -> {
              if (failure != null) {
                node.loop.after(1, () -> reload(h, id));
              } else if (h.active() && !h.jobs.containsKey(id)) {
                load(
                    h,
                    listing.entries().stream()
                        .filter(e -> e.key().equals(Rows.openJob(h.entity(), id)))
                        .toList());
                node.dispatcher.changed(h);
              }
            });
  }

  /** Loads open jobs from their rows, and what is done of them. */
  public void load(Holding h, List<Entry> entries, List<Entry> progress) {
    load(h, entries);
    progress(h).load(progress);
    List.copyOf(h.jobs.values()).forEach(job -> progressed(h, job));
  }

  private void load(Holding h, List<Entry> entries) {
    double nowS = node.loop.seconds();
    long nowMs = node.loop.wallMillis();
    String prefix = Rows.openJobs(h.entity());
    for (Entry e : entries) {
      try {
        long arrived = e.value().path("arrived").asLong();
        Job job =
            job(
                JobWire.spec(e.value().path("spec")),
                arrived,
                nowS - Math.max(0, nowMs - arrived) / 1000.0,
                true);
        h.jobs.put(job.spec.id(), job);
        bound.put(job.spec.id(), h.entity());
      } catch (Malformed m) {
        LOG.error("job {} cannot be read: {}", e.key().substring(prefix.length()), m.getMessage());
      }
    }
  }

  /** Tasks of the job may be done: store that, in time, and close the job after the last one. */
  public void progressed(Holding h, Job job) {
    if (job.phase != Job.Phase.OPEN) {
      return;
    }
    if (job.complete()) {
      job.phase = Job.Phase.CLOSING;
      job.write(() -> end(h, job, Status.DONE));
    } else if (!job.allStored()) {
      progress(h).changed(job);
    }
  }

  private Progress progress(Holding h) {
    progress.keySet().retainAll(node.membership.holdings());
    return progress.computeIfAbsent(h, x -> new Progress(node, x));
  }

  /** Stores the progress that is due. */
  public void flush(Holding h) {
    progress(h).flush(node.loop.seconds());
  }

  /** Stores the end of a job. Only afterwards is anybody told of it. */
  private CompletableFuture<Boolean> end(Holding h, Job job, Status status) {
    if (job.phase == Job.Phase.OVER) {
      return CompletableFuture.completedFuture(true);
    }
    JobId id = job.spec.id();
    ObjectNode row =
        row(h.entity(), job.spec).put("end", status.name()).put("done", job.doneCount());
    Txn txn = h.fenced().set(Rows.job(id), row).drop(Rows.openJob(h.entity(), id));
    return node.store
        .settleForUser(txn)
        .handle(
            (outcome, failure) -> {
              if (failure != null || !outcome.applied()) {
                node.membership.suspect();
                return false;
              }
              ended(h, job, status);
              return true;
            });
  }

  private void ended(Holding h, Job job, Status status) {
    job.phase = Job.Phase.OVER;
    job.end = status;
    job.stored.or(job.done());
    remember(
        new JobView(job.spec.id().value(), status, job.doneCount(), 0),
        h.entity(),
        job.spec.task());
    LOG.info("job {} of entity {} is {}", job.spec.id(), h.entity(), status);
    stop(h, job);
    if (job.nothingPlaced()) {
      h.jobs.remove(job.spec.id(), job);
    }
  }

  private void stop(Holding h, Job job) {
    for (Placement p : job.placements()) {
      if (p.revocable()) {
        h.unplace(p, node.loop.seconds());
      } else {
        p.halt(0);
      }
    }
  }

  /**
   * Cancels an open job of a held entity; completes with what the user is to be told, once stored.
   */
  public CompletableFuture<JobView> cancel(Holding h, Job job) {
    CompletableFuture<JobView> told = new CompletableFuture<>();
    if (job.phase == Job.Phase.OPEN) {
      // Its user does not want it any more: nothing of it is started or kept running from now on.
      job.phase = Job.Phase.CANCELLING;
      stop(h, job);
    }
    Status status = job.phase == Job.Phase.CLOSING ? Status.DONE : Status.CANCELLED;
    job.write(
        () ->
            end(h, job, status)
                .whenComplete(
                    (stored, failure) -> {
                      JobView view = terminalView(job.spec.id());
                      if (failure == null && view != null) {
                        told.complete(view);
                      } else {
                        told.completeExceptionally(new Unavailable("not stored", 0));
                      }
                    }));
    return told;
  }
}
