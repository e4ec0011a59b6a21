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
 * Lists the tasks of Kubernetes objects as pods. Pods are not stored: the owner of an entity
 * derives them from the current state of its tasks, and a listing queries every owner. If an owner
 * does not answer, the listing fails rather than return a part of the pods.
 */
final class PodLister {
  private static final double PEER_TIMEOUT_SECONDS = 1.5;

  private final Settings settings;
  private final ClusterView clusterView;
  private final Membership membership;
  private final ObjectReconciler reconciler;
  private final HttpClient httpClient;
  private final int port;

  PodLister(
      Settings settings,
      ClusterView clusterView,
      Membership membership,
      ObjectReconciler reconciler,
      HttpClient httpClient,
      int port) {
    this.settings = settings;
    this.clusterView = clusterView;
    this.membership = membership;
    this.reconciler = reconciler;
    this.httpClient = httpClient;
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

  /** Answers with a page of the pods of all entities that match the options. */
  void list(String namespace, ListOptions options, HttpExchange httpExchange) {
    List<CompletableFuture<List<ObjectNode>>> podsByEntity = new ArrayList<>();
    for (ControllerId entity : settings.controllers()) {
      podsByEntity.add(fetchPods(entity, namespace, options));
    }
    Futures.logFailure(
        CompletableFuture.allOf(podsByEntity.toArray(CompletableFuture[]::new))
            .whenComplete(
                (ignored, failure) -> {
                  if (failure != null) {
                    httpExchange.answer(
                        KubernetesStatus.unavailable(
                            "the pods of at least one entity cannot be listed: it has no live"
                                + " owner, or its owner did not return them; retry later"));
                    return;
                  }
                  List<ObjectNode> pods = new ArrayList<>();
                  podsByEntity.forEach(f -> pods.addAll(f.join()));
                  pods.sort(byNamespaceAndName());
                  httpExchange.answer(200, toPage(pods, options), 0);
                }),
        "collect pods from the owners of their entities");
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
    List<ObjectNode> ownedPods = findOwnedPods(entity, namespace, options);
    if (ownedPods != null) {
      return CompletableFuture.completedFuture(ownedPods);
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
    return httpClient
        .call(new HostPort(peer.host(), port), "GET", path, null, PEER_TIMEOUT_SECONDS)
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

  /**
   * Returns a page of an entity's pods for a peer; null if this controller cannot list them now.
   */
  ObjectNode listForPeer(ControllerId entity, String namespace, ListOptions options) {
    List<ObjectNode> pods = findOwnedPods(entity, namespace, options);
    return pods == null ? null : toPage(pods, options);
  }

  /**
   * Returns an entity's pods that match the options: at most one more than the limit, which shows
   * whether another page follows.
   *
   * @return null if this controller does not own the entity, its lease has expired or it has not
   *     read the entity's objects yet
   */
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
    final int taskCount =
        job != null
            ? job.spec().taskCount()
            : complete ? object.status().path("succeeded").asInt() : 0;
    ObjectNode labels = Cbor.newMap();
    JsonNode templateLabels = object.spec().path("template").path("metadata").path("labels");
    templateLabels.properties().forEach(e -> labels.set(e.getKey(), e.getValue()));
    if (object.kind() == ObjectKind.JOB) {
      labels.put("job-name", object.name()).put("batch.kubernetes.io/job-name", object.name());
    }
    if (!options.labelSelector().matches(labels)) {
      return;
    }
    for (int i = 0; i < taskCount; i++) {
      String name =
          object.kind() == ObjectKind.JOB
              ? object.name() + "-" + i
              : object.name() + "-" + nativeJob.templateHash() + "-" + nativeJob.number();
      boolean selected =
          (options.name() == null || options.name().equals(name))
              && (object.namespace() + "/" + name).compareTo(options.continueAfter()) > 0;
      if (selected) {
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
    final boolean succeeded = job == null || job.isDone(index);
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
    pod.putObject("status").put("phase", succeeded ? "Succeeded" : running ? "Running" : "Pending");
    return pod;
  }
}
