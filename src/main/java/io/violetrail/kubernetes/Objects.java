package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.api.Companion;
import io.violetrail.api.Intake;
import io.violetrail.api.Intake.Verdict;
import io.violetrail.config.Settings;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.state.StateStore;
import io.violetrail.state.StateStore.Unavailable;
import io.violetrail.state.Tombstones;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateWire.Txn;
import io.violetrail.wire.kubernetes.KubeStatus;
import io.violetrail.wire.kubernetes.Refusal;
import io.violetrail.wire.kubernetes.Refusal.Cause;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Creates, reads, changes and deletes kept objects. Every controller does so for all of them, by
 * transactions conditional on the object's own row; what follows from a change is its owner's work.
 */
final class Objects {
  /** Objects of a kind in one namespace. */
  static final int MOST_OBJECTS = 500;

  /** Changes without a version are tried this often against others'. */
  private static final int TRIES = 5;

  private static final Set<String> POLICIES = Set.of("Background", "Foreground");
  private static final Set<String> DELETE_FIELDS =
      Set.of("kind", "apiVersion", "propagationPolicy", "preconditions");

  private final Loop loop;
  private final Random random;
  private final Settings settings;
  private final StateStore store;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final Intake intake;
  private final Translation translation;
  private final Feed feed;

  Objects(
      Loop loop,
      Random random,
      Settings settings,
      StateStore store,
      Membership membership,
      MachineTypes machineTypes,
      Intake intake,
      Translation translation,
      Feed feed) {
    this.loop = loop;
    this.random = random;
    this.settings = settings;
    this.store = store;
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.intake = intake;
    this.translation = translation;
    this.feed = feed;
  }

  void create(Kind kind, String namespace, ObjectNode manifest, Exchange to) {
    List<Refusal> no = translation.check(kind, manifest, namespace);
    String given = manifest.path("metadata").path("name").asText("");
    if (!no.isEmpty()) {
      to.answer(KubeStatus.refused(new Ref(kind, namespace, given).said(), no));
      return;
    }
    if (manifest.path("metadata").has("resourceVersion")) {
      to.answer(KubeStatus.badRequest("resourceVersion must not be set on objects to be created"));
      return;
    }
    String closed = intake.closed();
    if (!feed.ready() || closed != null) {
      to.answer(KubeStatus.unavailable(closed == null ? "the objects are not read yet" : closed));
      return;
    }
    OwnedEntity own = membership.own();
    if (feed.count(kind, namespace) >= MOST_OBJECTS) {
      to.answer(KubeStatus.tooMany("the namespace holds " + MOST_OBJECTS + " " + kind.plural()));
      return;
    }
    KubeObject object = fresh(kind, namespace, given, manifest, own);
    int bytes = Cbor.bytes(object.value()).length;
    if (bytes > settings.stateLimits().valueBytes() / 2) {
      to.answer(KubeStatus.tooLarge("the object is too long to be kept"));
      return;
    }
    JobId id = KubeObject.nativeId(object.uid(), 1);
    JobSpec spec = translation.spec(object, id.value());
    String never = intake.neverRuns(spec);
    if (never != null) {
      to.answer(impossible(object, never));
    } else if (kind == Kind.JOB && !object.spec().path("suspend").asBoolean()) {
      withJob(object, spec, bytes, to);
    } else {
      alone(object, own, to);
    }
  }

  private static KubeStatus impossible(KubeObject object, String why) {
    return KubeStatus.refused(
        object.ref().said(),
        List.of(new Refusal("spec.template.spec", Cause.INVALID, "it can never run: " + why)));
  }

  /** A repeated creation that names its request makes the very same object once more. */
  private KubeObject fresh(
      Kind kind, String namespace, String given, ObjectNode manifest, OwnedEntity own) {
    JsonNode meta = manifest.path("metadata");
    String request = meta.path("annotations").path(KubeObject.REQUEST_ID).asText("");
    String begins = meta.path("generateName").asText("");
    UUID uid =
        request.isEmpty()
            ? new UUID(random.nextLong(), random.nextLong())
            : UUID.nameUUIDFromBytes(
                (kind + "/" + namespace + "/" + begins + given + "/" + request)
                    .getBytes(StandardCharsets.UTF_8));
    String name =
        given.isEmpty() ? begins + KubeObject.hash(uid.toString()).substring(0, 7) : given;
    KubeObject object =
        KubeObject.fresh(
            kind, namespace, name, manifest, own.entity(), uid.toString(), loop.wallMillis());
    if (kind == Kind.JOB) {
      KubeObject.addPart(object.value(), 1, "");
    }
    return object;
  }

  /** The Job and its native job are stored by one transaction, through the one intake. */
  private void withJob(KubeObject object, JobSpec spec, int bytes, Exchange to) {
    Futures.logFailure(
        intake
            .admit(spec, new Companion(object.key(), 0, object.value(), bytes))
            .thenAccept(
                decision -> {
                  if (decision.verdict() == Verdict.ACCEPTED && decision.revision() > 0) {
                    to.answer(201, object.at(decision.revision()).json(), 0);
                  } else if (decision.verdict() == Verdict.IMPOSSIBLE) {
                    to.answer(impossible(object, decision.why()));
                  } else if (decision.verdict() == Verdict.LATER) {
                    to.answer(KubeStatus.unavailable(decision.why()));
                  } else {
                    answerExisting(object, decision.verdict() == Verdict.ACCEPTED ? 201 : 200, to);
                  }
                }),
        "admit a Job with its object");
  }

  private void alone(KubeObject object, OwnedEntity own, Exchange to) {
    Futures.logFailure(
        Tombstones.creation(store, own::fenced, object.key(), object.value())
            .thenCompose(store::settle)
            .whenComplete(
                (outcome, failure) -> {
                  if (failure != null) {
                    to.answer(unclear(failure));
                  } else if (outcome.applied()) {
                    to.answer(201, object.at(outcome.revision()).json(), 0);
                  } else if (outcome.failed().contains(object.key())) {
                    // Another's, or an earlier try of this very write has got through.
                    answerExisting(object, 201, to);
                  } else {
                    to.answer(KubeStatus.unavailable("the entity or what was deleted has changed"));
                  }
                }),
        "store an object");
  }

  private void answerExisting(KubeObject object, int code, Exchange to) {
    read(
        object.ref(),
        to,
        found -> {
          if (found != null && found.uid().equals(object.uid())) {
            to.answer(code, found.json(), 0);
          } else {
            to.answer(KubeStatus.exists(object.ref().said()));
          }
        });
  }

  private static KubeStatus unclear(Throwable failure) {
    Unavailable u = Unavailable.of(failure);
    return u.status() == 429
        ? KubeStatus.tooMany("too many requests at once")
        : KubeStatus.unavailable("the state service does not answer");
  }

  /** A fresh read, whoever owns the object: no answer is older than one given before. */
  void read(Ref at, Exchange to, Consumer<KubeObject> then) {
    Futures.logFailure(
        store
            .getForUser(at.key())
            .whenComplete(
                (entry, failure) -> {
                  if (failure != null) {
                    to.answer(unclear(failure));
                  } else {
                    then.accept(
                        entry.value() == null
                            ? null
                            : KubeObject.of(at.key(), entry.value(), entry.stamp()));
                  }
                }),
        "list objects");
  }

  void get(Ref at, Exchange to) {
    read(
        at,
        to,
        found -> {
          if (found == null) {
            to.answer(KubeStatus.notFound(at.said()));
          } else {
            to.answer(200, found.json(), 0);
          }
        });
  }

  /** A page of objects; {@code continue} names the last one looked at. */
  void list(Kind kind, String namespace, Query query, Exchange to) {
    String prefix = KubeObject.rows(kind, namespace);
    if (!query.after().isEmpty() && !query.after().startsWith(prefix)) {
      to.answer(KubeStatus.badRequest("continue: is not a token of this listing"));
      return;
    }
    Futures.logFailure(
        store
            .pageForUser(prefix, query.after(), query.limit())
            .whenComplete(
                (page, failure) -> {
                  if (failure != null) {
                    to.answer(unclear(failure));
                    return;
                  }
                  ObjectNode m = Cbor.map().put("kind", kind.published() + "List");
                  m.put("apiVersion", kind.apiVersion());
                  ObjectNode meta = m.putObject("metadata");
                  meta.put("resourceVersion", String.valueOf(page.revision()));
                  if (page.more() && !page.entries().isEmpty()) {
                    String last = page.entries().get(page.entries().size() - 1).key();
                    meta.put("continue", Query.token(last));
                  }
                  var items = m.putArray("items");
                  page.entries().stream()
                      .map(e -> KubeObject.of(e.key(), e.value(), e.stamp()))
                      .filter(query.in(namespace))
                      .forEach(o -> items.add(o.json()));
                  to.answer(200, m, 0);
                }),
        "read an object");
  }

  /** All objects there are now with their revision, for a watch that begins with them. */
  void all(Kind kind, String namespace, Exchange to, BiConsumer<List<KubeObject>, Long> then) {
    String prefix = KubeObject.rows(kind, namespace);
    Futures.logFailure(
        store
            .pageForUser(prefix, "", 2 * MOST_OBJECTS)
            .whenComplete(
                (page, failure) -> {
                  if (failure != null) {
                    to.answer(unclear(failure));
                  } else if (page.more()) {
                    to.answer(KubeStatus.tooMany("too many objects: list them in pages first"));
                  } else {
                    then.accept(
                        page.entries().stream()
                            .map(e -> KubeObject.of(e.key(), e.value(), e.stamp()))
                            .toList(),
                        page.revision());
                  }
                }),
        "read an object's scale");
  }

  /** Replaces what may change of an object. */
  void replace(Ref at, ObjectNode manifest, Exchange to) {
    List<Refusal> no = translation.check(at.kind(), manifest, at.namespace());
    if (no.isEmpty() && !manifest.path("metadata").path("name").asText().equals(at.name())) {
      no.add(new Refusal("metadata.name", Cause.INVALID, "is not the name in the request's path"));
    }
    if (!no.isEmpty()) {
      to.answer(KubeStatus.refused(at.said(), no));
      return;
    }
    JsonNode meta = manifest.path("metadata");
    ObjectNode spec = Translation.withDefaults(at.kind(), (ObjectNode) manifest.get("spec"));
    change(
        at,
        meta.path("uid").asText(""),
        meta.path("resourceVersion").asText(""),
        to,
        found -> Updates.replaced(found, meta, spec, loop.wallMillis()));
  }

  void scale(Ref at, ObjectNode scale, Exchange to) {
    JsonNode replicas = scale.path("spec").path("replicas");
    JsonNode meta = scale.path("metadata");
    List<Refusal> no = Updates.scaleRefusals(scale, at.name(), at.namespace());
    if (!no.isEmpty()) {
      to.answer(KubeStatus.refused("scale of " + at.said(), no));
      return;
    }
    change(
        at,
        meta.path("uid").asText(""),
        meta.path("resourceVersion").asText(""),
        asScale(to),
        found -> Updates.scaled(found, replicas.asInt()));
  }

  /** Gives answers about an object the form of its scale. */
  private static Exchange asScale(Exchange to) {
    return to.through(
        (code, body, againS) -> to.answer(code, code < 300 ? Updates.scaleOf(body) : body, againS));
  }

  void getScale(Ref at, Exchange to) {
    get(at, asScale(to));
  }

  private void change(Ref at, String uid, String version, Exchange to, Updates.Change change) {
    tryChange(at, uid, version, to, change, TRIES, null);
  }

  private void tryChange(
      Ref at,
      String uid,
      String version,
      Exchange to,
      Updates.Change change,
      int tries,
      KubeObject sent) {
    read(
        at,
        to,
        found -> {
          if (found == null) {
            to.answer(KubeStatus.notFound(at.said()));
            return;
          }
          if (sent != null && found.value().equals(sent.value())) {
            // An earlier try of the same write got through, though its answer was lost.
            to.answer(200, found.json(), 0);
            return;
          }
          boolean same = uid.isEmpty() || uid.equals(found.uid());
          boolean current = version.isEmpty() || version.equals(String.valueOf(found.stamp()));
          if (!same || !current || tries == 0) {
            to.answer(KubeStatus.conflict(at.said()));
            return;
          }
          Updates.Result result = change.of(found);
          if (!result.refused().isEmpty()) {
            to.answer(KubeStatus.refused(at.said(), result.refused()));
            return;
          }
          KubeObject next = result.next();
          if (next == found) {
            to.answer(200, found.json(), 0);
            return;
          }
          if (Cbor.bytes(next.value()).length > settings.stateLimits().valueBytes() * 3 / 4) {
            to.answer(KubeStatus.tooLarge("the object is too long to be kept"));
            return;
          }
          if (machineTypes.isEmpty()) {
            to.answer(KubeStatus.unavailable("the machine types are not known yet"));
            return;
          }
          String never =
              intake.neverRuns(translation.spec(next, KubeObject.nativeId(next.uid(), 1).value()));
          if (never != null) {
            to.answer(impossible(next, never));
            return;
          }
          Futures.logFailure(
              store
                  .settle(new Txn().when(found.key(), found.stamp()).set(found.key(), next.value()))
                  .whenComplete(
                      (outcome, failure) -> {
                        if (failure != null) {
                          to.answer(unclear(failure));
                        } else if (outcome.applied()) {
                          to.answer(200, next.at(outcome.revision()).json(), 0);
                        } else {
                          tryChange(at, uid, version, to, change, tries - 1, next);
                        }
                      }),
              "replace an object");
        });
  }

  /**
   * Deletes an object. In the background it is gone at once, and a row of its own says to its
   * owner, or whoever takes the entity over, which tasks are to end; in the foreground it stays
   * until they have.
   */
  void delete(Ref at, ObjectNode options, String policy, Exchange to) {
    for (var fields = options.fieldNames(); fields.hasNext(); ) {
      String field = fields.next();
      if (!DELETE_FIELDS.contains(field)) {
        to.answer(
            KubeStatus.refused(
                "DeleteOptions",
                List.of(new Refusal(field, Cause.NOT_SUPPORTED, "the field is not supported"))));
        return;
      }
    }
    String asked = options.path("propagationPolicy").asText(policy);
    if (!POLICIES.contains(asked)) {
      to.answer(
          KubeStatus.refused(
              "DeleteOptions",
              List.of(
                  new Refusal(
                      "propagationPolicy",
                      Cause.NOT_SUPPORTED,
                      "must be Background or Foreground: tasks do not outlive their object"))));
      return;
    }
    tryDelete(at, options.path("preconditions"), asked, to, TRIES);
  }

  private void tryDelete(Ref at, JsonNode preconditions, String policy, Exchange to, int tries) {
    read(
        at,
        to,
        found -> {
          if (found == null && tries < TRIES) {
            // Conditional on a state that is gone: an earlier try of ours, or somebody else's.
            to.answer(200, KubeStatus.success(at.kind().plural(), at.name(), ""), 0);
            return;
          }
          if (found == null) {
            to.answer(KubeStatus.notFound(at.said()));
            return;
          }
          boolean same = preconditions.path("uid").asText(found.uid()).equals(found.uid());
          String stamp = String.valueOf(found.stamp());
          boolean current = preconditions.path("resourceVersion").asText(stamp).equals(stamp);
          if (!same || !current || tries == 0) {
            to.answer(KubeStatus.conflict(at.said()));
            return;
          }
          long now = loop.wallMillis();
          Txn txn = new Txn().when(found.key(), found.stamp());
          KubeObject marked = found.with(v -> v.put("deleting", now));
          boolean background = policy.equals("Background");
          if (background) {
            txn.drop(found.key()).set(found.goneKey(), found.gone(now));
            Tombstones.mark(txn, found.key(), now);
          } else if (found.deleting()) {
            to.answer(200, found.json(), 0);
            return;
          } else {
            txn.set(found.key(), marked.value());
          }
          Futures.logFailure(
              store
                  .settle(txn)
                  .whenComplete(
                      (outcome, failure) -> {
                        if (failure != null) {
                          to.answer(unclear(failure));
                        } else if (!outcome.applied()) {
                          tryDelete(at, preconditions, policy, to, tries - 1);
                        } else if (background) {
                          to.answer(
                              200,
                              KubeStatus.success(at.kind().plural(), at.name(), found.uid()),
                              0);
                        } else {
                          to.answer(200, marked.at(outcome.revision()).json(), 0);
                        }
                      }),
              "delete an object");
        });
  }
}
