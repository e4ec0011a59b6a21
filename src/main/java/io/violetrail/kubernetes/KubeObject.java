package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubeJson;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongPredicate;

/**
 * A kept object as its row holds it. {@code stamp}, the revision of the row's last change, is its
 * {@code resourceVersion}: the state service counts changes for all controllers, so versions are
 * the same whoever is asked. Never changed; {@link #with} makes the next one.
 */
public final class KubeObject {
  public static final String ROWS = "k8s/";
  private static final String GONE = ROWS + "gone/";
  static final String REQUEST_ID = "violetrail.io/request-id";

  private final Kind kind;
  private final String namespace;
  private final String name;
  private final ObjectNode value;
  private final long stamp;

  /** Worked out once: steps ask for them twice a second. */
  private List<Part> parts;

  private String template;

  /** A native job that belongs to the object, and of which template it is. */
  record Part(JobId id, long number, String template) {}

  private KubeObject(Kind kind, String namespace, String name, ObjectNode value, long stamp) {
    this.kind = kind;
    this.namespace = namespace;
    this.name = name;
    this.value = value;
    this.stamp = stamp;
  }

  Kind kind() {
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

  long stamp() {
    return stamp;
  }

  /** Where a namespace's objects of a kind stand; all namespaces' if it is null. */
  static String rows(Kind kind, String namespace) {
    return ROWS + kind.row() + "/" + (namespace == null ? "" : namespace + "/");
  }

  Ref ref() {
    return new Ref(kind, namespace, name);
  }

  public String key() {
    return rows(kind, namespace) + name;
  }

  /** The row that stays of a deleted object until its tasks are sure to have been stopped. */
  String goneKey() {
    return GONE + uid();
  }

  static boolean isGone(String key) {
    return key.startsWith(GONE);
  }

  /** The object of a row; null if the key is none of ours. */
  static KubeObject of(String key, JsonNode value, long stamp) {
    if (isGone(key)) {
      return of(value.path("key").asText(), value.path("last"), stamp);
    }
    String[] parts = key.split("/", 4);
    if (parts.length < 4 || !(value instanceof ObjectNode map)) {
      return null;
    }
    for (Kind k : Kind.values()) {
      if (k.row().equals(parts[1])) {
        return new KubeObject(k, parts[2], parts[3], map, stamp);
      }
    }
    return null;
  }

  /** A new object of an entity. */
  static KubeObject fresh(
      Kind kind,
      String namespace,
      String name,
      ObjectNode manifest,
      ControllerId entity,
      String uid,
      long nowMs) {
    ObjectNode v = Cbor.map().put("uid", uid).put("at", nowMs).put("seq", 1).put("gen", 1);
    v.put("entity", entity.value());
    ObjectNode meta = v.putObject("meta");
    for (String field : List.of("generateName", "labels", "annotations")) {
      if (manifest.path("metadata").has(field)) {
        meta.set(field, manifest.path("metadata").get(field));
      }
    }
    v.set("spec", Translation.withDefaults(kind, (ObjectNode) manifest.get("spec")));
    v.putArray("parts");
    v.putObject("status");
    return new KubeObject(kind, namespace, name, v, 0);
  }

  /** The next state of the object, with a change to a copy of its row. */
  KubeObject with(Consumer<ObjectNode> change) {
    ObjectNode next = value.deepCopy();
    next.put("seq", value.path("seq").asLong() + 1);
    change.accept(next);
    return new KubeObject(kind, namespace, name, next, stamp);
  }

  KubeObject at(long revision) {
    return new KubeObject(kind, namespace, name, value, revision);
  }

  /** What stands in the row of a deleted object. */
  ObjectNode gone(long nowMs) {
    ObjectNode m = Cbor.map().put("key", key()).put("gone", nowMs);
    m.set("last", value);
    return m;
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

  long createdMs() {
    return value.path("at").asLong();
  }

  /** When it began to count as running: it was created, or resumed. */
  long startedMs() {
    return value.path("began").asLong(createdMs());
  }

  boolean deleting() {
    return value.has("deleting");
  }

  /** The native jobs that belong to it. Rows hold numbers, from which the ids follow. */
  List<Part> parts() {
    if (parts == null) {
      parts = new ArrayList<>();
      for (JsonNode e : value.path("parts")) {
        long n = e.path(0).asLong();
        parts.add(new Part(nativeId(uid(), n), n, e.path(1).asText()));
      }
    }
    return parts;
  }

  static void addPart(ObjectNode row, long number, String template) {
    ((ArrayNode) row.get("parts")).addArray().add(number).add(template);
  }

  static void keepParts(ObjectNode row, LongPredicate which) {
    ArrayNode kept = Cbor.list();
    for (JsonNode e : row.path("parts")) {
      if (which.test(e.path(0).asLong())) {
        kept.add(e);
      }
    }
    row.set("parts", kept);
  }

  /** A name for the template as it is now: replicas of another one are replaced. */
  String template() {
    if (template == null) {
      template = hash(KubeJson.canonical(spec().path("template"))).substring(0, 10);
    }
    return template;
  }

  /**
   * The id of the object's {@code n}-th native job. Twenty digits that follow from the object's own
   * identity: whoever repeats a step names the same job, and no user's id is met by chance.
   */
  static JobId nativeId(String uid, long n) {
    long number =
        Hashing.sha256()
            .hashString("violetrail native job " + uid + " " + n, StandardCharsets.UTF_8)
            .asLong();
    return new JobId("job-9" + "%019d".formatted(number & Long.MAX_VALUE));
  }

  static String hash(String text) {
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }

  static String time(long ms) {
    return Instant.ofEpochMilli(ms).truncatedTo(ChronoUnit.SECONDS).toString();
  }

  /** The object as clients see it. */
  ObjectNode json() {
    ObjectNode m = Cbor.map().put("apiVersion", kind.apiVersion()).put("kind", kind.published());
    ObjectNode meta = m.putObject("metadata");
    meta.put("name", name).put("namespace", namespace).put("uid", uid());
    meta.put("resourceVersion", String.valueOf(stamp));
    meta.put("generation", value.path("gen").asLong());
    meta.put("creationTimestamp", time(createdMs()));
    metadata().properties().forEach(e -> meta.set(e.getKey(), e.getValue()));
    if (deleting()) {
      meta.put("deletionTimestamp", time(value.path("deleting").asLong()));
      meta.putArray("finalizers").add("foregroundDeletion");
    }
    m.set("spec", spec());
    m.set("status", status());
    return m;
  }
}
