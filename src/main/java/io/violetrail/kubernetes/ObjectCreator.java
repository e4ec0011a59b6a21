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
 * Creates Kubernetes objects, each as an object of the home entity of the controller that receives
 * the request. A Job is stored with its native job in one transaction, so that neither exists
 * without the other, unless it is created suspended. For any other object, the entity's owner
 * submits the native jobs later. An object is stored before its creation is answered with 201.
 * Called on the event loop's thread. Holds no state.
 */
final class ObjectCreator {
  /** Maximum number of objects of a kind in a namespace. */
  static final int MAX_OBJECTS = 500;

  /**
   * A new object may use half of the maximum row size; its status and its native jobs are added to
   * the row later.
   */
  private static final int NEW_OBJECT_ROW_SIZE_DIVISOR = 2;

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

  /** Creates the object that a manifest describes, or answers with the errors in the manifest. */
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
              closedReason == null
                  ? "this controller has not read the objects yet; retry later"
                  : closedReason));
      return;
    }
    OwnedEntity homeEntity = membership.findHomeEntity();
    if (watchCache.objectCount(kind, namespace) >= MAX_OBJECTS) {
      httpExchange.answer(
          KubernetesStatus.tooManyRequests(
              "namespace "
                  + namespace
                  + " holds the maximum of "
                  + MAX_OBJECTS
                  + " "
                  + kind.plural()
                  + "; delete some before you create more"));
      return;
    }
    store(newObject(kind, namespace, givenName, manifest, homeEntity), homeEntity, httpExchange);
  }

  private void store(KubernetesObject object, OwnedEntity homeEntity, HttpExchange httpExchange) {
    int sizeBytes = Cbor.encode(object.value()).length;
    if (sizeBytes > settings.stateStoreLimits().maxValueBytes() / NEW_OBJECT_ROW_SIZE_DIVISOR) {
      httpExchange.answer(ObjectErrors.objectTooLarge());
      return;
    }
    JobId id = KubernetesObject.nativeJobId(object.uid(), 1);
    JobSpec spec = translator.toJobSpec(object, id.value());
    String impossibleReason = jobAdmission.findImpossibleReason(spec);
    if (impossibleReason != null) {
      httpExchange.answer(ObjectErrors.impossibleJob(object, impossibleReason));
    } else if (object.kind() == ObjectKind.JOB && !object.spec().path("suspend").asBoolean()) {
      createWithJob(object, spec, sizeBytes, httpExchange);
    } else {
      createWithoutJob(object, homeEntity, httpExchange);
    }
  }

  /**
   * Returns the object that a manifest describes. With a request id, its uid and name are derived
   * from the request, so a repeated request describes the same object.
   */
  private KubernetesObject newObject(
      ObjectKind kind,
      String namespace,
      String givenName,
      ObjectNode manifest,
      OwnedEntity homeEntity) {
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
            ? namePrefix + KubernetesObject.sha256Hex(uid.toString()).substring(0, 7)
            : givenName;
    KubernetesObject object =
        KubernetesObject.create(
            kind, namespace, name, manifest, homeEntity.id(), uid.toString(), loop.wallMillis());
    if (kind == ObjectKind.JOB) {
      KubernetesObject.addNativeJob(object.value(), 1, "");
    }
    return object;
  }

  /** Stores a Job with its native job in one transaction, after the usual job admission. */
  private void createWithJob(
      KubernetesObject object, JobSpec spec, int sizeBytes, HttpExchange httpExchange) {
    Futures.logFailure(
        jobAdmission
            .admit(spec, new CoWrittenRow(object.key(), 0, object.value(), sizeBytes))
            .thenAccept(
                decision -> {
                  if (decision.verdict() == Verdict.ACCEPTED && decision.revision() > 0) {
                    httpExchange.answer(
                        201, object.withResourceVersion(decision.revision()).toJson(), 0);
                  } else if (decision.verdict() == Verdict.IMPOSSIBLE) {
                    httpExchange.answer(ObjectErrors.impossibleJob(object, decision.reason()));
                  } else if (decision.verdict() == Verdict.LATER) {
                    httpExchange.answer(KubernetesStatus.unavailable(decision.reason()));
                  } else if (decision.verdict() == Verdict.ACCEPTED) {
                    answerCreatedEarlier(object, httpExchange);
                  } else {
                    answerExisting(object, 200, httpExchange);
                  }
                }),
        "admit the native job of a new Job");
  }

  private void createWithoutJob(
      KubernetesObject object, OwnedEntity homeEntity, HttpExchange httpExchange) {
    Futures.logFailure(
        Tombstones.draftCreation(store, homeEntity::fencedTransaction, object.key(), object.value())
            .thenCompose(store::commit)
            .whenComplete(
                (outcome, failure) -> {
                  if (failure != null) {
                    httpExchange.answer(ObjectErrors.stateUnavailable(failure));
                  } else if (outcome.applied()) {
                    httpExchange.answer(
                        201, object.withResourceVersion(outcome.revision()).toJson(), 0);
                  } else if (outcome.failedKeys().contains(object.key())) {
                    // Either another object has this name, or an earlier attempt of this write was
                    // applied.
                    answerExisting(object, 201, httpExchange);
                  } else {
                    httpExchange.answer(
                        KubernetesStatus.unavailable(
                            "the object was not stored: the entity's row or the tombstone of the"
                                + " name was changed at the same time; retry"));
                  }
                }),
        "store a new Kubernetes object");
  }

  /**
   * Answers a creation that was applied by an attempt whose reply was lost. Others may have changed
   * the object since; if it is deleted already, the answer shows it as it was created.
   */
  private void answerCreatedEarlier(KubernetesObject object, HttpExchange httpExchange) {
    queries.read(
        object.reference(),
        httpExchange,
        found -> {
          boolean stillExists = found != null && found.uid().equals(object.uid());
          httpExchange.answer(201, (stillExists ? found : object).toJson(), 0);
        });
  }

  /**
   * Answers a creation whose name is taken: with {@code code} if an earlier attempt of the same
   * creation has stored the object, with a conflict if it is another object.
   */
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
