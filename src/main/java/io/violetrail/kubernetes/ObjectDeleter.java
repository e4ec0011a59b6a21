package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.state.StateStore;
import io.violetrail.state.Tombstones;
import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.kubernetes.FieldError;
import io.violetrail.wire.kubernetes.FieldError.Cause;
import io.violetrail.wire.kubernetes.KubernetesStatus;
import java.util.List;
import java.util.Set;
import java.util.function.LongConsumer;

/**
 * Deletes Kubernetes objects of any entity, at any controller. A background deletion removes the
 * object immediately and leaves a row from which the current or next owner of its entity reads
 * which tasks to stop. After a foreground deletion, the object remains until its tasks have
 * stopped. Called on the event loop's thread. Holds no state.
 */
final class ObjectDeleter {
  /**
   * Maximum number of attempts of a deletion that conflicts with updates and names no resource
   * version.
   */
  private static final int MAX_ATTEMPTS = 5;

  private static final String BACKGROUND = "Background";
  private static final Set<String> PROPAGATION_POLICIES = Set.of(BACKGROUND, "Foreground");
  private static final Set<String> DELETE_OPTION_FIELDS =
      Set.of("kind", "apiVersion", "propagationPolicy", "preconditions");

  private final EventLoop loop;
  private final StateStore store;
  private final ObjectQueries queries;

  ObjectDeleter(EventLoop loop, StateStore store, ObjectQueries queries) {
    this.loop = loop;
    this.store = store;
    this.queries = queries;
  }

  /**
   * Deletes an object.
   *
   * @param options the request's {@code DeleteOptions}, possibly empty
   * @param policy the propagation policy if the options name none
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
                      "must be Background or Foreground, not '"
                          + requestedPolicy
                          + "': tasks are stopped with their object"))));
      return;
    }
    tryDelete(
        new DeleteRequest(
            reference,
            options.path("preconditions"),
            requestedPolicy.equals(BACKGROUND),
            httpExchange),
        MAX_ATTEMPTS,
        null);
  }

  /** A deletion and its preconditions. */
  private record DeleteRequest(
      ObjectReference reference,
      JsonNode preconditions,
      boolean background,
      HttpExchange httpExchange) {
    boolean matches(KubernetesObject found) {
      boolean sameObject = preconditions.path("uid").asText(found.uid()).equals(found.uid());
      String resourceVersion = String.valueOf(found.resourceVersion());
      return sameObject
          && preconditions.path("resourceVersion").asText(resourceVersion).equals(resourceVersion);
    }

    void answerDeleted(String uid) {
      httpExchange.answer(
          200, KubernetesStatus.success(reference.kind().plural(), reference.name(), uid), 0);
    }
  }

  /**
   * Reads the object and deletes it. The request keeps to the object that its first attempt has
   * read: if there is none or another one by now, that object is deleted already, by an earlier
   * attempt whose reply was lost or by another request.
   *
   * @param attempted the object as the previous attempt has read it; null at the first attempt
   */
  private void tryDelete(DeleteRequest request, int attemptsLeft, KubernetesObject attempted) {
    HttpExchange httpExchange = request.httpExchange();
    ObjectReference reference = request.reference();
    queries.read(
        reference,
        httpExchange,
        found -> {
          if (attempted != null && (found == null || !found.uid().equals(attempted.uid()))) {
            request.answerDeleted(attempted.uid());
          } else if (attempted != null && !request.background() && found.isDeleting()) {
            // Marked by an earlier attempt of this request, or by another request.
            httpExchange.answer(200, found.toJson(), 0);
          } else if (found == null) {
            httpExchange.answer(KubernetesStatus.notFound(reference.displayName()));
          } else if (!request.matches(found) || attemptsLeft == 0) {
            httpExchange.answer(KubernetesStatus.conflict(reference.displayName()));
          } else if (request.background()) {
            deleteInBackground(request, attemptsLeft, found);
          } else if (found.isDeleting()) {
            httpExchange.answer(200, found.toJson(), 0);
          } else {
            markDeleting(request, attemptsLeft, found);
          }
        });
  }

  private void deleteInBackground(DeleteRequest request, int attemptsLeft, KubernetesObject found) {
    long nowMillis = loop.wallMillis();
    Transaction transaction =
        new Transaction()
            .ifRevision(found.key(), found.resourceVersion())
            .delete(found.key())
            .put(found.deletedKey(), found.toDeletedRow(nowMillis));
    Tombstones.markDeletion(transaction, found.key(), nowMillis);
    commit(
        request, attemptsLeft, found, transaction, revision -> request.answerDeleted(found.uid()));
  }

  /** Marks the object for deletion; the entity's owner deletes it once its tasks have stopped. */
  private void markDeleting(DeleteRequest request, int attemptsLeft, KubernetesObject found) {
    long nowMillis = loop.wallMillis();
    KubernetesObject marked = found.withChange(row -> row.put("deleting", nowMillis));
    commit(
        request,
        attemptsLeft,
        found,
        new Transaction()
            .ifRevision(found.key(), found.resourceVersion())
            .put(found.key(), marked.value()),
        revision ->
            request.httpExchange().answer(200, marked.withResourceVersion(revision).toJson(), 0));
  }

  private void commit(
      DeleteRequest request,
      int attemptsLeft,
      KubernetesObject found,
      Transaction transaction,
      LongConsumer onApplied) {
    Futures.logFailure(
        store
            .commit(transaction)
            .whenComplete(
                (outcome, failure) -> {
                  if (failure != null) {
                    request.httpExchange().answer(ObjectErrors.stateUnavailable(failure));
                  } else if (outcome.applied()) {
                    onApplied.accept(outcome.revision());
                  } else {
                    tryDelete(request, attemptsLeft - 1, found);
                  }
                }),
        "delete a Kubernetes object");
  }
}
