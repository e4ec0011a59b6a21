package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion.VersionFlag;
import com.networknt.schema.ValidationMessage;
import io.violetrail.wire.kubernetes.FieldError;
import io.violetrail.wire.kubernetes.FieldError.Cause;
import io.violetrail.wire.kubernetes.FieldPaths;
import io.violetrail.wire.kubernetes.KubernetesJson;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The supported subset of manifest fields, as a JSON schema. Validation, the {@code explain}
 * command and the table in the documentation all use the same files.
 */
public final class ManifestSchema {
  private static final String REF = "$ref";
  private static final String DEFS = "$defs";

  /** Fields that only Jobs have in the published API. */
  private static final Set<String> JOB_ONLY_FIELDS =
      Set.of(
          "spec.manualSelector",
          "spec.ttlSecondsAfterFinished",
          "spec.backoffLimitPerIndex",
          "spec.maxFailedIndexes",
          "spec.podFailurePolicy",
          "spec.podReplacementPolicy",
          "spec.successPolicy",
          "spec.managedBy");

  /** Fields that only Deployments have in the published API. */
  private static final Set<String> DEPLOYMENT_ONLY_FIELDS =
      Set.of(
          "spec.minReadySeconds",
          "spec.revisionHistoryLimit",
          "spec.progressDeadlineSeconds",
          "spec.paused");

  private final ObjectNode definitions;
  private final ObjectNode unsupportedFields;
  private final ObjectNode annotations;
  private final Map<ObjectKind, JsonSchema> schemas = new EnumMap<>(ObjectKind.class);

  /** Loads the schema, the unsupported fields and the annotations from the class path. */
  public ManifestSchema() {
    definitions = loadResource("schema.json");
    unsupportedFields = loadResource("refused.json");
    annotations = loadResource("annotations.json");
    JsonSchemaFactory factory = JsonSchemaFactory.getInstance(VersionFlag.V202012);
    SchemaValidatorsConfig config =
        SchemaValidatorsConfig.builder().pathType(PathType.JSON_POINTER).build();
    for (ObjectKind kind : ObjectKind.values()) {
      ObjectNode root = definitions.deepCopy().put(REF, "#/" + DEFS + "/" + kind.publishedName());
      schemas.put(kind, factory.getSchema(root, config));
    }
  }

  private static ObjectNode loadResource(String name) {
    try (InputStream in = ManifestSchema.class.getResourceAsStream(name)) {
      return KubernetesJson.parse(in.readAllBytes());
    } catch (IOException | KubernetesJson.MalformedRequestException exception) {
      throw new IllegalStateException("cannot load the resource " + name, exception);
    }
  }

  /**
   * A supported annotation.
   *
   * @param valueType {@code text}, {@code flag}, {@code amount} or {@code duration}
   */
  record Annotation(String valueType, String meaning) {}

  Map<String, Annotation> annotations() {
    Map<String, Annotation> annotationsByName = new TreeMap<>();
    annotations
        .properties()
        .forEach(
            entry ->
                annotationsByName.put(
                    entry.getKey(),
                    new Annotation(
                        entry.getValue().path("kind").asText(),
                        entry.getValue().path("means").asText())));
    return annotationsByName;
  }

  /** Returns an error for each field that is missing, unsupported or has an invalid value. */
  List<FieldError> validate(ObjectKind kind, JsonNode manifest) {
    List<FieldError> errors = new ArrayList<>();
    for (ValidationMessage message : schemas.get(kind).validate(manifest)) {
      String path = FieldPaths.fromJsonPointer(message.getInstanceLocation().toString());
      switch (message.getType()) {
        case "required" ->
            errors.add(
                new FieldError(
                    FieldPaths.join(path, message.getProperty()), Cause.REQUIRED, "is required"));
        case "additionalProperties" -> {
          String field = FieldPaths.join(path, message.getProperty());
          errors.add(new FieldError(field, Cause.NOT_SUPPORTED, refusalReason(field)));
        }
        case "type" -> errors.add(new FieldError(path, Cause.TYPE, message.getMessage()));
        case "const", "enum" ->
            errors.add(new FieldError(path, Cause.NOT_SUPPORTED, messageWithoutLocation(message)));
        default -> errors.add(new FieldError(path, Cause.INVALID, messageWithoutLocation(message)));
      }
    }
    return errors;
  }

  /** Removes the location that starts a message of the library; the error already names it. */
  private static String messageWithoutLocation(ValidationMessage message) {
    String text = message.getMessage();
    String prefix = message.getInstanceLocation() + ": ";
    return text.startsWith(prefix) ? text.substring(prefix.length()) : text;
  }

  private String refusalReason(String field) {
    String generalPath = field.replaceAll("\\[[0-9]+]", "[0]");
    JsonNode reason = unsupportedFields.get(generalPath);
    return reason == null ? "the field is unknown" : "is not supported: " + reason.asText();
  }

  /**
   * One row of the table of fields.
   *
   * @param meaning what a supported field means for the native job; otherwise why it is unsupported
   */
  public record Field(String path, boolean supported, String meaning) {}

  /** Returns all known fields of a kind, supported or not, in the order of their paths. */
  public List<Field> listFields(ObjectKind kind) {
    Map<String, Field> fieldsByPath = new TreeMap<>();
    collectFields("", definitions.path(DEFS).path(kind.publishedName()), fieldsByPath);
    unsupportedFields
        .properties()
        .forEach(
            entry -> {
              String path = entry.getKey();
              String parent = path.substring(0, Math.max(0, path.lastIndexOf('.')));
              boolean parentSupported =
                  parent.isEmpty() || fieldsByPath.containsKey(parent.replace("[0]", ""));
              boolean belongsToOtherKind =
                  kind == ObjectKind.JOB
                      ? DEPLOYMENT_ONLY_FIELDS.contains(path)
                      : JOB_ONLY_FIELDS.contains(path);
              if (!fieldsByPath.containsKey(path) && parentSupported && !belongsToOtherKind) {
                fieldsByPath.put(path, new Field(path, false, entry.getValue().asText()));
              }
            });
    annotations()
        .forEach(
            (name, annotation) -> {
              String path =
                  (kind == ObjectKind.JOB ? "metadata" : "spec.template.metadata")
                      + ".annotations["
                      + name
                      + "]";
              if (kind == ObjectKind.JOB || !annotation.meaning().endsWith("Jobs only")) {
                fieldsByPath.put(
                    path,
                    new Field(path, true, annotation.valueType() + ": " + annotation.meaning()));
              }
            });
    return List.copyOf(fieldsByPath.values());
  }

  private void collectFields(String path, JsonNode node, Map<String, Field> fieldsByPath) {
    JsonNode resolved = node;
    String meaning = node.path("description").asText("");
    while (resolved.has(REF)) {
      String ref = resolved.get(REF).asText();
      resolved = definitions.path(DEFS).path(ref.substring(ref.lastIndexOf('/') + 1));
    }
    if (!path.isEmpty()) {
      fieldsByPath.put(path, new Field(path, true, meaning));
    }
    resolved
        .path("properties")
        .properties()
        .forEach(
            entry -> {
              String name = entry.getKey();
              boolean quoted = name.indexOf('/') >= 0 || name.indexOf('.') >= 0;
              collectFields(
                  quoted ? path + "[" + name + "]" : FieldPaths.join(path, name),
                  entry.getValue(),
                  fieldsByPath);
            });
    if (resolved.has("items")) {
      collectFields(path + "[0]", resolved.get("items"), fieldsByPath);
      fieldsByPath.remove(path + "[0]");
    }
  }
}
