package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import io.violetrail.model.ControllerId;
import io.violetrail.model.DerivedJobId;
import io.violetrail.model.JobId;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubernetesJson;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongPredicate;

/**
 * A Kubernetes object as it is stored in its row. Its {@code resourceVersion} is the revision of
 * the row's last change ({@code stamp} in the state service's protocol). The state service assigns
 * revisions for all controllers, so every controller reports the same versions. An instance is not
 * changed once it is stored; {@link #withChange} returns the next state.
 */
public final class KubernetesObject {
  public static final String KEY_PREFIX = "k8s/";
  private static final String DELETED_KEY_PREFIX = KEY_PREFIX + "gone/";
  private static final String NATIVE_JOB_ID_PREFIX = "job-9";
  private static final String TASKS_GONE_FIELD = "over";
  static final String REQUEST_ID_ANNOTATION = "violetrail.io/request-id";

  private final ObjectKind kind;
  private final String namespace;
  private final String name;
  private final ObjectNode value;
  private final long resourceVersion;

  /**
   * Computed lazily and cached, as is {@code templateHash}, since reconciliation reads both twice a
   * second.
   */
  private List<NativeJob> nativeJobs;

  private String templateHash;

  /**
   * A native job that belongs to the object.
   *
   * @param number its number within the object, from 1
   * @param templateHash the hash of the template that it was created from; empty for a Job
   */
  record NativeJob(JobId id, long number, String templateHash) {}

  private KubernetesObject(
      ObjectKind kind, String namespace, String name, ObjectNode value, long resourceVersion) {
    this.kind = kind;
    this.namespace = namespace;
    this.name = name;
    this.value = value;
    this.resourceVersion = resourceVersion;
  }

  ObjectKind kind() {
    return kind;
  }

  String namespace() {
    return namespace;
  }

  String name() {
    return name;
  }

  ObjectNode value() {
    return value;
  }

  long resourceVersion() {
    return resourceVersion;
  }

  /** Returns the key prefix of a kind's objects in a namespace; in all namespaces if it is null. */
  static String keyPrefix(ObjectKind kind, String namespace) {
    return KEY_PREFIX + kind.keySegment() + "/" + (namespace == null ? "" : namespace + "/");
  }

  ObjectReference reference() {
    return new ObjectReference(kind, namespace, name);
  }

  public String key() {
    return keyPrefix(kind, namespace) + name;
  }

  /**
   * Returns the key of the row that remains after the object's deletion, until its tasks are known
   * to have stopped.
   */
  String deletedKey() {
    return DELETED_KEY_PREFIX + uid();
  }

  static boolean isDeletedKey(String key) {
    return key.startsWith(DELETED_KEY_PREFIX);
  }

  /**
   * Returns the object of a row; for a row at a {@link #deletedKey}, the deleted object's last
   * state.
   *
   * @return null if the key or the value is not that of a known kind of object
   */
  static KubernetesObject fromRow(String key, JsonNode value, long resourceVersion) {
    if (isDeletedKey(key)) {
      return fromRow(value.path("key").asText(), value.path("last"), resourceVersion);
    }
    String[] segments = key.split("/", 4);
    if (segments.length < 4 || !(value instanceof ObjectNode row)) {
      return null;
    }
    for (ObjectKind kind : ObjectKind.values()) {
      if (kind.keySegment().equals(segments[1])) {
        return new KubernetesObject(kind, segments[2], segments[3], row, resourceVersion);
      }
    }
    return null;
  }

  /** Creates an object that is not stored yet; its resource version is 0. */
  static KubernetesObject create(
      ObjectKind kind,
      String namespace,
      String name,
      ObjectNode manifest,
      ControllerId entity,
      String uid,
      long nowMillis) {
    ObjectNode value =
        Cbor.newMap().put("uid", uid).put("at", nowMillis).put("seq", 1).put("gen", 1);
    value.put("entity", entity.value());
    ObjectNode metadata = value.putObject("meta");
    for (String field : List.of("generateName", "labels", "annotations")) {
      if (manifest.path("metadata").has(field)) {
        metadata.set(field, manifest.path("metadata").get(field));
      }
    }
    value.set("spec", NativeJobTranslator.withDefaults(kind, (ObjectNode) manifest.get("spec")));
    value.putArray("parts");
    value.putObject("status");
    return new KubernetesObject(kind, namespace, name, value, 0);
  }

  /** Returns the object's next state: a copy of its row with the change applied. */
  KubernetesObject withChange(Consumer<ObjectNode> change) {
    ObjectNode next = value.deepCopy();
    next.put("seq", value.path("seq").asLong() + 1);
    change.accept(next);
    return new KubernetesObject(kind, namespace, name, next, resourceVersion);
  }

  /**
   * Returns the object's last state, which records that none of its tasks is left. The entity's
   * owner then deletes the row.
   */
  KubernetesObject withTasksGone() {
    return withChange(row -> row.put(TASKS_GONE_FIELD, true));
  }

  boolean areTasksGone() {
    return value.has(TASKS_GONE_FIELD);
  }

  KubernetesObject withResourceVersion(long revision) {
    return new KubernetesObject(kind, namespace, name, value, revision);
  }

  /** Returns the value of the row at {@link #deletedKey}. */
  ObjectNode toDeletedRow(long nowMillis) {
    ObjectNode row = Cbor.newMap().put("key", key()).put("gone", nowMillis);
    row.set("last", value);
    return row;
  }

  String uid() {
    return value.path("uid").asText();
  }

  ControllerId entity() {
    return new ControllerId(value.path("entity").asText());
  }

  boolean isNew() {
    return value.path("seq").asLong() == 1;
  }

  JsonNode metadata() {
    return value.path("meta");
  }

  JsonNode labels() {
    return metadata().get("labels");
  }

  ObjectNode spec() {
    return (ObjectNode) value.get("spec");
  }

  JsonNode status() {
    return value.path("status");
  }

  long createdMillis() {
    return value.path("at").asLong();
  }

  /** Returns when the object was resumed, or when it was created if it was never resumed. */
  long startedMillis() {
    return value.path("began").asLong(createdMillis());
  }

  boolean isDeleting() {
    return value.has("deleting");
  }

  /**
   * Returns the native jobs of the object. Its row holds their numbers, which determine the ids.
   */
  List<NativeJob> nativeJobs() {
    if (nativeJobs == null) {
      nativeJobs = new ArrayList<>();
      for (JsonNode entry : value.path("parts")) {
        long number = entry.path(0).asLong();
        nativeJobs.add(new NativeJob(nativeJobId(uid(), number), number, entry.path(1).asText()));
      }
    }
    return nativeJobs;
  }

  static void addNativeJob(ObjectNode row, long number, String templateHash) {
    ((ArrayNode) row.get("parts")).addArray().add(number).add(templateHash);
  }

  static void retainNativeJobs(ObjectNode row, LongPredicate predicate) {
    ArrayNode kept = Cbor.newList();
    for (JsonNode entry : row.path("parts")) {
      if (predicate.test(entry.path(0).asLong())) {
        kept.add(entry);
      }
    }
    row.set("parts", kept);
  }

  /** Returns the hash of the current template; replicas with a different hash are replaced. */
  String templateHash() {
    if (templateHash == null) {
      templateHash =
          sha256Hex(KubernetesJson.toCanonicalText(spec().path("template"))).substring(0, 10);
    }
    return templateHash;
  }

  /**
   * Returns the id of the native job with this number. The id is derived from the object's uid, so
   * a controller that repeats a step derives the same id.
   */
  static JobId nativeJobId(String uid, long number) {
    return DerivedJobId.of(NATIVE_JOB_ID_PREFIX, "violetrail native job " + uid + " " + number);
  }

  static String sha256Hex(String text) {
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }

  static String formatTime(long millis) {
    return Instant.ofEpochMilli(millis).truncatedTo(ChronoUnit.SECONDS).toString();
  }

  /** Returns the object in the form of the Kubernetes API. */
  ObjectNode toJson() {
    ObjectNode json =
        Cbor.newMap().put("apiVersion", kind.apiVersion()).put("kind", kind.publishedName());
    ObjectNode metadata = json.putObject("metadata");
    metadata.put("name", name).put("namespace", namespace).put("uid", uid());
    metadata.put("resourceVersion", String.valueOf(resourceVersion));
    metadata.put("generation", value.path("gen").asLong());
    metadata.put("creationTimestamp", formatTime(createdMillis()));
    metadata().properties().forEach(e -> metadata.set(e.getKey(), e.getValue()));
    if (isDeleting()) {
      metadata.put("deletionTimestamp", formatTime(value.path("deleting").asLong()));
      metadata.putArray("finalizers").add("foregroundDeletion");
    }
    json.set("spec", spec());
    json.set("status", status());
    return json;
  }
}
