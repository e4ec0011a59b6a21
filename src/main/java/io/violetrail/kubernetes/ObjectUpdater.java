package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.api.JobAdmission;
import io.violetrail.config.Settings;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.state.StateStore;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.kubernetes.FieldError;
import io.violetrail.wire.kubernetes.FieldError.Cause;
import io.violetrail.wire.kubernetes.KubernetesStatus;
import java.util.List;

/**
 * Updates Kubernetes objects of any entity, at any controller, by compare-and-swap of their rows.
 * An update that conflicts with another one is applied again to the new row, a limited number of
 * times. The entity's owner carries out the changes that follow from the update. Called on the
 * event loop's thread. Holds no state.
 */
final class ObjectUpdater {
  /**
   * Maximum number of attempts of an update that conflicts with others and names no resource
   * version.
   */
  private static final int MAX_ATTEMPTS = 5;

  private final EventLoop loop;
  private final Settings settings;
  private final StateStore store;
  private final MachineTypes machineTypes;
  private final JobAdmission jobAdmission;
  private final NativeJobTranslator translator;
  private final ObjectQueries queries;

  ObjectUpdater(
      EventLoop loop,
      Settings settings,
      StateStore store,
      MachineTypes machineTypes,
      JobAdmission jobAdmission,
      NativeJobTranslator translator,
      ObjectQueries queries) {
    this.loop = loop;
    this.settings = settings;
    this.store = store;
    this.machineTypes = machineTypes;
    this.jobAdmission = jobAdmission;
    this.translator = translator;
    this.queries = queries;
  }

  /** Replaces the mutable fields of an object with those of the manifest. */
  void replace(ObjectReference reference, ObjectNode manifest, HttpExchange httpExchange) {
    List<FieldError> errors =
        translator.validate(reference.kind(), manifest, reference.namespace());
    if (errors.isEmpty()
        && !manifest.path("metadata").path("name").asText().equals(reference.name())) {
      errors.add(
          new FieldError(
              "metadata.name",
              Cause.INVALID,
              "must be the name in the request's path, \"" + reference.name() + "\""));
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
        found -> UpdateRules.replace(found, metadata, spec, loop.wallMillis()));
  }

  /** Changes the number of replicas, and answers with the object's {@code Scale}. */
  void scale(ObjectReference reference, ObjectNode scale, HttpExchange httpExchange) {
    JsonNode replicas = scale.path("spec").path("replicas");
    JsonNode metadata = scale.path("metadata");
    List<FieldError> errors =
        UpdateRules.validateScale(scale, reference.name(), reference.namespace());
    if (!errors.isEmpty()) {
      httpExchange.answer(KubernetesStatus.invalid("scale of " + reference.displayName(), errors));
      return;
    }
    update(
        reference,
        metadata.path("uid").asText(""),
        metadata.path("resourceVersion").asText(""),
        asScale(httpExchange),
        found -> UpdateRules.scale(found, replicas.asInt()));
  }

  /** Converts the answer about an object to that about its {@code Scale}. */
  private static HttpExchange asScale(HttpExchange httpExchange) {
    return httpExchange.withAnswerFilter(
        (code, body, retryAfterSeconds) ->
            httpExchange.answer(
                code, code < 300 ? UpdateRules.toScale(body) : body, retryAfterSeconds));
  }

  void getScale(ObjectReference reference, HttpExchange httpExchange) {
    queries.get(reference, asScale(httpExchange));
  }

  /**
   * An update and its preconditions.
   *
   * @param uid the uid that the object must have; empty for any
   * @param resourceVersion the version that the object must have; empty for any
   */
  private record UpdateRequest(
      ObjectReference reference,
      String uid,
      String resourceVersion,
      UpdateRules.Update update,
      HttpExchange httpExchange) {
    /** Returns whether the object that was read meets the preconditions. */
    boolean matches(KubernetesObject found) {
      boolean sameObject = uid.isEmpty() || uid.equals(found.uid());
      boolean currentVersion =
          resourceVersion.isEmpty()
              || resourceVersion.equals(String.valueOf(found.resourceVersion()));
      return sameObject && currentVersion;
    }
  }

  private void update(
      ObjectReference reference,
      String uid,
      String resourceVersion,
      HttpExchange httpExchange,
      UpdateRules.Update change) {
    tryUpdate(
        new UpdateRequest(reference, uid, resourceVersion, change, httpExchange),
        MAX_ATTEMPTS,
        null);
  }

  /**
   * Reads the current row and applies the update to it.
   *
   * @param attemptedState the state that the previous attempt tried to write; null at the first
   *     attempt
   */
  private void tryUpdate(UpdateRequest request, int attemptsLeft, KubernetesObject attemptedState) {
    HttpExchange httpExchange = request.httpExchange();
    ObjectReference reference = request.reference();
    queries.read(
        reference,
        httpExchange,
        found -> {
          if (found == null) {
            httpExchange.answer(KubernetesStatus.notFound(reference.displayName()));
          } else if (attemptedState != null && !found.uid().equals(attemptedState.uid())) {
            // The object that the request began with is gone; this one has only its name.
            httpExchange.answer(KubernetesStatus.conflict(reference.displayName()));
          } else if (attemptedState != null && found.value().equals(attemptedState.value())) {
            // An earlier attempt of the same write was applied, but its reply was lost.
            httpExchange.answer(200, found.toJson(), 0);
          } else if (!request.matches(found) || attemptsLeft == 0) {
            httpExchange.answer(KubernetesStatus.conflict(reference.displayName()));
          } else {
            applyChange(request, attemptsLeft, found);
          }
        });
  }

  private void applyChange(UpdateRequest request, int attemptsLeft, KubernetesObject found) {
    HttpExchange httpExchange = request.httpExchange();
    UpdateRules.Result result = request.update().apply(found);
    KubernetesObject next = result.next();
    if (!result.errors().isEmpty()) {
      httpExchange.answer(
          KubernetesStatus.invalid(request.reference().displayName(), result.errors()));
    } else if (next == found) {
      httpExchange.answer(200, found.toJson(), 0);
    } else {
      KubernetesStatus refusal = findRefusal(next);
      if (refusal == null) {
        commit(request, attemptsLeft, found, next);
      } else {
        httpExchange.answer(refusal);
      }
    }
  }

  /** Returns why an object's next state cannot be stored, or null if it can be. */
  private KubernetesStatus findRefusal(KubernetesObject next) {
    if (Cbor.encode(next.value()).length > settings.stateStoreLimits().maxValueBytes() * 3 / 4) {
      return ObjectErrors.objectTooLarge();
    }
    if (machineTypes.isEmpty()) {
      return KubernetesStatus.unavailable("the machine types are not known yet; retry later");
    }
    String impossibleReason =
        jobAdmission.findImpossibleReason(
            translator.toJobSpec(next, KubernetesObject.nativeJobId(next.uid(), 1).value()));
    return impossibleReason == null ? null : ObjectErrors.impossibleJob(next, impossibleReason);
  }

  private void commit(
      UpdateRequest request, int attemptsLeft, KubernetesObject found, KubernetesObject next) {
    HttpExchange httpExchange = request.httpExchange();
    Futures.logFailure(
        store
            .commit(
                new Transaction()
                    .ifRevision(found.key(), found.resourceVersion())
                    .put(found.key(), next.value()))
            .whenComplete(
                (outcome, failure) -> {
                  if (failure != null) {
                    httpExchange.answer(ObjectErrors.stateUnavailable(failure));
                  } else if (outcome.applied()) {
                    httpExchange.answer(
                        200, next.withResourceVersion(outcome.revision()).toJson(), 0);
                  } else {
                    tryUpdate(request, attemptsLeft - 1, next);
                  }
                }),
        "update a Kubernetes object");
  }
}
