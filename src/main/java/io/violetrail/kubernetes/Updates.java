package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.Refusal;
import io.violetrail.wire.kubernetes.Refusal.Cause;
import java.util.ArrayList;
import java.util.List;

/** What an update makes of an object. Plain decisions. */
final class Updates {
  private static final int MOST_REPLICAS = 200;

  private Updates() {}

  /** The next state, the same object if nothing changes, or why not. */
  record Result(KubeObject next, List<Refusal> refused) {
    static Result no(String path, String why) {
      return new Result(null, List.of(new Refusal(path, Cause.FORBIDDEN, why)));
    }
  }

  /** An update as a step from whatever stands there. */
  interface Change {
    Result of(KubeObject found);
  }

  static Result replaced(KubeObject found, JsonNode meta, ObjectNode spec, long nowMs) {
    if (found.deleting()) {
      return Result.no("metadata.deletionTimestamp", "the object is being deleted");
    }
    if (!sameOrNone(found.labels(), meta.get("labels"))) {
      return Result.no("metadata.labels", "labels never change");
    }
    return found.kind() == Kind.JOB ? job(found, meta, spec, nowMs) : deployment(found, meta, spec);
  }

  private static boolean sameOrNone(JsonNode a, JsonNode b) {
    JsonNode none = Cbor.map();
    return (a == null ? none : a).equals(b == null ? none : b);
  }

  /** Of a Job only its suspension ends; what would change its tasks is another job. */
  private static Result job(KubeObject found, JsonNode meta, ObjectNode spec, long nowMs) {
    if (!sameOrNone(found.metadata().get("annotations"), meta.get("annotations"))) {
      return Result.no("metadata.annotations", "a Job's annotations never change");
    }
    if (spec.equals(found.spec())) {
      return new Result(found, List.of());
    }
    ObjectNode resumed = found.spec().deepCopy().put("suspend", false);
    if (!found.spec().path("suspend").asBoolean() || !spec.equals(resumed)) {
      return Result.no("spec", "a Job never changes, except that suspend may become false");
    }
    return new Result(
        found.with(
            v -> {
              v.set("spec", spec);
              v.put("gen", v.path("gen").asLong() + 1).put("began", nowMs);
              v.putObject("status");
            }),
        List.of());
  }

  private static Result deployment(KubeObject found, JsonNode meta, ObjectNode spec) {
    if (!spec.path("selector").equals(found.spec().path("selector"))) {
      return Result.no("spec.selector", "the selector never changes");
    }
    boolean sameNotes = sameOrNone(found.metadata().get("annotations"), meta.get("annotations"));
    boolean sameSpec = spec.equals(found.spec());
    if (sameNotes && sameSpec) {
      return new Result(found, List.of());
    }
    return new Result(
        found.with(
            v -> {
              v.set("spec", spec);
              if (meta.has("annotations")) {
                v.withObject("/meta").set("annotations", meta.get("annotations"));
              } else {
                v.withObject("/meta").remove("annotations");
              }
              v.put("gen", v.path("gen").asLong() + (sameSpec ? 0 : 1));
            }),
        List.of());
  }

  static Result scaled(KubeObject found, int replicas) {
    if (found.deleting()) {
      return Result.no("metadata.deletionTimestamp", "the object is being deleted");
    }
    if (found.spec().path("replicas").asInt() == replicas) {
      return new Result(found, List.of());
    }
    return new Result(
        found.with(
            v -> {
              v.withObject("/spec").put("replicas", replicas);
              v.put("gen", v.path("gen").asLong() + 1);
            }),
        List.of());
  }

  static List<Refusal> scaleRefusals(ObjectNode scale, String name, String namespace) {
    List<Refusal> no = new ArrayList<>();
    only(scale, "", List.of("apiVersion", "kind", "metadata", "spec", "status"), no);
    only(
        scale.path("metadata"),
        "metadata",
        List.of("name", "namespace", "uid", "resourceVersion", "creationTimestamp"),
        no);
    only(scale.path("spec"), "spec", List.of("replicas"), no);
    if (!scale.path("kind").asText("Scale").equals("Scale")
        || !scale.path("apiVersion").asText("autoscaling/v1").equals("autoscaling/v1")) {
      no.add(new Refusal("kind", Cause.NOT_SUPPORTED, "must be Scale of autoscaling/v1"));
    }
    JsonNode meta = scale.path("metadata");
    if (!meta.path("name").asText(name).equals(name)) {
      no.add(new Refusal("metadata.name", Cause.INVALID, "is not the name in the request's path"));
    }
    if (!meta.path("namespace").asText(namespace).equals(namespace)) {
      no.add(
          new Refusal(
              "metadata.namespace", Cause.INVALID, "is not the namespace in the request's path"));
    }
    JsonNode replicas = scale.path("spec").path("replicas");
    if (!replicas.isIntegralNumber()) {
      no.add(new Refusal("spec.replicas", Cause.TYPE, "must be a count"));
    } else if (!replicas.canConvertToInt()
        || replicas.asInt() < 0
        || replicas.asInt() > MOST_REPLICAS) {
      no.add(new Refusal("spec.replicas", Cause.INVALID, "must be 0 to " + MOST_REPLICAS));
    }
    return no;
  }

  private static void only(JsonNode node, String path, List<String> known, List<Refusal> no) {
    node.fieldNames()
        .forEachRemaining(
            field -> {
              if (!known.contains(field)) {
                no.add(
                    new Refusal(
                        path.isEmpty() ? field : path + "." + field,
                        Cause.NOT_SUPPORTED,
                        "the field is unknown"));
              }
            });
  }

  /** An object's answer as its scale. */
  static ObjectNode scaleOf(ObjectNode object) {
    ObjectNode m = Cbor.map().put("kind", "Scale").put("apiVersion", "autoscaling/v1");
    ObjectNode meta = m.putObject("metadata");
    for (String field :
        List.of("name", "namespace", "uid", "resourceVersion", "creationTimestamp")) {
      meta.set(field, object.path("metadata").path(field));
    }
    m.putObject("spec").set("replicas", object.path("spec").path("replicas"));
    ObjectNode status = m.putObject("status");
    status.put("replicas", object.path("status").path("replicas").asInt());
    List<String> selector = new ArrayList<>();
    object
        .path("spec")
        .path("selector")
        .path("matchLabels")
        .properties()
        .forEach(e -> selector.add(e.getKey() + "=" + e.getValue().asText()));
    status.put("selector", String.join(",", selector));
    return m;
  }
}
