package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion.VersionFlag;
import com.networknt.schema.ValidationMessage;
import io.violetrail.wire.kubernetes.KubeJson;
import io.violetrail.wire.kubernetes.Paths;
import io.violetrail.wire.kubernetes.Refusal;
import io.violetrail.wire.kubernetes.Refusal.Cause;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The subset of fields that are taken, as a JSON schema. What is checked, what {@code explain} says
 * and the table in the documents all come from the same files.
 */
public final class Schema {
  private static final String REF = "$ref";
  private static final String DEFS = "$defs";

  /** Fields that only Jobs have, and only Deployments, in the published API. */
  private static final Set<String> JOBS =
      Set.of(
          "spec.manualSelector",
          "spec.ttlSecondsAfterFinished",
          "spec.backoffLimitPerIndex",
          "spec.maxFailedIndexes",
          "spec.podFailurePolicy",
          "spec.podReplacementPolicy",
          "spec.successPolicy",
          "spec.managedBy");

  private static final Set<String> DEPLOYMENTS =
      Set.of(
          "spec.minReadySeconds",
          "spec.revisionHistoryLimit",
          "spec.progressDeadlineSeconds",
          "spec.paused");

  private final ObjectNode definitions;
  private final ObjectNode refused;
  private final ObjectNode annotations;
  private final Map<Kind, JsonSchema> schemas = new EnumMap<>(Kind.class);

  /** Loads the published schemas and the lists of refused fields from the class path. */
  public Schema() {
    definitions = resource("schema.json");
    refused = resource("refused.json");
    annotations = resource("annotations.json");
    JsonSchemaFactory factory = JsonSchemaFactory.getInstance(VersionFlag.V202012);
    SchemaValidatorsConfig config =
        SchemaValidatorsConfig.builder().pathType(PathType.JSON_POINTER).build();
    for (Kind k : Kind.values()) {
      ObjectNode root = definitions.deepCopy().put(REF, "#/" + DEFS + "/" + k.published());
      schemas.put(k, factory.getSchema(root, config));
    }
  }

  private static ObjectNode resource(String name) {
    try (InputStream in = Schema.class.getResourceAsStream(name)) {
      return KubeJson.parse(in.readAllBytes());
    } catch (IOException | KubeJson.Malformed e) {
      throw new IllegalStateException(name, e);
    }
  }

  /** One annotation of ours: {@code text}, {@code flag}, {@code amount} or {@code duration}. */
  record Annotation(String kind, String means) {}

  Map<String, Annotation> annotations() {
    Map<String, Annotation> all = new TreeMap<>();
    annotations
        .properties()
        .forEach(
            e ->
                all.put(
                    e.getKey(),
                    new Annotation(
                        e.getValue().path("kind").asText(), e.getValue().path("means").asText())));
    return all;
  }

  /** All fields of a manifest that are not taken as they stand. */
  List<Refusal> check(Kind kind, JsonNode manifest) {
    List<Refusal> all = new ArrayList<>();
    for (ValidationMessage m : schemas.get(kind).validate(manifest)) {
      String path = Paths.dotted(m.getInstanceLocation().toString());
      switch (m.getType()) {
        case "required" ->
            all.add(new Refusal(Paths.in(path, m.getProperty()), Cause.REQUIRED, "is required"));
        case "additionalProperties" -> {
          String field = Paths.in(path, m.getProperty());
          all.add(new Refusal(field, Cause.NOT_SUPPORTED, whyNot(field)));
        }
        case "type" -> all.add(new Refusal(path, Cause.TYPE, m.getMessage()));
        case "const", "enum" -> all.add(new Refusal(path, Cause.NOT_SUPPORTED, said(m)));
        default -> all.add(new Refusal(path, Cause.INVALID, said(m)));
      }
    }
    return all;
  }

  /** The library begins its messages with the location, which stands in the refusal already. */
  private static String said(ValidationMessage m) {
    String text = m.getMessage();
    String prefix = m.getInstanceLocation() + ": ";
    return text.startsWith(prefix) ? text.substring(prefix.length()) : text;
  }

  private String whyNot(String field) {
    String first = field.replaceAll("\\[[0-9]+]", "[0]");
    JsonNode why = refused.get(first);
    return why == null ? "the field is unknown" : "is not supported: " + why.asText();
  }

  /** One line of the table of fields. */
  public record Field(String path, boolean taken, String means) {}

  /** All fields of a kind that are known, taken ones with their native meaning. */
  public List<Field> fields(Kind kind) {
    Map<String, Field> all = new TreeMap<>();
    walk("", definitions.path(DEFS).path(kind.published()), all);
    refused
        .properties()
        .forEach(
            e -> {
              String path = e.getKey();
              String parent = path.substring(0, Math.max(0, path.lastIndexOf('.')));
              boolean known = parent.isEmpty() || all.containsKey(parent.replace("[0]", ""));
              boolean others = kind == Kind.JOB ? DEPLOYMENTS.contains(path) : JOBS.contains(path);
              if (!all.containsKey(path) && known && !others) {
                all.put(path, new Field(path, false, e.getValue().asText()));
              }
            });
    annotations()
        .forEach(
            (name, a) -> {
              String path =
                  (kind == Kind.JOB ? "metadata" : "spec.template.metadata")
                      + ".annotations["
                      + name
                      + "]";
              if (kind == Kind.JOB || !a.means().endsWith("Jobs only")) {
                all.put(path, new Field(path, true, a.kind() + ": " + a.means()));
              }
            });
    return List.copyOf(all.values());
  }

  private void walk(String path, JsonNode node, Map<String, Field> all) {
    JsonNode at = node;
    String means = node.path("description").asText("");
    while (at.has(REF)) {
      String ref = at.get(REF).asText();
      at = definitions.path(DEFS).path(ref.substring(ref.lastIndexOf('/') + 1));
    }
    if (!path.isEmpty()) {
      all.put(path, new Field(path, true, means));
    }
    at.path("properties")
        .properties()
        .forEach(
            e -> {
              String name = e.getKey();
              boolean quoted = name.indexOf('/') >= 0 || name.indexOf('.') >= 0;
              walk(quoted ? path + "[" + name + "]" : Paths.in(path, name), e.getValue(), all);
            });
    if (at.has("items")) {
      walk(path + "[0]", at.get("items"), all);
      all.remove(path + "[0]");
    }
  }
}
