package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.api.CoWrittenRow;
import io.violetrail.api.JobAdmission;
import io.violetrail.api.JobAdmission.Verdict;
import io.violetrail.config.Settings;
import io.violetrail.errors.RequestFailedException;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.state.StateStore;
import io.violetrail.state.Tombstones;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.kubernetes.FieldError;
import io.violetrail.wire.kubernetes.FieldError.Cause;
import io.violetrail.wire.kubernetes.KubernetesStatus;
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
final class ObjectStore {
  /** Objects of a kind in one namespace. */
  static final int MAX_OBJECTS = 500;

  /** Changes without a version are tried this often against others'. */
  private static final int MAX_ATTEMPTS = 5;

  private static final Set<String> PROPAGATION_POLICIES = Set.of("Background", "Foreground");
  private static final Set<String> DELETE_OPTION_FIELDS =
      Set.of("kind", "apiVersion", "propagationPolicy", "preconditions");

  private final EventLoop loop;
  private final Random random;
  private final Settings settings;
  private final StateStore store;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final JobAdmission jobAdmission;
  private final NativeJobTranslator translator;
  private final WatchCache watchCache;

  ObjectStore(
      EventLoop loop,
      Random random,
      Settings settings,
      StateStore store,
      Membership membership,
      MachineTypes machineTypes,
      JobAdmission jobAdmission,
      NativeJobTranslator translator,
      WatchCache watchCache) {
    this.loop = loop;
    this.random = random;
    this.settings = settings;
    this.store = store;
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.jobAdmission = jobAdmission;
    this.translator = translator;
    this.watchCache = watchCache;
  }

  void create(ObjectKind kind, String namespace, ObjectNode manifest, HttpExchange httpExchange) {
    List<FieldError> errors = translator.validate(kind, manifest, namespace);
    String givenName = manifest.path("metadata").path("name").asText("");
    if (!errors.isEmpty()) {
      httpExchange.answer(
          KubernetesStatus.invalid(
              new ObjectReference(kind, namespace, givenName).displayName(), errors));
      return;
    }
    if (manifest.path("metadata").has("resourceVersion")) {
      httpExchange.answer(
          KubernetesStatus.badRequest("resourceVersion must not be set on objects to be created"));
      return;
    }
    String closedReason = jobAdmission.findClosedReason();
    if (!watchCache.isReady() || closedReason != null) {
      httpExchange.answer(
          KubernetesStatus.unavailable(
              closedReason == null ? "the objects are not read yet" : closedReason));
      return;
    }
    OwnedEntity ownEntity = membership.findHomeEntity();
    if (watchCache.adjustCount(kind, namespace) >= MAX_OBJECTS) {
      httpExchange.answer(
          KubernetesStatus.tooManyRequests(
              "the namespace holds " + MAX_OBJECTS + " " + kind.plural()));
      return;
    }
    KubernetesObject object = newObject(kind, namespace, givenName, manifest, ownEntity);
    int bytes = Cbor.encode(object.value()).length;
    if (bytes > settings.stateStoreLimits().maxValueBytes() / 2) {
      httpExchange.answer(KubernetesStatus.tooLarge("the object is too long to be kept"));
      return;
    }
    JobId id = KubernetesObject.nativeJobId(object.uid(), 1);
    JobSpec spec = translator.toJobSpec(object, id.value());
    String reasonNeverRuns = jobAdmission.findImpossibleReason(spec);
    if (reasonNeverRuns != null) {
      httpExchange.answer(neverRunsStatus(object, reasonNeverRuns));
    } else if (kind == ObjectKind.JOB && !object.spec().path("suspend").asBoolean()) {
      createWithJob(object, spec, bytes, httpExchange);
    } else {
      createAlone(object, ownEntity, httpExchange);
    }
  }

  private static KubernetesStatus neverRunsStatus(KubernetesObject object, String reason) {
    return KubernetesStatus.invalid(
        object.reference().displayName(),
        List.of(
            new FieldError("spec.template.spec", Cause.INVALID, "it can never run: " + reason)));
  }

  /** A repeated creation that names its request makes the very same object once more. */
  private KubernetesObject newObject(
      ObjectKind kind,
      String namespace,
      String givenName,
      ObjectNode manifest,
      OwnedEntity ownEntity) {
    JsonNode metadata = manifest.path("metadata");
    String requestId =
        metadata.path("annotations").path(KubernetesObject.REQUEST_ID_ANNOTATION).asText("");
    String namePrefix = metadata.path("generateName").asText("");
    UUID uid =
        requestId.isEmpty()
            ? new UUID(random.nextLong(), random.nextLong())
            : UUID.nameUUIDFromBytes(
                (kind + "/" + namespace + "/" + namePrefix + givenName + "/" + requestId)
                    .getBytes(StandardCharsets.UTF_8));
    String name =
        givenName.isEmpty()
            ? namePrefix + KubernetesObject.hash(uid.toString()).substring(0, 7)
            : givenName;
    KubernetesObject object =
        KubernetesObject.create(
            kind, namespace, name, manifest, ownEntity.id(), uid.toString(), loop.wallMillis());
    if (kind == ObjectKind.JOB) {
      KubernetesObject.addNativeJob(object.value(), 1, "");
    }
    return object;
  }

  /** The Job and its native job are stored by one transaction, through the one intake. */
  private void createWithJob(
      KubernetesObject object, JobSpec spec, int bytes, HttpExchange httpExchange) {
    Futures.logFailure(
        jobAdmission
            .admit(spec, new CoWrittenRow(object.key(), 0, object.value(), bytes))
            .thenAccept(
                decision -> {
                  if (decision.verdict() == Verdict.ACCEPTED && decision.revision() > 0) {
                    httpExchange.answer(
                        201, object.withResourceVersion(decision.revision()).toJson(), 0);
                  } else if (decision.verdict() == Verdict.IMPOSSIBLE) {
                    httpExchange.answer(neverRunsStatus(object, decision.reason()));
                  } else if (decision.verdict() == Verdict.LATER) {
                    httpExchange.answer(KubernetesStatus.unavailable(decision.reason()));
                  } else {
                    answerExisting(
                        object, decision.verdict() == Verdict.ACCEPTED ? 201 : 200, httpExchange);
                  }
                }),
        "admit a Job with its object");
  }

  private void createAlone(
      KubernetesObject object, OwnedEntity ownEntity, HttpExchange httpExchange) {
    Futures.logFailure(
        Tombstones.draftCreation(store, ownEntity::fencedTransaction, object.key(), object.value())
            .thenCompose(store::commit)
            .whenComplete(
                (outcome, failure) -> {
                  if (failure != null) {
                    httpExchange.answer(failureStatus(failure));
                  } else if (outcome.applied()) {
                    httpExchange.answer(
                        201, object.withResourceVersion(outcome.revision()).toJson(), 0);
                  } else if (outcome.failedKeys().contains(object.key())) {
                    // Another's, or an earlier try of this very write has got through.
                    answerExisting(object, 201, httpExchange);
                  } else {
                    httpExchange.answer(
                        KubernetesStatus.unavailable("the entity or what was deleted has changed"));
                  }
                }),
        "store an object");
  }

  private void answerExisting(KubernetesObject object, int code, HttpExchange httpExchange) {
    read(
        object.reference(),
        httpExchange,
        found -> {
          if (found != null && found.uid().equals(object.uid())) {
            httpExchange.answer(code, found.toJson(), 0);
          } else {
            httpExchange.answer(KubernetesStatus.alreadyExists(object.reference().displayName()));
          }
        });
  }

  private static KubernetesStatus failureStatus(Throwable failure) {
    return RequestFailedException.from(failure).isRateLimited()
        ? KubernetesStatus.tooManyRequests("too many requests at once")
        : KubernetesStatus.unavailable("the state service does not answer");
  }

  /** A fresh read, whoever owns the object: no answer is older than one given before. */
  void read(
      ObjectReference reference, HttpExchange httpExchange, Consumer<KubernetesObject> onRead) {
    Futures.logFailure(
        store
            .getForUser(reference.key())
            .whenComplete(
                (entry, failure) -> {
                  if (failure != null) {
                    httpExchange.answer(failureStatus(failure));
                  } else {
                    onRead.accept(
                        entry.value() == null
                            ? null
                            : KubernetesObject.fromRow(
                                reference.key(), entry.value(), entry.modRevision()));
                  }
                }),
        "list objects");
  }

  void get(ObjectReference reference, HttpExchange httpExchange) {
    read(
        reference,
        httpExchange,
        found -> {
          if (found == null) {
            httpExchange.answer(KubernetesStatus.notFound(reference.displayName()));
          } else {
            httpExchange.answer(200, found.toJson(), 0);
          }
        });
  }

  /** A page of objects; {@code continue} names the last one looked at. */
  void list(ObjectKind kind, String namespace, ListOptions options, HttpExchange httpExchange) {
    String prefix = KubernetesObject.keyPrefix(kind, namespace);
    if (!options.continueAfter().isEmpty() && !options.continueAfter().startsWith(prefix)) {
      httpExchange.answer(KubernetesStatus.badRequest("continue: is not a token of this listing"));
      return;
    }
    Futures.logFailure(
        store
            .pageForUser(prefix, options.continueAfter(), options.limit())
            .whenComplete(
                (page, failure) -> {
                  if (failure != null) {
                    httpExchange.answer(failureStatus(failure));
                    return;
                  }
                  ObjectNode list = Cbor.newMap().put("kind", kind.publishedName() + "List");
                  list.put("apiVersion", kind.apiVersion());
                  ObjectNode metadata = list.putObject("metadata");
                  metadata.put("resourceVersion", String.valueOf(page.revision()));
                  if (page.more() && !page.entries().isEmpty()) {
                    String last = page.entries().get(page.entries().size() - 1).key();
                    metadata.put("continue", ListOptions.encodeToken(last));
                  }
                  var items = list.putArray("items");
                  page.entries().stream()
                      .map(e -> KubernetesObject.fromRow(e.key(), e.value(), e.modRevision()))
                      .filter(options.filterFor(namespace))
                      .forEach(o -> items.add(o.toJson()));
                  httpExchange.answer(200, list, 0);
                }),
        "read an object");
  }

  /** All objects there are now with their revision, for a watch that begins with them. */
  void listAll(
      ObjectKind kind,
      String namespace,
      HttpExchange httpExchange,
      BiConsumer<List<KubernetesObject>, Long> onRead) {
    String prefix = KubernetesObject.keyPrefix(kind, namespace);
    Futures.logFailure(
        store
            .pageForUser(prefix, "", 2 * MAX_OBJECTS)
            .whenComplete(
                (page, failure) -> {
                  if (failure != null) {
                    httpExchange.answer(failureStatus(failure));
                  } else if (page.more()) {
                    httpExchange.answer(
                        KubernetesStatus.tooManyRequests(
                            "too many objects: list them in pages first"));
                  } else {
                    onRead.accept(
                        page.entries().stream()
                            .map(e -> KubernetesObject.fromRow(e.key(), e.value(), e.modRevision()))
                            .toList(),
                        page.revision());
                  }
                }),
        "read an object's scale");
  }

  /** Replaces what may change of an object. */
  void replace(ObjectReference reference, ObjectNode manifest, HttpExchange httpExchange) {
    List<FieldError> errors =
        translator.validate(reference.kind(), manifest, reference.namespace());
    if (errors.isEmpty()
        && !manifest.path("metadata").path("name").asText().equals(reference.name())) {
      errors.add(
          new FieldError("metadata.name", Cause.INVALID, "is not the name in the request's path"));
    }
    if (!errors.isEmpty()) {
      httpExchange.answer(KubernetesStatus.invalid(reference.displayName(), errors));
      return;
    }
    JsonNode metadata = manifest.path("metadata");
    ObjectNode spec =
        NativeJobTranslator.withDefaults(reference.kind(), (ObjectNode) manifest.get("spec"));
    update(
        reference,
        metadata.path("uid").asText(""),
        metadata.path("resourceVersion").asText(""),
        httpExchange,
        found -> UpdateStrategy.replace(found, metadata, spec, loop.wallMillis()));
  }

  void scale(ObjectReference reference, ObjectNode scale, HttpExchange httpExchange) {
    JsonNode replicas = scale.path("spec").path("replicas");
    JsonNode metadata = scale.path("metadata");
    List<FieldError> errors =
        UpdateStrategy.validateScale(scale, reference.name(), reference.namespace());
    if (!errors.isEmpty()) {
      httpExchange.answer(KubernetesStatus.invalid("scale of " + reference.displayName(), errors));
      return;
    }
    update(
        reference,
        metadata.path("uid").asText(""),
        metadata.path("resourceVersion").asText(""),
        asScale(httpExchange),
        found -> UpdateStrategy.scale(found, replicas.asInt()));
  }

  /** Gives answers about an object the form of its scale. */
  private static HttpExchange asScale(HttpExchange httpExchange) {
    return httpExchange.withAnswerFilter(
        (code, body, retryAfterSeconds) ->
            httpExchange.answer(
                code, code < 300 ? UpdateStrategy.toScale(body) : body, retryAfterSeconds));
  }

  void getScale(ObjectReference reference, HttpExchange httpExchange) {
    get(reference, asScale(httpExchange));
  }

  private void update(
      ObjectReference reference,
      String uid,
      String resourceVersion,
      HttpExchange httpExchange,
      UpdateStrategy.Update change) {
    tryUpdate(reference, uid, resourceVersion, httpExchange, change, MAX_ATTEMPTS, null);
  }

  private void tryUpdate(
      ObjectReference reference,
      String uid,
      String resourceVersion,
      HttpExchange httpExchange,
      UpdateStrategy.Update change,
      int attemptsLeft,
      KubernetesObject sent) {
    read(
        reference,
        httpExchange,
        found -> {
          if (found == null) {
            httpExchange.answer(KubernetesStatus.notFound(reference.displayName()));
            return;
          }
          if (sent != null && found.value().equals(sent.value())) {
            // An earlier try of the same write got through, though its answer was lost.
            httpExchange.answer(200, found.toJson(), 0);
            return;
          }
          boolean sameObject = uid.isEmpty() || uid.equals(found.uid());
          boolean currentVersion =
              resourceVersion.isEmpty()
                  || resourceVersion.equals(String.valueOf(found.resourceVersion()));
          if (!sameObject || !currentVersion || attemptsLeft == 0) {
            httpExchange.answer(KubernetesStatus.conflict(reference.displayName()));
            return;
          }
          UpdateStrategy.Result result = change.apply(found);
          if (!result.errors().isEmpty()) {
            httpExchange.answer(KubernetesStatus.invalid(reference.displayName(), result.errors()));
            return;
          }
          KubernetesObject next = result.next();
          if (next == found) {
            httpExchange.answer(200, found.toJson(), 0);
            return;
          }
          if (Cbor.encode(next.value()).length
              > settings.stateStoreLimits().maxValueBytes() * 3 / 4) {
            httpExchange.answer(KubernetesStatus.tooLarge("the object is too long to be kept"));
            return;
          }
          if (machineTypes.isEmpty()) {
            httpExchange.answer(
                KubernetesStatus.unavailable("the machine types are not known yet"));
            return;
          }
          String reasonNeverRuns =
              jobAdmission.findImpossibleReason(
                  translator.toJobSpec(next, KubernetesObject.nativeJobId(next.uid(), 1).value()));
          if (reasonNeverRuns != null) {
            httpExchange.answer(neverRunsStatus(next, reasonNeverRuns));
            return;
          }
          Futures.logFailure(
              store
                  .commit(
                      new Transaction()
                          .ifRevision(found.key(), found.resourceVersion())
                          .put(found.key(), next.value()))
                  .whenComplete(
                      (outcome, failure) -> {
                        if (failure != null) {
                          httpExchange.answer(failureStatus(failure));
                        } else if (outcome.applied()) {
                          httpExchange.answer(
                              200, next.withResourceVersion(outcome.revision()).toJson(), 0);
                        } else {
                          tryUpdate(
                              reference,
                              uid,
                              resourceVersion,
                              httpExchange,
                              change,
                              attemptsLeft - 1,
                              next);
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
  void delete(
      ObjectReference reference, ObjectNode options, String policy, HttpExchange httpExchange) {
    for (var fields = options.fieldNames(); fields.hasNext(); ) {
      String field = fields.next();
      if (!DELETE_OPTION_FIELDS.contains(field)) {
        httpExchange.answer(
            KubernetesStatus.invalid(
                "DeleteOptions",
                List.of(new FieldError(field, Cause.NOT_SUPPORTED, "the field is not supported"))));
        return;
      }
    }
    String requestedPolicy = options.path("propagationPolicy").asText(policy);
    if (!PROPAGATION_POLICIES.contains(requestedPolicy)) {
      httpExchange.answer(
          KubernetesStatus.invalid(
              "DeleteOptions",
              List.of(
                  new FieldError(
                      "propagationPolicy",
                      Cause.NOT_SUPPORTED,
                      "must be Background or Foreground: tasks do not outlive their object"))));
      return;
    }
    tryDelete(
        reference, options.path("preconditions"), requestedPolicy, httpExchange, MAX_ATTEMPTS);
  }

  private void tryDelete(
      ObjectReference reference,
      JsonNode preconditions,
      String policy,
      HttpExchange httpExchange,
      int attemptsLeft) {
    read(
        reference,
        httpExchange,
        found -> {
          if (found == null && attemptsLeft < MAX_ATTEMPTS) {
            // Conditional on a state that is gone: an earlier try of ours, or somebody else's.
            httpExchange.answer(
                200, KubernetesStatus.success(reference.kind().plural(), reference.name(), ""), 0);
            return;
          }
          if (found == null) {
            httpExchange.answer(KubernetesStatus.notFound(reference.displayName()));
            return;
          }
          boolean sameObject = preconditions.path("uid").asText(found.uid()).equals(found.uid());
          String resourceVersion = String.valueOf(found.resourceVersion());
          boolean currentVersion =
              preconditions.path("resourceVersion").asText(resourceVersion).equals(resourceVersion);
          if (!sameObject || !currentVersion || attemptsLeft == 0) {
            httpExchange.answer(KubernetesStatus.conflict(reference.displayName()));
            return;
          }
          long nowMillis = loop.wallMillis();
          Transaction transaction =
              new Transaction().ifRevision(found.key(), found.resourceVersion());
          KubernetesObject marked = found.withChange(v -> v.put("deleting", nowMillis));
          boolean background = policy.equals("Background");
          if (background) {
            transaction.delete(found.key()).put(found.deletedKey(), found.toDeletedRow(nowMillis));
            Tombstones.markDeletion(transaction, found.key(), nowMillis);
          } else if (found.isDeleting()) {
            httpExchange.answer(200, found.toJson(), 0);
            return;
          } else {
            transaction.put(found.key(), marked.value());
          }
          Futures.logFailure(
              store
                  .commit(transaction)
                  .whenComplete(
                      (outcome, failure) -> {
                        if (failure != null) {
                          httpExchange.answer(failureStatus(failure));
                        } else if (!outcome.applied()) {
                          tryDelete(
                              reference, preconditions, policy, httpExchange, attemptsLeft - 1);
                        } else if (background) {
                          httpExchange.answer(
                              200,
                              KubernetesStatus.success(
                                  reference.kind().plural(), reference.name(), found.uid()),
                              0);
                        } else {
                          httpExchange.answer(
                              200, marked.withResourceVersion(outcome.revision()).toJson(), 0);
                        }
                      }),
              "delete an object");
        });
  }
}
