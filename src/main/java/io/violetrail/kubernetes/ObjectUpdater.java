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
 * Changes kept objects, at any controller and for all of them, by compare-and-swap of their rows; a
 * change that loses against another one is made again from the new row, a few times. What follows
 * from a change is the work of the entity's owner. Called on the event loop's thread; keeps
 * nothing.
 */
final class ObjectUpdater {
  /** Changes that name no version are tried this often against others. */
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

  /** Changes the number of replicas; answers with the object's scale. */
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
    queries.get(reference, asScale(httpExchange));
  }

  /** A change to an object and what its client expects of the object that is changed. */
  private record UpdateRequest(
      ObjectReference reference,
      String uid,
      String resourceVersion,
      UpdateStrategy.Update change,
      HttpExchange httpExchange) {
    /** Whether the client means the object as it was found; empty expectations match any. */
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
      UpdateStrategy.Update change) {
    tryUpdate(
        new UpdateRequest(reference, uid, resourceVersion, change, httpExchange),
        MAX_ATTEMPTS,
        null);
  }

  /**
   * Makes a change from the row as it is now.
   *
   * @param sent the state that an earlier try has sent; null at the first
   */
  private void tryUpdate(UpdateRequest request, int attemptsLeft, KubernetesObject sent) {
    HttpExchange httpExchange = request.httpExchange();
    ObjectReference reference = request.reference();
    queries.read(
        reference,
        httpExchange,
        found -> {
          if (found == null) {
            httpExchange.answer(KubernetesStatus.notFound(reference.displayName()));
          } else if (sent != null && found.value().equals(sent.value())) {
            // An earlier try of the same write was applied, though its answer was lost.
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
    UpdateStrategy.Result result = request.change().apply(found);
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

  /** Why an object's next state is not stored; null if nothing speaks against it. */
  private KubernetesStatus findRefusal(KubernetesObject next) {
    if (Cbor.encode(next.value()).length > settings.stateStoreLimits().maxValueBytes() * 3 / 4) {
      return ObjectErrors.rowTooLong();
    }
    if (machineTypes.isEmpty()) {
      return KubernetesStatus.unavailable("the machine types are not known yet");
    }
    String reasonNeverRuns =
        jobAdmission.findImpossibleReason(
            translator.toJobSpec(next, KubernetesObject.nativeJobId(next.uid(), 1).value()));
    return reasonNeverRuns == null ? null : ObjectErrors.neverRuns(next, reasonNeverRuns);
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
        "replace an object");
  }
}
