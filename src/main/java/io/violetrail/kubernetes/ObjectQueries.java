package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.net.Futures;
import io.violetrail.state.StateStore;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.Entry;
import io.violetrail.wire.StateStoreMessages.ListPage;
import io.violetrail.wire.kubernetes.KubernetesStatus;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Answers reads of Kubernetes objects of any entity, at any controller. Called on the event loop's
 * thread. Holds no state.
 */
final class ObjectQueries {
  private final StateStore store;

  ObjectQueries(StateStore store) {
    this.store = store;
  }

  /**
   * Reads an object of any entity from the state service, so that no answer is older than an
   * earlier one. If the read fails, this method answers the exchange.
   *
   * @param onRead receives the object, or null if there is none; not called if the read fails
   */
  void read(
      ObjectReference reference, HttpExchange httpExchange, Consumer<KubernetesObject> onRead) {
    Futures.logFailure(
        store
            .getForUser(reference.key())
            .whenComplete(
                (entry, failure) -> {
                  if (failure != null) {
                    httpExchange.answer(ObjectErrors.stateUnavailable(failure));
                  } else {
                    onRead.accept(
                        entry.value() == null
                            ? null
                            : KubernetesObject.fromRow(
                                reference.key(), entry.value(), entry.modRevision()));
                  }
                }),
        "read a Kubernetes object");
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

  /** Answers with a page of objects; {@code continue} encodes the key of the last row read. */
  void list(ObjectKind kind, String namespace, ListOptions options, HttpExchange httpExchange) {
    String prefix = KubernetesObject.keyPrefix(kind, namespace);
    if (!options.continueAfter().isEmpty() && !options.continueAfter().startsWith(prefix)) {
      httpExchange.answer(
          KubernetesStatus.badRequest("continue: the token belongs to a different listing"));
      return;
    }
    Futures.logFailure(
        store
            .listPageForUser(prefix, options.continueAfter(), options.limit())
            .whenComplete(
                (page, failure) -> {
                  if (failure != null) {
                    httpExchange.answer(ObjectErrors.stateUnavailable(failure));
                    return;
                  }
                  httpExchange.answer(200, toList(kind, namespace, options, page), 0);
                }),
        "list Kubernetes objects");
  }

  private static ObjectNode toList(
      ObjectKind kind, String namespace, ListOptions options, ListPage page) {
    ObjectNode list = Cbor.newMap().put("kind", kind.publishedName() + "List");
    list.put("apiVersion", kind.apiVersion());
    ObjectNode metadata = list.putObject("metadata");
    metadata.put("resourceVersion", String.valueOf(page.revision()));
    if (page.more() && !page.entries().isEmpty()) {
      String lastKey = page.entries().get(page.entries().size() - 1).key();
      metadata.put("continue", ListOptions.encodeToken(lastKey));
    }
    var items = list.putArray("items");
    page.entries().stream()
        .map(ObjectQueries::toObject)
        .filter(options.filterFor(namespace))
        .forEach(object -> items.add(object.toJson()));
    return list;
  }

  private static KubernetesObject toObject(Entry entry) {
    return KubernetesObject.fromRow(entry.key(), entry.value(), entry.modRevision());
  }

  /**
   * Reads all current objects and their revision, for a watch that starts with them. If the read
   * fails or there are too many objects, this method answers the exchange.
   */
  void listAll(
      ObjectKind kind,
      String namespace,
      HttpExchange httpExchange,
      BiConsumer<List<KubernetesObject>, Long> onRead) {
    String prefix = KubernetesObject.keyPrefix(kind, namespace);
    Futures.logFailure(
        store
            .listPageForUser(prefix, "", 2 * ObjectCreator.MAX_OBJECTS)
            .whenComplete(
                (page, failure) -> {
                  if (failure != null) {
                    httpExchange.answer(ObjectErrors.stateUnavailable(failure));
                  } else if (page.more()) {
                    httpExchange.answer(
                        KubernetesStatus.tooManyRequests(
                            "more than "
                                + 2 * ObjectCreator.MAX_OBJECTS
                                + " objects: list them in pages, and watch from the listing's"
                                + " resourceVersion"));
                  } else {
                    onRead.accept(
                        page.entries().stream().map(ObjectQueries::toObject).toList(),
                        page.revision());
                  }
                }),
        "list Kubernetes objects for a watch");
  }
}
