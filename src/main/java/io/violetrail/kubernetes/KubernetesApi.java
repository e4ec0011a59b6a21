package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.configuration.Configuration;
import io.violetrail.kubernetes.Exchange.Request;
import io.violetrail.model.ControllerId;
import io.violetrail.net.Loop;
import io.violetrail.wire.kubernetes.KubeJson;
import io.violetrail.wire.kubernetes.KubeJson.Malformed;
import io.violetrail.wire.kubernetes.KubeStatus;
import io.violetrail.wire.kubernetes.Refusal;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Finds out what a request is about, and answers everything else with a {@code Status}. */
public final class KubernetesApi {
  private static final Logger LOG = LoggerFactory.getLogger(KubernetesApi.class);
  private static final int MAX_BODY = 64 * 1024;

  /** Each holds a connection and some bytes on their way. */
  static final int MAX_WATCHES = 64;

  private static final Set<String> JSON = Set.of("", "application/json");

  private final Loop loop;
  private final Configuration configuration;
  private final Objects objects;
  private final Pods pods;
  private final Feed feed;

  KubernetesApi(Loop loop, Configuration configuration, Objects objects, Pods pods, Feed feed) {
    this.loop = loop;
    this.configuration = configuration;
    this.objects = objects;
    this.pods = pods;
    this.feed = feed;
  }

  /**
   * A request's path, taken apart: {@code namespace}, {@code name} and {@code part} may be null.
   */
  private record Target(String group, String plural, String namespace, String name, String part) {}

  /** Handles one request; a malformed one is answered with a Kubernetes {@code Status} object. */
  public void handle(Request request, Exchange to) {
    try {
      route(request, audited(request, to));
    } catch (Malformed e) {
      to.answer(
          KubeStatus.refused(
              "the request", List.of(new Refusal(e.path(), e.kind(), e.getMessage()))));
    }
  }

  /** Changes leave a line in the log with what became of them. */
  private static Exchange audited(Request request, Exchange to) {
    if (request.method().equals("GET")) {
      return to;
    }
    return to.through(
        (code, body, againS) -> {
          LOG.info(
              "kubernetes {} {}: {} {}",
              request.method(),
              request.path(),
              code,
              code < 300
                  ? body.path("metadata").path("name").asText()
                  : body.path("message").asText());
          to.answer(code, body, againS);
        });
  }

  private void route(Request r, Exchange to) throws Malformed {
    if (r.body().length > MAX_BODY) {
      to.answer(KubeStatus.tooLarge("the body is longer than " + MAX_BODY + " bytes"));
      return;
    }
    ObjectNode document = r.method().equals("GET") ? Discovery.of(r.path()) : null;
    if (document != null) {
      to.answer(200, document, 0);
    } else if (r.path().equals("/violetrail/pods")) {
      forPeer(r, to);
    } else {
      Target t = target(r.path());
      if (t == null) {
        to.answer(KubeStatus.notFound("the path"));
      } else if (t.group().isEmpty()) {
        core(r, t, to);
      } else {
        kept(r, t, to);
      }
    }
  }

  private static Target target(String path) {
    String[] p = path.split("/", -1);
    int at;
    String group;
    if (path.startsWith("/api/v1/")) {
      group = "";
      at = 3;
    } else if (path.startsWith("/apis/") && p.length > 4 && p[3].equals("v1")) {
      group = p[2];
      at = 4;
    } else {
      return null;
    }
    for (int i = at; i < p.length; i++) {
      if (!p[i].matches("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")) {
        return null;
      }
    }
    String namespace = null;
    if (p[at].equals("namespaces") && p.length > at + 2) {
      namespace = p[at + 1];
      at += 2;
    }
    int rest = p.length - at;
    if (rest > 3) {
      return null;
    }
    return new Target(
        group, p[at], namespace, rest > 1 ? p[at + 1] : null, rest > 2 ? p[at + 2] : null);
  }

  /** Namespaces and pods: they are shown, not kept. */
  private void core(Request r, Target t, Exchange to) throws Malformed {
    boolean listed = Set.of("namespaces", "pods").contains(t.plural()) && t.part() == null;
    if (!listed) {
      to.answer(KubeStatus.notFound("the path"));
    } else if (!r.method().equals("GET")) {
      to.answer(KubeStatus.notAllowed(t.plural() + " are shown only"));
    } else if (t.plural().equals("namespaces")) {
      if (t.name() == null) {
        to.answer(200, Discovery.namespaces(configuration.teams()), 0);
      } else if (configuration.team(t.name()) != null) {
        to.answer(200, Discovery.namespace(t.name()), 0);
      } else {
        to.answer(KubeStatus.notFound("namespaces \"" + t.name() + "\""));
      }
    } else if (t.name() != null) {
      pods.get(t.namespace(), t.name(), to);
    } else {
      Query query = Query.of(r.query());
      if (query.watch()) {
        to.answer(KubeStatus.notAllowed("pods cannot be watched; watch their Job or Deployment"));
      } else {
        pods.list(t.namespace(), query, to);
      }
    }
  }

  private void kept(Request r, Target t, Exchange to) throws Malformed {
    Kind kind = Kind.of(t.group(), t.plural());
    if (kind == null) {
      to.answer(KubeStatus.notFound("the path"));
    } else if (t.namespace() != null && configuration.team(t.namespace()) == null) {
      to.answer(KubeStatus.notFound("namespaces \"" + t.namespace() + "\""));
    } else if (t.name() == null) {
      collection(r, kind, t, to);
    } else if (t.namespace() == null) {
      to.answer(KubeStatus.notFound("the path"));
    } else if (t.part() == null) {
      one(r, kind, t, to);
    } else {
      part(r, kind, t, to);
    }
  }

  private void collection(Request r, Kind kind, Target t, Exchange to) throws Malformed {
    switch (r.method()) {
      case "GET" -> {
        Query query = Query.of(r.query());
        if (query.watch()) {
          watch(kind, t.namespace(), query, to);
        } else {
          objects.list(kind, t.namespace(), query, to);
        }
      }
      case "POST" -> {
        Query.known(r.query(), Set.of());
        if (t.namespace() == null) {
          to.answer(KubeStatus.notAllowed("objects are created in a namespace"));
          return;
        }
        ObjectNode manifest = body(r, to);
        if (manifest != null) {
          objects.create(kind, t.namespace(), manifest, to);
        }
      }
      default -> to.answer(KubeStatus.notAllowed(r.method() + " of a collection is not served"));
    }
  }

  private void one(Request r, Kind kind, Target t, Exchange to) throws Malformed {
    switch (r.method()) {
      case "GET" -> {
        Query.known(r.query(), Set.of("resourceVersion"));
        objects.get(new Ref(kind, t.namespace(), t.name()), to);
      }
      case "PUT" -> {
        Query.known(r.query(), Set.of());
        ObjectNode manifest = body(r, to);
        if (manifest != null) {
          objects.replace(new Ref(kind, t.namespace(), t.name()), manifest, to);
        }
      }
      case "DELETE" -> {
        Query.known(r.query(), Set.of("propagationPolicy"));
        String policy = r.query().getOrDefault("propagationPolicy", "Background");
        ObjectNode options = r.body().length == 0 ? KubeJson.object() : body(r, to);
        if (options != null) {
          objects.delete(new Ref(kind, t.namespace(), t.name()), options, policy, to);
        }
      }
      default ->
          to.answer(
              KubeStatus.notAllowed(
                  r.method() + " is not served; read the object, change it and PUT it"));
    }
  }

  private void part(Request r, Kind kind, Target t, Exchange to) throws Malformed {
    boolean scale = kind == Kind.DEPLOYMENT && t.part().equals("scale");
    if (!scale && !t.part().equals("status")) {
      to.answer(KubeStatus.notFound("the path"));
    } else if (r.method().equals("GET")) {
      Query.known(r.query(), Set.of());
      if (scale) {
        objects.getScale(new Ref(kind, t.namespace(), t.name()), to);
      } else {
        objects.get(new Ref(kind, t.namespace(), t.name()), to);
      }
    } else if (scale && r.method().equals("PUT")) {
      Query.known(r.query(), Set.of());
      ObjectNode body = body(r, to);
      if (body != null) {
        objects.scale(new Ref(kind, t.namespace(), t.name()), body, to);
      }
    } else {
      to.answer(KubeStatus.notAllowed("a status is written by its object's owner alone"));
    }
  }

  /** The body as JSON; null if the answer has been given. */
  private static ObjectNode body(Request r, Exchange to) throws Malformed {
    String type = r.type() == null ? "" : r.type().split(";", 0)[0].strip();
    if (!JSON.contains(type)) {
      to.answer(KubeStatus.unsupportedMedia("only application/json is read, not " + type));
      return null;
    }
    return KubeJson.parse(r.body());
  }

  private void watch(Kind kind, String namespace, Query query, Exchange to) {
    if (!feed.ready()) {
      to.answer(KubeStatus.unavailable("this controller has not read the objects yet"));
      return;
    }
    if (feed.followers() >= MAX_WATCHES) {
      to.answer(KubeStatus.tooMany("this controller has " + MAX_WATCHES + " watches already"));
      return;
    }
    Watch watch = new Watch(kind, query.in(namespace), loop, feed, query.bookmarks());
    if (!query.version().isEmpty()) {
      watch.begin(to, List.of(), Long.parseLong(query.version()), query.forS());
      return;
    }
    objects.all(
        kind, namespace, to, (first, revision) -> watch.begin(to, first, revision, query.forS()));
  }

  /** Another controller asks for the pods of an entity that it takes to be owned here. */
  private void forPeer(Request r, Exchange to) throws Malformed {
    var q = new java.util.HashMap<>(r.query());
    String entity = q.remove("entity");
    String namespace = q.remove("namespace");
    String name = q.remove("name");
    Query query = Query.of(q);
    if (name != null) {
      query = new Query(query.labels(), name, query.limit(), query.after(), false, false, "", 0);
    }
    ObjectNode page =
        entity == null ? null : pods.forPeer(new ControllerId(entity), namespace, query);
    if (page == null) {
      to.answer(KubeStatus.unavailable("the entity is not owned here"));
    } else {
      to.answer(200, page, 0);
    }
  }
}
