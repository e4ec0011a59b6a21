package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.kubernetes.KubeObject.Part;
import io.violetrail.model.ControllerId;
import io.violetrail.net.Futures;
import io.violetrail.net.Http;
import io.violetrail.ownership.Directory;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.Placement;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubeJson;
import io.violetrail.wire.kubernetes.KubeStatus;
import io.violetrail.wire.kubernetes.Selector;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Tasks of kept objects, shown as pods. They are not kept: their owner tells of them as it sees
 * them, and a listing asks every owner. If one does not answer there is no listing rather than a
 * part of one.
 */
final class Pods {
  private static final double PEER_S = 1.5;

  private final Settings settings;
  private final Directory directory;
  private final Membership membership;
  private final Keeper keeper;
  private final Http http;
  private final int port;

  Pods(
      Settings settings,
      Directory directory,
      Membership membership,
      Keeper keeper,
      Http http,
      int port) {
    this.settings = settings;
    this.directory = directory;
    this.membership = membership;
    this.keeper = keeper;
    this.http = http;
    this.port = port;
  }

  private static Comparator<JsonNode> inOrder() {
    return Comparator.comparing(Pods::order);
  }

  private static String order(JsonNode pod) {
    return pod.path("metadata").path("namespace").asText()
        + "/"
        + pod.path("metadata").path("name").asText();
  }

  /** All pods that are asked for, of all entities. */
  void list(String namespace, Query query, Exchange to) {
    List<CompletableFuture<List<ObjectNode>>> all = new ArrayList<>();
    for (ControllerId entity : settings.controllers()) {
      all.add(of(entity, namespace, query));
    }
    Futures.logFailure(
        CompletableFuture.allOf(all.toArray(CompletableFuture[]::new))
            .whenComplete(
                (nothing, failure) -> {
                  if (failure != null) {
                    to.answer(KubeStatus.unavailable("an owner of tasks does not answer"));
                    return;
                  }
                  List<ObjectNode> pods = new ArrayList<>();
                  all.forEach(f -> pods.addAll(f.join()));
                  pods.sort(inOrder());
                  to.answer(200, page(pods, query), 0);
                }),
        "collect tasks from their owners");
  }

  private static ObjectNode page(List<ObjectNode> pods, Query query) {
    ObjectNode m = Cbor.map().put("kind", "PodList").put("apiVersion", "v1");
    ObjectNode meta = m.putObject("metadata").put("resourceVersion", "");
    var items = m.putArray("items");
    for (ObjectNode pod : pods) {
      if (items.size() == query.limit()) {
        meta.put("continue", Query.token(order(items.get(items.size() - 1))));
        break;
      }
      items.add(pod);
    }
    return m;
  }

  void get(String namespace, String name, Exchange to) {
    Query one = new Query(Selector.ALL, name, 1, "", false, false, "", 0);
    list(
        namespace,
        one,
        to.through(
            (code, body, againS) -> {
              JsonNode pod = body.path("items").path(0);
              if (code == 200 && pod.isMissingNode()) {
                to.answer(KubeStatus.notFound("pods \"" + name + "\""));
              } else {
                to.answer(code, code == 200 ? (ObjectNode) pod : body, againS);
              }
            }));
  }

  private CompletableFuture<List<ObjectNode>> of(
      ControllerId entity, String namespace, Query query) {
    List<ObjectNode> own = held(entity, namespace, query);
    if (own != null) {
      return CompletableFuture.completedFuture(own);
    }
    ControllerId owner = directory.ownerOf(entity);
    var peer = owner == null ? null : settings.peers().get(owner);
    if (peer == null || !directory.isAlive(owner)) {
      return CompletableFuture.failedFuture(new IllegalStateException("no owner to ask"));
    }
    String path =
        "/violetrail/pods?entity="
            + entity
            + (namespace == null ? "" : "&namespace=" + namespace)
            + (query.name() == null ? "" : "&name=" + query.name())
            + "&limit="
            + query.limit()
            + "&continue="
            + Query.token(query.after());
    return http.call(new HostPort(peer.host(), port), "GET", path, null, PEER_S)
        .thenApply(
            r -> {
              try {
                if (!r.ok()) {
                  throw new IllegalStateException("the owner answered " + r.status());
                }
                List<ObjectNode> pods = new ArrayList<>();
                KubeJson.parse(r.body()).path("items").forEach(p -> pods.add((ObjectNode) p));
                pods.removeIf(p -> !query.labels().matches(p.path("metadata").get("labels")));
                return pods;
              } catch (KubeJson.Malformed e) {
                throw new IllegalStateException(e);
              }
            });
  }

  /** Pods of one entity for a peer; null if this controller does not own it now. */
  ObjectNode forPeer(ControllerId entity, String namespace, Query query) {
    List<ObjectNode> pods = held(entity, namespace, query);
    return pods == null ? null : page(pods, query);
  }

  /** One more than asked for, so that the end of a page shows; null if the entity is not held. */
  private List<ObjectNode> held(ControllerId entity, String namespace, Query query) {
    OwnedEntity h = membership.valid() ? membership.holding(entity) : null;
    List<KubeObject> objects = h == null ? null : keeper.held(entity, namespace);
    if (objects == null) {
      return null;
    }
    List<ObjectNode> pods = new ArrayList<>();
    for (KubeObject object : objects) {
      for (Part part : object.parts()) {
        of(h, object, part, query, pods);
      }
    }
    pods.sort(inOrder());
    return pods.size() > query.limit() + 1 ? pods.subList(0, query.limit() + 1) : pods;
  }

  private void of(OwnedEntity h, KubeObject object, Part part, Query query, List<ObjectNode> pods) {
    Job job = h.jobs().get(part.id());
    boolean complete =
        object.status().path("conditions").path(0).path("type").asText().equals("Complete");
    final int tasks =
        job != null ? job.spec().tasks() : complete ? object.status().path("succeeded").asInt() : 0;
    ObjectNode labels = Cbor.map();
    JsonNode own = object.spec().path("template").path("metadata").path("labels");
    own.properties().forEach(e -> labels.set(e.getKey(), e.getValue()));
    if (object.kind() == Kind.JOB) {
      labels.put("job-name", object.name()).put("batch.kubernetes.io/job-name", object.name());
    }
    if (!query.labels().matches(labels)) {
      return;
    }
    for (int i = 0; i < tasks; i++) {
      String name =
          object.kind() == Kind.JOB
              ? object.name() + "-" + i
              : object.name() + "-" + part.template() + "-" + part.number();
      boolean wanted =
          (query.name() == null || query.name().equals(name))
              && (object.namespace() + "/" + name).compareTo(query.after()) > 0;
      if (wanted) {
        pods.add(pod(object, part, job, i, name, labels));
      }
    }
  }

  private static ObjectNode pod(
      KubeObject object, Part part, Job job, int index, String name, ObjectNode labels) {
    Placement p = job == null ? null : job.placed(index);
    final boolean done = job == null || job.isDone(index);
    final boolean runs = p != null && p.runningS() > 0;
    ObjectNode m = Cbor.map().put("apiVersion", "v1").put("kind", "Pod");
    ObjectNode meta = m.putObject("metadata");
    meta.put("name", name).put("namespace", object.namespace());
    meta.put("uid", object.uid() + "-" + part.number() + "-" + index);
    meta.set("labels", labels);
    if (object.kind() == Kind.JOB) {
      meta.putObject("annotations")
          .put("batch.kubernetes.io/job-completion-index", String.valueOf(index));
    }
    meta.putArray("ownerReferences")
        .addObject()
        .put("apiVersion", object.kind().apiVersion())
        .put("kind", object.kind().published())
        .put("name", object.name())
        .put("uid", object.uid())
        .put("controller", true);
    ObjectNode spec = ((ObjectNode) object.spec().path("template").path("spec")).deepCopy();
    if (p != null) {
      spec.put("nodeName", p.machine().id().value());
    }
    m.set("spec", spec);
    m.putObject("status").put("phase", done ? "Succeeded" : runs ? "Running" : "Pending");
    return m;
  }
}
