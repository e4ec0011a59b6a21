package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.api.CoWrittenRow;
import io.violetrail.api.JobAdmission;
import io.violetrail.api.JobAdmission.Verdict;
import io.violetrail.config.Settings;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.state.StateStore;
import io.violetrail.state.Tombstones;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.FieldError;
import io.violetrail.wire.kubernetes.KubernetesStatus;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.UUID;

/**
 * Creates kept objects, at any controller, as objects of its home entity. A Job is stored with its
 * native job by one transaction, so that neither exists without the other; what follows from any
 * other object is its entity's owner's work. Called on the event loop's thread; keeps nothing, and
 * what was answered with 201 is stored.
 */
final class ObjectCreator {
  /** Objects of a kind in one namespace. */
  static final int MAX_OBJECTS = 500;

  /** A new object may take half of a row: its status and its native jobs are added to it. */
  private static final int MAX_FRACTION_OF_ROW = 2;

  private final EventLoop loop;
  private final Random random;
  private final Settings settings;
  private final StateStore store;
  private final Membership membership;
  private final JobAdmission jobAdmission;
  private final NativeJobTranslator translator;
  private final WatchCache watchCache;
  private final ObjectQueries queries;

  ObjectCreator(
      EventLoop loop,
      Random random,
      Settings settings,
      StateStore store,
      Membership membership,
      JobAdmission jobAdmission,
      NativeJobTranslator translator,
      WatchCache watchCache,
      ObjectQueries queries) {
    this.loop = loop;
    this.random = random;
    this.settings = settings;
    this.store = store;
    this.membership = membership;
    this.jobAdmission = jobAdmission;
    this.translator = translator;
    this.watchCache = watchCache;
    this.queries = queries;
  }

  /** Creates the object of a manifest, or answers what is wrong with it. */
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
    store(newObject(kind, namespace, givenName, manifest, ownEntity), ownEntity, httpExchange);
  }

  private void store(KubernetesObject object, OwnedEntity ownEntity, HttpExchange httpExchange) {
    int bytes = Cbor.encode(object.value()).length;
    if (bytes > settings.stateStoreLimits().maxValueBytes() / MAX_FRACTION_OF_ROW) {
      httpExchange.answer(ObjectErrors.rowTooLong());
      return;
    }
    JobId id = KubernetesObject.nativeJobId(object.uid(), 1);
    JobSpec spec = translator.toJobSpec(object, id.value());
    String reasonNeverRuns = jobAdmission.findImpossibleReason(spec);
    if (reasonNeverRuns != null) {
      httpExchange.answer(ObjectErrors.neverRuns(object, reasonNeverRuns));
    } else if (object.kind() == ObjectKind.JOB && !object.spec().path("suspend").asBoolean()) {
      createWithJob(object, spec, bytes, httpExchange);
    } else {
      createAlone(object, ownEntity, httpExchange);
    }
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

  /** Stores a Job with its native job by one transaction, through the admission of all jobs. */
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
                    httpExchange.answer(ObjectErrors.neverRuns(object, decision.reason()));
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
                    httpExchange.answer(ObjectErrors.stateUnavailable(failure));
                  } else if (outcome.applied()) {
                    httpExchange.answer(
                        201, object.withResourceVersion(outcome.revision()).toJson(), 0);
                  } else if (outcome.failedKeys().contains(object.key())) {
                    // Another object has the name, or an earlier try of this very write was
                    // applied.
                    answerExisting(object, 201, httpExchange);
                  } else {
                    httpExchange.answer(
                        KubernetesStatus.unavailable("the entity or what was deleted has changed"));
                  }
                }),
        "store an object");
  }

  private void answerExisting(KubernetesObject object, int code, HttpExchange httpExchange) {
    queries.read(
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
}
