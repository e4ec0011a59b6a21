package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.FieldError;
import io.violetrail.wire.kubernetes.FieldError.Cause;
import java.util.ArrayList;
import java.util.List;

/**
 * Computes an object's next state from an update, or why the update is refused. Pure functions:
 * they read and write no rows.
 */
final class UpdateRules {
  private static final int MAX_REPLICAS = 200;

  private UpdateRules() {}

  /**
   * The outcome of an update.
   *
   * @param next the object's next state; the same instance if nothing changes, null if refused
   * @param errors why the update is refused; empty if it is not
   */
  record Result(KubernetesObject next, List<FieldError> errors) {
    static Result refuse(String path, String reason) {
      return new Result(null, List.of(new FieldError(path, Cause.FORBIDDEN, reason)));
    }
  }

  /** An update that can be applied to any stored state of the object. */
  interface Update {
    Result apply(KubernetesObject found);
  }

  static Result replace(
      KubernetesObject found, JsonNode metadata, ObjectNode spec, long nowMillis) {
    if (found.isDeleting()) {
      return Result.refuse("metadata.deletionTimestamp", "the object is being deleted");
    }
    if (!equalWithAbsentAsEmpty(found.labels(), metadata.get("labels"))) {
      return Result.refuse("metadata.labels", "labels are immutable");
    }
    return found.kind() == ObjectKind.JOB
        ? replaceJob(found, metadata, spec, nowMillis)
        : replaceDeployment(found, metadata, spec);
  }

  private static boolean equalWithAbsentAsEmpty(JsonNode left, JsonNode right) {
    JsonNode emptyMap = Cbor.newMap();
    return (left == null ? emptyMap : left).equals(right == null ? emptyMap : right);
  }

  /** Only allows a suspended Job to be resumed; a change of its tasks requires a new Job. */
  private static Result replaceJob(
      KubernetesObject found, JsonNode metadata, ObjectNode spec, long nowMillis) {
    if (!equalWithAbsentAsEmpty(found.metadata().get("annotations"), metadata.get("annotations"))) {
      return Result.refuse("metadata.annotations", "the annotations of a Job are immutable");
    }
    if (spec.equals(found.spec())) {
      return new Result(found, List.of());
    }
    ObjectNode resumedSpec = found.spec().deepCopy().put("suspend", false);
    if (!found.spec().path("suspend").asBoolean() || !spec.equals(resumedSpec)) {
      return Result.refuse(
          "spec",
          "the spec of a Job is immutable, except that suspend may change from true to false");
    }
    return new Result(
        found.withChange(
            row -> {
              row.set("spec", spec);
              row.put("gen", row.path("gen").asLong() + 1).put("began", nowMillis);
              row.putObject("status");
            }),
        List.of());
  }

  private static Result replaceDeployment(
      KubernetesObject found, JsonNode metadata, ObjectNode spec) {
    if (!spec.path("selector").equals(found.spec().path("selector"))) {
      return Result.refuse("spec.selector", "the selector is immutable");
    }
    boolean sameAnnotations =
        equalWithAbsentAsEmpty(found.metadata().get("annotations"), metadata.get("annotations"));
    boolean sameSpec = spec.equals(found.spec());
    if (sameAnnotations && sameSpec) {
      return new Result(found, List.of());
    }
    return new Result(
        found.withChange(
            row -> {
              row.set("spec", spec);
              if (metadata.has("annotations")) {
                row.withObject("/meta").set("annotations", metadata.get("annotations"));
              } else {
                row.withObject("/meta").remove("annotations");
              }
              row.put("gen", row.path("gen").asLong() + (sameSpec ? 0 : 1));
            }),
        List.of());
  }

  static Result scale(KubernetesObject found, int replicas) {
    if (found.isDeleting()) {
      return Result.refuse("metadata.deletionTimestamp", "the object is being deleted");
    }
    if (found.spec().path("replicas").asInt() == replicas) {
      return new Result(found, List.of());
    }
    return new Result(
        found.withChange(
            row -> {
              row.withObject("/spec").put("replicas", replicas);
              row.put("gen", row.path("gen").asLong() + 1);
            }),
        List.of());
  }

  static List<FieldError> validateScale(ObjectNode scale, String name, String namespace) {
    List<FieldError> errors = new ArrayList<>();
    refuseUnknownFields(
        scale, "", List.of("apiVersion", "kind", "metadata", "spec", "status"), errors);
    refuseUnknownFields(
        scale.path("metadata"),
        "metadata",
        List.of("name", "namespace", "uid", "resourceVersion", "creationTimestamp"),
        errors);
    refuseUnknownFields(scale.path("spec"), "spec", List.of("replicas"), errors);
    if (!scale.path("kind").asText("Scale").equals("Scale")
        || !scale.path("apiVersion").asText("autoscaling/v1").equals("autoscaling/v1")) {
      errors.add(
          new FieldError(
              "kind", Cause.NOT_SUPPORTED, "must be Scale in API version autoscaling/v1"));
    }
    JsonNode metadata = scale.path("metadata");
    if (!metadata.path("name").asText(name).equals(name)) {
      errors.add(
          new FieldError(
              "metadata.name",
              Cause.INVALID,
              "must be the name in the request's path, \"" + name + "\""));
    }
    if (!metadata.path("namespace").asText(namespace).equals(namespace)) {
      errors.add(
          new FieldError(
              "metadata.namespace",
              Cause.INVALID,
              "must be the namespace in the request's path, \"" + namespace + "\""));
    }
    JsonNode replicas = scale.path("spec").path("replicas");
    if (!replicas.isIntegralNumber()) {
      errors.add(
          new FieldError(
              "spec.replicas", Cause.TYPE, "must be an integer from 0 to " + MAX_REPLICAS));
    } else if (!replicas.canConvertToInt()
        || replicas.asInt() < 0
        || replicas.asInt() > MAX_REPLICAS) {
      errors.add(
          new FieldError(
              "spec.replicas",
              Cause.INVALID,
              "must be from 0 to " + MAX_REPLICAS + ", but is " + replicas.asText()));
    }
    return errors;
  }

  private static void refuseUnknownFields(
      JsonNode node, String path, List<String> known, List<FieldError> errors) {
    node.fieldNames()
        .forEachRemaining(
            field -> {
              if (!known.contains(field)) {
                errors.add(
                    new FieldError(
                        path.isEmpty() ? field : path + "." + field,
                        Cause.NOT_SUPPORTED,
                        "unknown field"));
              }
            });
  }

  /** Converts an object's JSON to that of its {@code Scale} subresource. */
  static ObjectNode toScale(ObjectNode object) {
    ObjectNode scale = Cbor.newMap().put("kind", "Scale").put("apiVersion", "autoscaling/v1");
    ObjectNode metadata = scale.putObject("metadata");
    for (String field :
        List.of("name", "namespace", "uid", "resourceVersion", "creationTimestamp")) {
      metadata.set(field, object.path("metadata").path(field));
    }
    scale.putObject("spec").set("replicas", object.path("spec").path("replicas"));
    ObjectNode status = scale.putObject("status");
    status.put("replicas", object.path("status").path("replicas").asInt());
    List<String> selector = new ArrayList<>();
    object
        .path("spec")
        .path("selector")
        .path("matchLabels")
        .properties()
        .forEach(e -> selector.add(e.getKey() + "=" + e.getValue().asText()));
    status.put("selector", String.join(",", selector));
    return scale;
  }
}
