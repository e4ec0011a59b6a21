package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.api.Jobs;
import io.violetrail.kubernetes.KubeObject.Part;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.Job;
import io.violetrail.state.FirstListing;
import io.violetrail.state.StateStore;
import io.violetrail.state.Tombstones;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings the native jobs of kept objects in line with what their rows say, and writes down what
 * became of them. Only an entity's owner does this for the entity's objects, and every step is
 * fenced by the entity's row and conditional on the object's own, so a step of a former owner
 * changes nothing. A row says first what is meant; whoever owns the entity next repeats it by the
 * same names.
 */
final class Keeper implements Feed.Bookkeeper {
  private static final Logger LOG = LoggerFactory.getLogger(Keeper.class);
  private static final double TICK_S = 0.5;

  /** Objects looked at in one turn, so that reports come in between however many there are. */
  private static final int A_TURN = 100;

  /** Rows written for statuses in one turn: native work has the budget first. */
  private static final int WRITES_A_TURN = 5;

  private final Loop loop;
  private final StateStore store;
  private final Membership membership;
  private final Jobs jobLifecycle;
  private final JobSteps jobReconciler;
  private final DeploymentSteps deploymentReconciler;
  private final Map<OwnedEntity, Own> owned = new HashMap<>();

  /** What is kept of one held entity. */
  private static final class Own {
    final Map<String, KubeObject> objects = new LinkedHashMap<>();
    final Map<String, Gone> gone = new LinkedHashMap<>();
    final Set<String> writing = new HashSet<>();
    final Set<JobId> never = new HashSet<>();
    final ArrayDeque<String> turn = new ArrayDeque<>();
    final FirstListing listing = new FirstListing();
  }

  /** A deleted object whose tasks may still run. */
  private record Gone(KubeObject last, long stamp) {}

  Keeper(
      Loop loop,
      StateStore store,
      Membership membership,
      Jobs jobLifecycle,
      Translation translation) {
    this.loop = loop;
    this.store = store;
    this.membership = membership;
    this.jobLifecycle = jobLifecycle;
    this.jobReconciler = new JobSteps(loop, jobLifecycle, this, translation);
    this.deploymentReconciler = new DeploymentSteps(loop, jobLifecycle, this, translation);
  }

  void start() {
    loop.every(TICK_S, this::tick);
  }

  @Override
  public void row(KubeObject object) {
    Own own = of(object);
    if (own != null) {
      put(own, object);
    }
  }

  private static void put(Own own, KubeObject object) {
    KubeObject before = own.objects.get(object.key());
    if (before == null || before.stamp() < object.stamp()) {
      own.objects.put(object.key(), object);
    }
  }

  @Override
  public void gone(String key, ObjectNode row, long stamp) {
    KubeObject last = KubeObject.of(key, row, stamp);
    Own own = last == null ? null : of(last);
    if (own != null) {
      own.gone.put(key, new Gone(last, stamp));
    }
  }

  @Override
  public void dropped(String key) {
    owned.values().forEach(own -> own.objects.remove(key));
  }

  /** The kept objects of a namespace that this controller's entities hold, by name. */
  List<KubeObject> held(ControllerId entity, String namespace) {
    for (var e : owned.entrySet()) {
      if (e.getKey().entity().equals(entity)
          && e.getKey().active()
          && e.getValue().listing.done()) {
        return e.getValue().objects.values().stream()
            .filter(o -> namespace == null || o.namespace().equals(namespace))
            .sorted(Comparator.comparing(KubeObject::namespace).thenComparing(KubeObject::name))
            .toList();
      }
    }
    return null;
  }

  private Own of(KubeObject object) {
    for (var e : owned.entrySet()) {
      if (e.getKey().entity().equals(object.entity())) {
        return e.getValue();
      }
    }
    return null;
  }

  private void tick() {
    owned.keySet().retainAll(membership.holdings());
    if (!membership.valid()) {
      return;
    }
    for (OwnedEntity h : membership.holdings()) {
      Own own = owned.computeIfAbsent(h, x -> new Own());
      if (!own.listing.done()) {
        load(h, own);
      } else if (h.active()) {
        turn(h, own);
      }
    }
  }

  /** Rows as of after the move: from here on the feed tells of every change. */
  private void load(OwnedEntity h, Own own) {
    own.listing.read(
        store,
        KubeObject.ROWS,
        e -> {
          KubeObject object = KubeObject.of(e.key(), e.value(), e.stamp());
          if (object == null || !object.entity().equals(h.entity())) {
            return;
          }
          if (KubeObject.isGone(e.key())) {
            own.gone.put(e.key(), new Gone(object, e.stamp()));
          } else {
            put(own, object);
          }
        },
        () -> LOG.info("entity {}: {} objects", h.entity(), own.objects.size()));
  }

  private void turn(OwnedEntity h, Own own) {
    if (own.turn.isEmpty()) {
      own.turn.addAll(own.objects.keySet());
    }
    int writes = WRITES_A_TURN;
    for (int i = 0; i < A_TURN && writes > 0 && !own.turn.isEmpty(); i++) {
      KubeObject object = own.objects.get(own.turn.poll());
      if (object == null || own.writing.contains(object.key())) {
        continue;
      }
      KubeObject next =
          object.kind() == Kind.JOB
              ? jobReconciler.step(h, object)
              : deploymentReconciler.step(h, object);
      if (next != null) {
        writes--;
        write(h, own, object, next);
      }
    }
    for (var e : Map.copyOf(own.gone).entrySet()) {
      bury(h, own, e.getKey(), e.getValue());
    }
  }

  /** Stores the next state of an object, unless it has been changed meanwhile. */
  private void write(OwnedEntity h, Own own, KubeObject before, KubeObject next) {
    String key = before.key();
    own.writing.add(key);
    var txn = h.fenced().when(key, before.stamp());
    if (next.value().has("over")) {
      // Its tasks are gone, and so is what was kept of them in this process.
      txn.drop(key).set(next.goneKey(), next.gone(loop.wallMillis()));
      Tombstones.mark(txn, key, loop.wallMillis());
    } else {
      txn.set(key, next.value());
    }
    Futures.logFailure(
        store
            .settleLast(txn)
            .whenComplete(
                (outcome, failure) -> {
                  own.writing.remove(key);
                  if (failure == null && outcome.applied() && !next.value().has("over")) {
                    put(own, next.at(outcome.revision()));
                  }
                  // Otherwise the feed tells what stands there now.
                }),
        "write an object's status");
  }

  /** Ends what a deleted object has left; its last row goes when nothing is. */
  private void bury(OwnedEntity h, Own own, String key, Gone gone) {
    boolean left = false;
    for (Part part : gone.last().parts()) {
      Job job = h.jobs().get(part.id());
      left |= job != null || busy(h, part.id());
      if (job != null) {
        end(h, job);
      }
    }
    if (left || !own.writing.add(key)) {
      return;
    }
    Futures.logFailure(
        store
            .settleLast(h.fenced().when(key, gone.stamp()).drop(key))
            .whenComplete(
                (outcome, failure) -> {
                  own.writing.remove(key);
                  if (failure == null) {
                    own.gone.remove(key);
                  }
                }),
        "remove a deleted object's row");
  }

  /** Cancels a native job for good; repeated until that is stored. */
  void end(OwnedEntity h, Job job) {
    if (job.phase() == Job.Phase.OPEN) {
      LOG.info("job {} of entity {} is cancelled for its object", job.spec().id(), h.entity());
      Futures.logFailure(jobLifecycle.cancel(h, job), "cancel an object's job");
    }
  }

  /** Whether a native job is being looked up or stored. */
  boolean busy(OwnedEntity h, JobId id) {
    Own own = owned.get(h);
    return own != null && own.writing.contains(id.value());
  }

  /**
   * Sees to it that a native job which a row names exists. It is stored once however often this is
   * repeated, since its id can be claimed once. Nothing is stored for an object that has been
   * changed since: it may not want the job any more, and nobody would end it.
   */
  void ensure(OwnedEntity h, KubeObject object, JobSpec spec) {
    lookUp(
        h,
        spec.id(),
        (own, done) -> {
          KubeObject now = own.objects.get(object.key());
          if (now == null || now.stamp() != object.stamp()) {
            done.run();
            return;
          }
          Futures.logFailure(
              jobLifecycle.store(h, spec, null).whenComplete((stored, f) -> done.run()),
              "store an object's job");
        });
  }

  /** Whether a native job was never submitted, for sure, and will not be. */
  boolean never(OwnedEntity h, JobId id) {
    Own own = owned.get(h);
    return own != null && own.never.contains(id);
  }

  /** Learns for sure whether a native job that is not wanted any more was ever submitted. */
  void recall(OwnedEntity h, JobId id) {
    lookUp(
        h,
        id,
        (own, done) -> {
          own.never.add(id);
          done.run();
        });
  }

  private void lookUp(OwnedEntity h, JobId id, BiConsumer<Own, Runnable> absent) {
    Own own = owned.get(h);
    if (own == null || !own.writing.add(id.value())) {
      return;
    }
    Runnable done = () -> own.writing.remove(id.value());
    Futures.logFailure(
        jobLifecycle
            .lookUp(id)
            .whenComplete(
                (found, failure) -> {
                  boolean sure = failure == null && h.active() && membership.valid();
                  if (sure && found.absent()) {
                    absent.accept(own, done);
                  } else {
                    done.run();
                  }
                }),
        "look an object's job up");
  }
}
