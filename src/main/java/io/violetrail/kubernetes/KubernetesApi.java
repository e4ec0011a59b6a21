package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.configuration.Configuration;
import io.violetrail.kubernetes.HttpExchange.Request;
import io.violetrail.model.ControllerId;
import io.violetrail.net.EventLoop;
import io.violetrail.wire.kubernetes.FieldError;
import io.violetrail.wire.kubernetes.KubernetesJson;
import io.violetrail.wire.kubernetes.KubernetesJson.MalformedRequestException;
import io.violetrail.wire.kubernetes.KubernetesStatus;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Routes the requests of the Kubernetes API to their handlers. A request that no handler serves is
 * answered with a Kubernetes {@code Status} object. Called on the event loop's thread.
 */
public final class KubernetesApi {
  private static final Logger LOG = LoggerFactory.getLogger(KubernetesApi.class);
  private static final int MAX_BODY_BYTES = 64 * 1024;

  /**
   * Maximum number of open watches of a controller. Each holds a connection and a buffer of unsent
   * bytes.
   */
  static final int MAX_WATCHES = 64;

  private static final Set<String> JSON_MEDIA_TYPES = Set.of("", "application/json");

  private final EventLoop loop;
  private final Configuration configuration;
  private final ObjectQueries objectQueries;
  private final ObjectCreator objectCreator;
  private final ObjectUpdater objectUpdater;
  private final ObjectDeleter objectDeleter;
  private final PodLister podLister;
  private final WatchCache watchCache;

  KubernetesApi(
      EventLoop loop,
      Configuration configuration,
      ObjectQueries objectQueries,
      ObjectCreator objectCreator,
      ObjectUpdater objectUpdater,
      ObjectDeleter objectDeleter,
      PodLister podLister,
      WatchCache watchCache) {
    this.loop = loop;
    this.configuration = configuration;
    this.objectQueries = objectQueries;
    this.objectCreator = objectCreator;
    this.objectUpdater = objectUpdater;
    this.objectDeleter = objectDeleter;
    this.podLister = podLister;
    this.watchCache = watchCache;
  }

  /**
   * The components of a request's path. {@code namespace}, {@code name} and {@code subresource} may
   * be null.
   */
  private record ResourcePath(
      String group, String plural, String namespace, String name, String subresource) {}

  /** Handles one request; a malformed one is answered with a Kubernetes {@code Status} object. */
  public void handle(Request request, HttpExchange httpExchange) {
    try {
      route(request, withAuditLog(request, httpExchange));
    } catch (MalformedRequestException exception) {
      httpExchange.answer(
          KubernetesStatus.invalid(
              "the request",
              List.of(
                  new FieldError(
                      exception.path(), exception.errorCause(), exception.getMessage()))));
    }
  }

  /** Wraps the exchange of a request other than GET so that its result is logged. */
  private static HttpExchange withAuditLog(Request request, HttpExchange httpExchange) {
    if (request.method().equals("GET")) {
      return httpExchange;
    }
    return httpExchange.withAnswerFilter(
        (code, body, retryAfterSeconds) -> {
          LOG.info(
              "kubernetes {} {}: {} {}",
              request.method(),
              request.path(),
              code,
              code < 300
                  ? body.path("metadata").path("name").asText()
                  : body.path("message").asText());
          httpExchange.answer(code, body, retryAfterSeconds);
        });
  }

  private void route(Request request, HttpExchange httpExchange) throws MalformedRequestException {
    if (request.body().length > MAX_BODY_BYTES) {
      httpExchange.answer(
          KubernetesStatus.tooLarge(
              "the body has " + request.body().length + " bytes; the limit is " + MAX_BODY_BYTES));
      return;
    }
    ObjectNode document =
        request.method().equals("GET") ? Discovery.findDocument(request.path()) : null;
    if (document != null) {
      httpExchange.answer(200, document, 0);
    } else if (request.path().equals("/violetrail/pods")) {
      handlePeerRequest(request, httpExchange);
    } else {
      ResourcePath path = findResourcePath(request.path());
      if (path == null) {
        httpExchange.answer(KubernetesStatus.notFound("path " + request.path()));
      } else if (path.group().isEmpty()) {
        handleCoreGroup(request, path, httpExchange);
      } else {
        handleStoredKind(request, path, httpExchange);
      }
    }
  }

  private static ResourcePath findResourcePath(String path) {
    String[] segments = path.split("/", -1);
    int index;
    String group;
    if (path.startsWith("/api/v1/")) {
      group = "";
      index = 3;
    } else if (path.startsWith("/apis/") && segments.length > 4 && segments[3].equals("v1")) {
      group = segments[2];
      index = 4;
    } else {
      return null;
    }
    for (int i = index; i < segments.length; i++) {
      if (!segments[i].matches("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")) {
        return null;
      }
    }
    String namespace = null;
    if (segments[index].equals("namespaces") && segments.length > index + 2) {
      namespace = segments[index + 1];
      index += 2;
    }
    int remaining = segments.length - index;
    if (remaining > 3) {
      return null;
    }
    return new ResourcePath(
        group,
        segments[index],
        namespace,
        remaining > 1 ? segments[index + 1] : null,
        remaining > 2 ? segments[index + 2] : null);
  }

  /** Serves namespaces and pods. They are derived from teams and tasks and not stored. */
  private void handleCoreGroup(Request request, ResourcePath path, HttpExchange httpExchange)
      throws MalformedRequestException {
    boolean served =
        Set.of("namespaces", "pods").contains(path.plural()) && path.subresource() == null;
    if (!served) {
      httpExchange.answer(KubernetesStatus.notFound("path " + request.path()));
    } else if (!request.method().equals("GET")) {
      httpExchange.answer(KubernetesStatus.methodNotAllowed(path.plural() + " are read-only"));
    } else if (path.plural().equals("namespaces")) {
      if (path.name() == null) {
        httpExchange.answer(200, Discovery.namespaceListDocument(configuration.teams()), 0);
      } else if (configuration.findTeam(path.name()) != null) {
        httpExchange.answer(200, Discovery.namespaceDocument(path.name()), 0);
      } else {
        httpExchange.answer(KubernetesStatus.notFound("namespaces \"" + path.name() + "\""));
      }
    } else if (path.name() != null) {
      podLister.get(path.namespace(), path.name(), httpExchange);
    } else {
      ListOptions options = ListOptions.parse(request.query());
      if (options.watch()) {
        httpExchange.answer(
            KubernetesStatus.methodNotAllowed(
                "pods cannot be watched; watch their Job or Deployment"));
      } else {
        podLister.list(path.namespace(), options, httpExchange);
      }
    }
  }

  private void handleStoredKind(Request request, ResourcePath path, HttpExchange httpExchange)
      throws MalformedRequestException {
    ObjectKind kind = ObjectKind.find(path.group(), path.plural());
    if (kind == null) {
      httpExchange.answer(KubernetesStatus.notFound("path " + request.path()));
    } else if (path.namespace() != null && configuration.findTeam(path.namespace()) == null) {
      httpExchange.answer(KubernetesStatus.notFound("namespaces \"" + path.namespace() + "\""));
    } else if (path.name() == null) {
      handleCollection(request, kind, path, httpExchange);
    } else if (path.namespace() == null) {
      httpExchange.answer(KubernetesStatus.notFound("path " + request.path()));
    } else if (path.subresource() == null) {
      handleObject(request, kind, path, httpExchange);
    } else {
      handleSubresource(request, kind, path, httpExchange);
    }
  }

  private void handleCollection(
      Request request, ObjectKind kind, ResourcePath path, HttpExchange httpExchange)
      throws MalformedRequestException {
    switch (request.method()) {
      case "GET" -> {
        ListOptions options = ListOptions.parse(request.query());
        if (options.watch()) {
          startWatch(kind, path.namespace(), options, httpExchange);
        } else {
          objectQueries.list(kind, path.namespace(), options, httpExchange);
        }
      }
      case "POST" -> {
        ListOptions.requireSupported(request.query(), Set.of());
        if (path.namespace() == null) {
          httpExchange.answer(
              KubernetesStatus.methodNotAllowed(
                  "objects can only be created in a namespace: POST to namespaces/NAMESPACE/"
                      + path.plural()));
          return;
        }
        ObjectNode manifest = readBody(request, httpExchange);
        if (manifest != null) {
          objectCreator.create(kind, path.namespace(), manifest, httpExchange);
        }
      }
      default ->
          httpExchange.answer(
              KubernetesStatus.methodNotAllowed(
                  request.method() + " is not supported on a collection; use GET or POST"));
    }
  }

  private void handleObject(
      Request request, ObjectKind kind, ResourcePath path, HttpExchange httpExchange)
      throws MalformedRequestException {
    switch (request.method()) {
      case "GET" -> {
        ListOptions.requireSupported(request.query(), Set.of("resourceVersion"));
        objectQueries.get(new ObjectReference(kind, path.namespace(), path.name()), httpExchange);
      }
      case "PUT" -> {
        ListOptions.requireSupported(request.query(), Set.of());
        ObjectNode manifest = readBody(request, httpExchange);
        if (manifest != null) {
          objectUpdater.replace(
              new ObjectReference(kind, path.namespace(), path.name()), manifest, httpExchange);
        }
      }
      case "DELETE" -> {
        ListOptions.requireSupported(request.query(), Set.of("propagationPolicy"));
        String policy = request.query().getOrDefault("propagationPolicy", "Background");
        ObjectNode options =
            request.body().length == 0
                ? KubernetesJson.newObject()
                : readBody(request, httpExchange);
        if (options != null) {
          objectDeleter.delete(
              new ObjectReference(kind, path.namespace(), path.name()),
              options,
              policy,
              httpExchange);
        }
      }
      default ->
          httpExchange.answer(
              KubernetesStatus.methodNotAllowed(
                  request.method()
                      + " is not supported on an object; GET it, change it and PUT it"));
    }
  }

  private void handleSubresource(
      Request request, ObjectKind kind, ResourcePath path, HttpExchange httpExchange)
      throws MalformedRequestException {
    boolean isScale = kind == ObjectKind.DEPLOYMENT && path.subresource().equals("scale");
    if (!isScale && !path.subresource().equals("status")) {
      httpExchange.answer(KubernetesStatus.notFound("path " + request.path()));
    } else if (request.method().equals("GET")) {
      ListOptions.requireSupported(request.query(), Set.of());
      if (isScale) {
        objectUpdater.getScale(
            new ObjectReference(kind, path.namespace(), path.name()), httpExchange);
      } else {
        objectQueries.get(new ObjectReference(kind, path.namespace(), path.name()), httpExchange);
      }
    } else if (isScale && request.method().equals("PUT")) {
      ListOptions.requireSupported(request.query(), Set.of());
      ObjectNode body = readBody(request, httpExchange);
      if (body != null) {
        objectUpdater.scale(
            new ObjectReference(kind, path.namespace(), path.name()), body, httpExchange);
      }
    } else {
      httpExchange.answer(
          KubernetesStatus.methodNotAllowed(
              request.method()
                  + " is not supported on "
                  + path.subresource()
                  + ": a status is written only by the controller that owns the object,"
                  + " and a scale accepts GET and PUT"));
    }
  }

  /** Parses the body as JSON; returns null after answering that its media type is unsupported. */
  private static ObjectNode readBody(Request request, HttpExchange httpExchange)
      throws MalformedRequestException {
    String mediaType =
        request.mediaType() == null ? "" : request.mediaType().split(";", 0)[0].strip();
    if (!JSON_MEDIA_TYPES.contains(mediaType)) {
      httpExchange.answer(
          KubernetesStatus.unsupportedMediaType(
              "the media type must be application/json, not " + mediaType));
      return null;
    }
    return KubernetesJson.parse(request.body());
  }

  private void startWatch(
      ObjectKind kind, String namespace, ListOptions options, HttpExchange httpExchange) {
    if (!watchCache.isReady()) {
      httpExchange.answer(
          KubernetesStatus.unavailable(
              "this controller has not read the objects yet; retry later"));
      return;
    }
    if (watchCache.watcherCount() >= MAX_WATCHES) {
      httpExchange.answer(
          KubernetesStatus.tooManyRequests(
              "this controller already serves its maximum of " + MAX_WATCHES + " watches"));
      return;
    }
    ClientWatch watch =
        new ClientWatch(
            kind, options.filterFor(namespace), loop, watchCache, options.allowWatchBookmarks());
    if (!options.resourceVersion().isEmpty()) {
      watch.start(
          httpExchange,
          List.of(),
          Long.parseLong(options.resourceVersion()),
          options.timeoutSeconds());
      return;
    }
    objectQueries.listAll(
        kind,
        namespace,
        httpExchange,
        (objects, revision) ->
            watch.start(httpExchange, objects, revision, options.timeoutSeconds()));
  }

  /** Answers another controller that requests the pods of an entity from its presumed owner. */
  private void handlePeerRequest(Request request, HttpExchange httpExchange)
      throws MalformedRequestException {
    var parameters = new java.util.HashMap<>(request.query());
    String entity = parameters.remove("entity");
    String namespace = parameters.remove("namespace");
    String name = parameters.remove("name");
    ListOptions options = ListOptions.parse(parameters);
    if (name != null) {
      options =
          new ListOptions(
              options.labelSelector(),
              name,
              options.limit(),
              options.continueAfter(),
              false,
              false,
              "",
              0);
    }
    ObjectNode page =
        entity == null ? null : podLister.listForPeer(new ControllerId(entity), namespace, options);
    if (page == null) {
      httpExchange.answer(
          KubernetesStatus.unavailable(
              "this controller cannot list the pods of entity "
                  + entity
                  + ": it does not own the entity, its lease has expired or it has not read the"
                  + " entity's objects yet"));
    } else {
      httpExchange.answer(200, page, 0);
    }
  }
}
