package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.errors.PeerUnavailableException;
import io.violetrail.errors.Receiver;
import io.violetrail.errors.RequestRejectedException;
import io.violetrail.errors.RequestUndecidedException;
import io.violetrail.kubernetes.KubernetesObject.NativeJob;
import io.violetrail.model.ControllerId;
import io.violetrail.net.Futures;
import io.violetrail.net.HttpClient;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.TaskPlacement;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubernetesJson;
import io.violetrail.wire.kubernetes.KubernetesStatus;
import io.violetrail.wire.kubernetes.LabelSelector;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Tasks of kept objects, shown as pods. They are not kept: their owner tells of them as it sees
 * them, and a listing asks every owner. If one does not answer there is no listing rather than a
 * part of one.
 */
final class PodLister {
  private static final double PEER_TIMEOUT_SECONDS = 1.5;

  private final Settings settings;
  private final ClusterView clusterView;
  private final Membership membership;
  private final ObjectReconciler reconciler;
  private final HttpClient http;
  private final int port;

  PodLister(
      Settings settings,
      ClusterView clusterView,
      Membership membership,
      ObjectReconciler reconciler,
      HttpClient http,
      int port) {
    this.settings = settings;
    this.clusterView = clusterView;
    this.membership = membership;
    this.reconciler = reconciler;
    this.http = http;
    this.port = port;
  }

  private static Comparator<JsonNode> byNamespaceAndName() {
    return Comparator.comparing(PodLister::sortKey);
  }

  private static String sortKey(JsonNode pod) {
    return pod.path("metadata").path("namespace").asText()
        + "/"
        + pod.path("metadata").path("name").asText();
  }

  /** All pods that are asked for, of all entities. */
  void list(String namespace, ListOptions options, HttpExchange httpExchange) {
    List<CompletableFuture<List<ObjectNode>>> podsByEntity = new ArrayList<>();
    for (ControllerId entity : settings.controllers()) {
      podsByEntity.add(fetchPods(entity, namespace, options));
    }
    Futures.logFailure(
        CompletableFuture.allOf(podsByEntity.toArray(CompletableFuture[]::new))
            .whenComplete(
                (nothing, failure) -> {
                  if (failure != null) {
                    httpExchange.answer(
                        KubernetesStatus.unavailable("an owner of tasks does not answer"));
                    return;
                  }
                  List<ObjectNode> pods = new ArrayList<>();
                  podsByEntity.forEach(f -> pods.addAll(f.join()));
                  pods.sort(byNamespaceAndName());
                  httpExchange.answer(200, toPage(pods, options), 0);
                }),
        "collect tasks from their owners");
  }

  private static ObjectNode toPage(List<ObjectNode> pods, ListOptions options) {
    ObjectNode list = Cbor.newMap().put("kind", "PodList").put("apiVersion", "v1");
    ObjectNode metadata = list.putObject("metadata").put("resourceVersion", "");
    var items = list.putArray("items");
    for (ObjectNode pod : pods) {
      if (items.size() == options.limit()) {
        metadata.put("continue", ListOptions.encodeToken(sortKey(items.get(items.size() - 1))));
        break;
      }
      items.add(pod);
    }
    return list;
  }

  void get(String namespace, String name, HttpExchange httpExchange) {
    ListOptions options =
        new ListOptions(LabelSelector.EVERYTHING, name, 1, "", false, false, "", 0);
    list(
        namespace,
        options,
        httpExchange.withAnswerFilter(
            (code, body, retryAfterSeconds) -> {
              JsonNode pod = body.path("items").path(0);
              if (code == 200 && pod.isMissingNode()) {
                httpExchange.answer(KubernetesStatus.notFound("pods \"" + name + "\""));
              } else {
                httpExchange.answer(code, code == 200 ? (ObjectNode) pod : body, retryAfterSeconds);
              }
            }));
  }

  private CompletableFuture<List<ObjectNode>> fetchPods(
      ControllerId entity, String namespace, ListOptions options) {
    List<ObjectNode> own = findOwnedPods(entity, namespace, options);
    if (own != null) {
      return CompletableFuture.completedFuture(own);
    }
    ControllerId owner = clusterView.findLatestOwner(entity);
    var peer = owner == null ? null : settings.peers().get(owner);
    if (peer == null || !clusterView.isAlive(owner)) {
      return CompletableFuture.failedFuture(PeerUnavailableException.noLiveOwner(entity));
    }
    String path =
        "/violetrail/pods?entity="
            + entity
            + (namespace == null ? "" : "&namespace=" + namespace)
            + (options.name() == null ? "" : "&name=" + options.name())
            + "&limit="
            + options.limit()
            + "&continue="
            + ListOptions.encodeToken(options.continueAfter());
    return http.call(new HostPort(peer.host(), port), "GET", path, null, PEER_TIMEOUT_SECONDS)
        .thenApply(
            reply -> {
              try {
                if (!reply.isOk()) {
                  throw RequestRejectedException.repliedWithStatus(
                      Receiver.TASK_OWNER, reply.status());
                }
                List<ObjectNode> pods = new ArrayList<>();
                KubernetesJson.parse(reply.body())
                    .path("items")
                    .forEach(p -> pods.add((ObjectNode) p));
                pods.removeIf(
                    p -> !options.labelSelector().matches(p.path("metadata").get("labels")));
                return pods;
              } catch (KubernetesJson.MalformedRequestException exception) {
                throw RequestUndecidedException.malformedReply(Receiver.TASK_OWNER);
              }
            });
  }

  /** Pods of one entity for a peer; null if this controller does not own it now. */
  ObjectNode listForPeer(ControllerId entity, String namespace, ListOptions options) {
    List<ObjectNode> pods = findOwnedPods(entity, namespace, options);
    return pods == null ? null : toPage(pods, options);
  }

  /** One more than asked for, so that the end of a page shows; null if the entity is not owned. */
  private List<ObjectNode> findOwnedPods(
      ControllerId entity, String namespace, ListOptions options) {
    OwnedEntity ownedEntity = membership.isLeaseValid() ? membership.findOwnedEntity(entity) : null;
    List<KubernetesObject> objects =
        ownedEntity == null ? null : reconciler.findOwnedObjects(entity, namespace);
    if (objects == null) {
      return null;
    }
    List<ObjectNode> pods = new ArrayList<>();
    for (KubernetesObject object : objects) {
      for (NativeJob nativeJob : object.nativeJobs()) {
        addPods(ownedEntity, object, nativeJob, options, pods);
      }
    }
    pods.sort(byNamespaceAndName());
    return pods.size() > options.limit() + 1 ? pods.subList(0, options.limit() + 1) : pods;
  }

  private void addPods(
      OwnedEntity entity,
      KubernetesObject object,
      NativeJob nativeJob,
      ListOptions options,
      List<ObjectNode> pods) {
    Job job = entity.jobs().get(nativeJob.id());
    boolean complete =
        object.status().path("conditions").path(0).path("type").asText().equals("Complete");
    final int tasks =
        job != null
            ? job.spec().taskCount()
            : complete ? object.status().path("succeeded").asInt() : 0;
    ObjectNode labels = Cbor.newMap();
    JsonNode own = object.spec().path("template").path("metadata").path("labels");
    own.properties().forEach(e -> labels.set(e.getKey(), e.getValue()));
    if (object.kind() == ObjectKind.JOB) {
      labels.put("job-name", object.name()).put("batch.kubernetes.io/job-name", object.name());
    }
    if (!options.labelSelector().matches(labels)) {
      return;
    }
    for (int i = 0; i < tasks; i++) {
      String name =
          object.kind() == ObjectKind.JOB
              ? object.name() + "-" + i
              : object.name() + "-" + nativeJob.templateHash() + "-" + nativeJob.number();
      boolean wanted =
          (options.name() == null || options.name().equals(name))
              && (object.namespace() + "/" + name).compareTo(options.continueAfter()) > 0;
      if (wanted) {
        pods.add(toPod(object, nativeJob, job, i, name, labels));
      }
    }
  }

  private static ObjectNode toPod(
      KubernetesObject object,
      NativeJob nativeJob,
      Job job,
      int index,
      String name,
      ObjectNode labels) {
    TaskPlacement placement = job == null ? null : job.findPlacement(index);
    final boolean done = job == null || job.isDone(index);
    final boolean running = placement != null && placement.runningSinceSeconds() > 0;
    ObjectNode pod = Cbor.newMap().put("apiVersion", "v1").put("kind", "Pod");
    ObjectNode metadata = pod.putObject("metadata");
    metadata.put("name", name).put("namespace", object.namespace());
    metadata.put("uid", object.uid() + "-" + nativeJob.number() + "-" + index);
    metadata.set("labels", labels);
    if (object.kind() == ObjectKind.JOB) {
      metadata
          .putObject("annotations")
          .put("batch.kubernetes.io/job-completion-index", String.valueOf(index));
    }
    metadata
        .putArray("ownerReferences")
        .addObject()
        .put("apiVersion", object.kind().apiVersion())
        .put("kind", object.kind().publishedName())
        .put("name", object.name())
        .put("uid", object.uid())
        .put("controller", true);
    ObjectNode spec = ((ObjectNode) object.spec().path("template").path("spec")).deepCopy();
    if (placement != null) {
      spec.put("nodeName", placement.machine().id().value());
    }
    pod.set("spec", spec);
    pod.putObject("status").put("phase", done ? "Succeeded" : running ? "Running" : "Pending");
    return pod;
  }
}
