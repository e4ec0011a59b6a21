package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.model.JobSpec;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.JobMessages;
import io.violetrail.wire.kubernetes.FieldError;
import io.violetrail.wire.kubernetes.FieldError.Cause;
import io.violetrail.wire.kubernetes.FieldPaths;
import io.violetrail.wire.kubernetes.Quantity;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Translates Kubernetes objects into native jobs. A Job becomes one native job, and each replica of
 * a Deployment becomes a native service with one task. Both become the message that a user would
 * have submitted to the native API and are parsed by the same code, so that all later code handles
 * them like other jobs. The result depends only on the arguments and the schema; no other state is
 * read.
 */
public final class NativeJobTranslator {
  private static final String ANNOTATION_PREFIX = "violetrail.io/";
  private static final String ZONE_LABEL = "topology.kubernetes.io/zone";
  private static final String INSTANCE_TYPE_LABEL = "node.kubernetes.io/instance-type";
  private static final String GPU_RESOURCE = "nvidia.com/gpu";
  private static final BigDecimal BYTES_PER_GB = new BigDecimal("1e9");

  /** The default of the published API if the field is absent. */
  private static final int DEFAULT_BACKOFF_LIMIT = 6;

  private static final String DEFAULT_ROLLING_PERCENTAGE = "25%";

  /** Any well-formed id. Apart from the id itself, the translation does not depend on it. */
  private static final String PLACEHOLDER_JOB_ID = "job-0";

  private final ManifestSchema manifestSchema;

  public NativeJobTranslator(ManifestSchema manifestSchema) {
    this.manifestSchema = manifestSchema;
  }

  /** Returns the errors of a manifest for a namespace; empty if the object can be stored. */
  public List<FieldError> validate(ObjectKind kind, ObjectNode manifest, String namespace) {
    List<FieldError> errors = new ArrayList<>(manifestSchema.validate(kind, manifest));
    if (!errors.isEmpty()) {
      return errors;
    }
    JsonNode metadata = manifest.path("metadata");
    if (metadata.has("namespace") && !metadata.get("namespace").asText().equals(namespace)) {
      errors.add(
          new FieldError(
              "metadata.namespace",
              Cause.INVALID,
              "is '"
                  + metadata.get("namespace").asText()
                  + "' but must be the requested namespace '"
                  + namespace
                  + "'"));
    }
    if (!metadata.has("name") && !metadata.has("generateName")) {
      errors.add(
          new FieldError("metadata.name", Cause.REQUIRED, "name or generateName is required"));
    }
    ObjectNode spec = withDefaults(kind, (ObjectNode) manifest.get("spec"));
    if (kind == ObjectKind.JOB) {
      validateJob(spec, errors);
    } else {
      validateDeployment(spec, errors);
    }
    JsonNode objectAnnotations = metadata.get("annotations");
    JsonNode templateAnnotations = spec.path("template").path("metadata").get("annotations");
    refuseMisplacedAnnotations(
        kind == ObjectKind.JOB ? templateAnnotations : objectAnnotations,
        kind == ObjectKind.JOB,
        errors);
    buildMessage(
        kind,
        spec,
        kind == ObjectKind.JOB ? objectAnnotations : templateAnnotations,
        namespace,
        PLACEHOLDER_JOB_ID,
        errors);
    return errors;
  }

  private static void validateJob(ObjectNode spec, List<FieldError> errors) {
    if (spec.get("parallelism").asInt() != spec.get("completions").asInt()) {
      errors.add(
          new FieldError(
              "spec.parallelism",
              Cause.NOT_SUPPORTED,
              "is "
                  + spec.get("parallelism").asInt()
                  + " but must equal completions, which is "
                  + spec.get("completions").asInt()
                  + ": a job runs as many tasks at once as its team's limit allows"));
    }
    String restartPolicy = spec.path("template").path("spec").path("restartPolicy").asText();
    if (!restartPolicy.equals("Never") && !restartPolicy.equals("OnFailure")) {
      errors.add(
          new FieldError(
              "spec.template.spec.restartPolicy",
              Cause.REQUIRED,
              "must be Never or OnFailure, not '" + restartPolicy + "'"));
    }
  }

  private static void validateDeployment(ObjectNode spec, List<FieldError> errors) {
    JsonNode labels = spec.path("template").path("metadata").path("labels");
    JsonNode matchLabels = spec.path("selector").path("matchLabels");
    matchLabels
        .properties()
        .forEach(
            entry -> {
              if (!entry.getValue().equals(labels.get(entry.getKey()))) {
                errors.add(
                    new FieldError(
                        "spec.selector.matchLabels[" + entry.getKey() + "]",
                        Cause.INVALID,
                        "is '"
                            + entry.getValue().asText()
                            + "' but must equal the template's label of the same name"));
              }
            });
    if (matchLabels.isEmpty()) {
      errors.add(
          new FieldError(
              "spec.selector.matchLabels", Cause.REQUIRED, "must contain at least one label"));
    }
    String restartPolicy =
        spec.path("template").path("spec").path("restartPolicy").asText("Always");
    if (!restartPolicy.equals("Always")) {
      errors.add(
          new FieldError(
              "spec.template.spec.restartPolicy",
              Cause.NOT_SUPPORTED,
              "must be Always, not '" + restartPolicy + "': a replica runs until it is stopped"));
    }
    JsonNode strategy = spec.path("strategy");
    JsonNode rollingUpdate = strategy.get("rollingUpdate");
    String path = "spec.strategy.rollingUpdate";
    if (strategy.path("type").asText().equals("Recreate")) {
      if (rollingUpdate != null) {
        errors.add(
            new FieldError(
                path, Cause.FORBIDDEN, "must not be set if spec.strategy.type is Recreate"));
      }
      return;
    }
    for (String field : List.of("maxSurge", "maxUnavailable")) {
      if (resolveCountOrPercentage(rollingUpdate.get(field), 100, true) < 0) {
        errors.add(
            new FieldError(
                FieldPaths.join(path, field),
                Cause.INVALID,
                "must be a count or a percentage of at most 100%, not '"
                    + rollingUpdate.get(field).asText()
                    + "'"));
      }
    }
    if (resolveCountOrPercentage(rollingUpdate.get("maxSurge"), 100, true) == 0
        && resolveCountOrPercentage(rollingUpdate.get("maxUnavailable"), 100, false) == 0) {
      errors.add(
          new FieldError(
              FieldPaths.join(path, "maxUnavailable"),
              Cause.INVALID,
              "must not be 0 if maxSurge is 0"));
    }
  }

  /**
   * Returns the value if it is a count, or the corresponding part of {@code total} if it is a
   * percentage. The result is negative if the value is neither or is a percentage above 100%.
   */
  static int resolveCountOrPercentage(JsonNode value, int total, boolean roundUp) {
    if (value.isIntegralNumber()) {
      return value.canConvertToInt() ? value.asInt() : -1;
    }
    String text = value.asText();
    if (!text.matches("[0-9]{1,3}%")) {
      return -1;
    }
    int percent = Integer.parseInt(text.substring(0, text.length() - 1));
    if (percent > 100) {
      return -1;
    }
    return roundUp ? (total * percent + 99) / 100 : total * percent / 100;
  }

  /**
   * Returns a copy of the spec in which absent fields have the defaults of the published API.
   * Objects are stored in this form.
   */
  static ObjectNode withDefaults(ObjectKind kind, ObjectNode spec) {
    ObjectNode filled = spec.deepCopy();
    if (kind == ObjectKind.JOB) {
      if (!filled.has("completions")) {
        filled.put("completions", 1);
      }
      if (!filled.has("parallelism")) {
        filled.put("parallelism", 1);
      }
      if (!filled.has("completionMode")) {
        filled.put("completionMode", "NonIndexed");
      }
      if (!filled.has("suspend")) {
        filled.put("suspend", false);
      }
      if (!filled.has("backoffLimit")) {
        filled.put("backoffLimit", DEFAULT_BACKOFF_LIMIT);
      }
      return filled;
    }
    if (!filled.has("replicas")) {
      filled.put("replicas", 1);
    }
    ObjectNode strategy = filled.withObject("/strategy");
    if (!strategy.has("type")) {
      strategy.put("type", "RollingUpdate");
    }
    if (strategy.get("type").asText().equals("RollingUpdate")) {
      ObjectNode rollingUpdate = strategy.withObject("/rollingUpdate");
      for (String field : List.of("maxSurge", "maxUnavailable")) {
        if (!rollingUpdate.has(field)) {
          rollingUpdate.put(field, DEFAULT_ROLLING_PERCENTAGE);
        }
      }
    }
    return filled;
  }

  private void refuseMisplacedAnnotations(
      JsonNode annotations, boolean inTemplate, List<FieldError> errors) {
    if (annotations == null) {
      return;
    }
    String path = (inTemplate ? "spec.template.metadata" : "metadata") + ".annotations";
    annotations
        .fieldNames()
        .forEachRemaining(
            name -> {
              if (name.startsWith(ANNOTATION_PREFIX)
                  && !name.equals(KubernetesObject.REQUEST_ID_ANNOTATION)) {
                errors.add(
                    new FieldError(
                        path + "[" + name + "]",
                        Cause.FORBIDDEN,
                        inTemplate
                            ? "must be set in the Job's own metadata instead"
                            : "must be set in the template's metadata instead"));
              }
            });
  }

  /** Returns the native job of a stored Job, or of one replica of a stored Deployment. */
  JobSpec toJobSpec(KubernetesObject object, String id) {
    JsonNode annotations =
        object.kind() == ObjectKind.JOB
            ? object.metadata().get("annotations")
            : object.spec().path("template").path("metadata").get("annotations");
    List<FieldError> errors = new ArrayList<>();
    ObjectNode message =
        buildMessage(object.kind(), object.spec(), annotations, object.namespace(), id, errors);
    try {
      if (errors.isEmpty()) {
        return JobMessages.parseJobSpec(message);
      }
    } catch (Cbor.MalformedMessageException exception) {
      errors.add(new FieldError("", Cause.INVALID, exception.getMessage()));
    }
    throw new IllegalStateException(
        "stored object " + object.key() + " cannot be translated to a native job: " + errors);
  }

  /**
   * Returns the native message of a manifest that {@link #validate} accepts. The {@code check}
   * command uses this method, since it works without a controller.
   */
  public ObjectNode toNativeMessage(ObjectKind kind, ObjectNode manifest, String namespace) {
    ObjectNode spec = withDefaults(kind, (ObjectNode) manifest.get("spec"));
    JsonNode annotations =
        kind == ObjectKind.JOB
            ? manifest.path("metadata").get("annotations")
            : spec.path("template").path("metadata").get("annotations");
    return buildMessage(kind, spec, annotations, namespace, PLACEHOLDER_JOB_ID, new ArrayList<>());
  }

  private ObjectNode buildMessage(
      ObjectKind kind,
      ObjectNode spec,
      JsonNode annotations,
      String team,
      String id,
      List<FieldError> errors) {
    boolean isJob = kind == ObjectKind.JOB;
    AnnotationReader reader = new AnnotationReader(kind, annotations, errors);
    JsonNode pod = spec.path("template").path("spec");
    final JsonNode container = pod.path("containers").path(0);
    ObjectNode message = Cbor.newMap().put("name_id", id);
    message.put("jobclass", reader.readText("class", kind.keySegment())).put("crew", team);
    message.put("shape", !isJob ? "daemon" : reader.readFlag("gang") ? "ensemble" : "batch");
    message.put("urgency", pod.path("priorityClassName").asText("violetrail-normal").substring(11));
    message.put("pieces", isJob ? spec.get("completions").asInt() : 1);
    ResourceReader resources = new ResourceReader(container.path("resources"), errors);
    message
        .put("cores", resources.readAmount("cpu", BigDecimal.ONE, true))
        .put("gpus", resources.readAmount(GPU_RESOURCE, BigDecimal.ONE, false))
        .put("mem_gb", resources.readAmount("memory", BYTES_PER_GB, true));
    message
        .put("bundle", container.path("image").asText())
        .put("pull_gb", reader.readGigabytes("image-size"));
    JsonNode nodeSelector = pod.path("nodeSelector");
    if (nodeSelector.has(INSTANCE_TYPE_LABEL)) {
      message.putArray("hosttypes").add(nodeSelector.get(INSTANCE_TYPE_LABEL).asText());
    }
    message.put(
        "yard", nodeSelector.has(ZONE_LABEL) ? nodeSelector.get(ZONE_LABEL).asText() : null);
    message
        .put("one_zone", reader.readFlag("one-zone"))
        .put("apart", reader.readFlag("spread"))
        .put("loaners", reader.readFlag("spot"));
    message
        .put("guess_s", reader.readSeconds("estimate", 0.0))
        .put("snapshot_s", reader.readSeconds("checkpoint", 0.0))
        .put("flush_s", reader.readSeconds("save", 0.0))
        .put("due_s", reader.readSeconds("deadline", null));
    reader.refuseUnknown();
    return message;
  }

  /** Reads a container's resources and adds an error for each invalid value. */
  private static final class ResourceReader {
    private static final String RESOURCES_PATH = "spec.template.spec.containers[0].resources";
    private final JsonNode resources;
    private final List<FieldError> errors;

    ResourceReader(JsonNode resources, List<FieldError> errors) {
      this.resources = resources;
      this.errors = errors;
    }

    double readAmount(String name, BigDecimal unit, boolean required) {
      BigDecimal requested = findQuantity("requests", name);
      BigDecimal limit = findQuantity("limits", name);
      if (requested != null && limit != null && requested.compareTo(limit) != 0) {
        errors.add(
            new FieldError(
                resourcePath("limits", name),
                Cause.NOT_SUPPORTED,
                "is "
                    + limit.toPlainString()
                    + " but must equal the request of "
                    + requested.toPlainString()));
      }
      BigDecimal amount = requested == null ? limit : requested;
      if (amount == null) {
        if (required && !resources.path("requests").has(name)) {
          errors.add(new FieldError(resourcePath("requests", name), Cause.REQUIRED, "is required"));
        }
        return 0;
      }
      if (required && amount.signum() == 0) {
        errors.add(
            new FieldError(
                resourcePath("requests", name), Cause.INVALID, "must be greater than 0"));
      }
      if (name.equals(GPU_RESOURCE) && amount.stripTrailingZeros().scale() > 0) {
        errors.add(
            new FieldError(
                resourcePath("requests", name),
                Cause.INVALID,
                "must be a whole number, not " + amount.toPlainString()));
      }
      return amount.divide(unit).doubleValue();
    }

    private BigDecimal findQuantity(String section, String name) {
      JsonNode value = resources.path(section).get(name);
      if (value == null) {
        return null;
      }
      Optional<BigDecimal> amount = Quantity.parseAmount(value.asText());
      if (amount.isEmpty()) {
        errors.add(
            new FieldError(
                resourcePath(section, name),
                Cause.INVALID,
                "'" + value.asText() + "' is not a quantity such as 500m, 2 or 1.5Gi"));
      }
      return amount.orElse(null);
    }

    private static String resourcePath(String section, String name) {
      return RESOURCES_PATH
          + "."
          + section
          + (name.equals(GPU_RESOURCE) ? "[" + name + "]" : "." + name);
    }
  }

  /** Reads the supported annotations strictly and adds an error for each invalid or unknown one. */
  private final class AnnotationReader {
    private final boolean isJob;
    private final String path;
    private final JsonNode annotations;
    private final List<FieldError> errors;

    AnnotationReader(ObjectKind kind, JsonNode annotations, List<FieldError> errors) {
      this.isJob = kind == ObjectKind.JOB;
      this.path = (isJob ? "metadata" : "spec.template.metadata") + ".annotations";
      this.annotations = annotations == null ? Cbor.newMap() : annotations;
      this.errors = errors;
    }

    private String findValue(String name) {
      JsonNode value = annotations.get(ANNOTATION_PREFIX + name);
      return value == null ? null : value.asText();
    }

    private void addError(String name, String reason) {
      errors.add(
          new FieldError(path + "[" + ANNOTATION_PREFIX + name + "]", Cause.INVALID, reason));
    }

    String readText(String name, String defaultValue) {
      String text = findValue(name);
      if (text != null && text.isBlank()) {
        addError(name, "must not be empty");
      }
      return text == null ? defaultValue : text;
    }

    boolean readFlag(String name) {
      String text = findValue(name);
      if (text != null && !text.equals("true") && !text.equals("false")) {
        addError(name, "must be \"true\" or \"false\", not \"" + text + "\"");
      }
      return "true".equals(text);
    }

    Double readSeconds(String name, Double defaultValue) {
      String text = findValue(name);
      if (text == null) {
        return defaultValue;
      }
      Optional<Double> seconds = Quantity.parseDurationSeconds(text);
      if (seconds.isEmpty()) {
        addError(name, "'" + text + "' is not a duration such as 90s, 1.5m or 2h");
      }
      return seconds.orElse(defaultValue);
    }

    double readGigabytes(String name) {
      String text = findValue(name);
      if (text == null) {
        return 0;
      }
      Optional<BigDecimal> amount = Quantity.parseAmount(text);
      if (amount.isEmpty()) {
        addError(name, "'" + text + "' is not a quantity such as 250M or 1.5Gi");
      }
      return amount.map(a -> a.divide(BYTES_PER_GB).doubleValue()).orElse(0.0);
    }

    void refuseUnknown() {
      Map<String, ManifestSchema.Annotation> known = manifestSchema.annotations();
      annotations
          .fieldNames()
          .forEachRemaining(
              name -> {
                ManifestSchema.Annotation annotation = known.get(name);
                if (name.startsWith(ANNOTATION_PREFIX) && annotation == null) {
                  errors.add(
                      new FieldError(
                          path + "[" + name + "]",
                          Cause.NOT_SUPPORTED,
                          "the annotation is unknown"));
                } else if (annotation != null
                    && !isJob
                    && annotation.meaning().endsWith("Jobs only")) {
                  errors.add(
                      new FieldError(
                          path + "[" + name + "]",
                          Cause.NOT_SUPPORTED,
                          "is supported on Jobs only"));
                }
              });
    }
  }
}
