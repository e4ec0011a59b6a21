package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.model.JobSpec;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.JobWire;
import io.violetrail.wire.kubernetes.Paths;
import io.violetrail.wire.kubernetes.Quantity;
import io.violetrail.wire.kubernetes.Refusal;
import io.violetrail.wire.kubernetes.Refusal.Cause;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What an object means as a native job. A Job becomes the very message that a user would have sent,
 * read by the same code, so that both are the same job to everything behind it. Plain decisions;
 * nothing is looked up.
 */
public final class Translation {
  private static final String OURS = "violetrail.io/";
  private static final String ZONE = "topology.kubernetes.io/zone";
  private static final String TYPE = "node.kubernetes.io/instance-type";
  private static final String GPU = "nvidia.com/gpu";
  private static final BigDecimal GB = new BigDecimal("1e9");

  /** As published, where the field is not there. */
  private static final int BACKOFF_LIMIT = 6;

  private static final String QUARTER = "25%";

  /** Any well-formed id: what a manifest means does not depend on it. */
  private static final String ANY_ID = "job-0";

  private final Schema schema;

  public Translation(Schema schema) {
    this.schema = schema;
  }

  /** Fields of a manifest that are not taken, for a namespace; empty if it can be kept. */
  public List<Refusal> check(Kind kind, ObjectNode manifest, String namespace) {
    List<Refusal> no = new ArrayList<>(schema.check(kind, manifest));
    if (!no.isEmpty()) {
      return no;
    }
    JsonNode meta = manifest.path("metadata");
    if (meta.has("namespace") && !meta.get("namespace").asText().equals(namespace)) {
      no.add(
          new Refusal(
              "metadata.namespace", Cause.INVALID, "is not the namespace of the request's path"));
    }
    if (!meta.has("name") && !meta.has("generateName")) {
      no.add(new Refusal("metadata.name", Cause.REQUIRED, "name or generateName is required"));
    }
    ObjectNode filled = withDefaults(kind, (ObjectNode) manifest.get("spec"));
    if (kind == Kind.JOB) {
      job(filled, no);
    } else {
      deployment(filled, no);
    }
    JsonNode own = meta.get("annotations");
    JsonNode inner = filled.path("template").path("metadata").get("annotations");
    misplaced(kind == Kind.JOB ? inner : own, kind == Kind.JOB, no);
    message(kind, filled, kind == Kind.JOB ? own : inner, namespace, ANY_ID, no);
    return no;
  }

  private static void job(ObjectNode spec, List<Refusal> no) {
    if (spec.get("parallelism").asInt() != spec.get("completions").asInt()) {
      no.add(
          new Refusal(
              "spec.parallelism",
              Cause.NOT_SUPPORTED,
              "must equal completions: a job runs as many tasks at once"
                  + " as its team's limit allows"));
    }
    String restart = spec.path("template").path("spec").path("restartPolicy").asText();
    if (!restart.equals("Never") && !restart.equals("OnFailure")) {
      no.add(
          new Refusal(
              "spec.template.spec.restartPolicy", Cause.REQUIRED, "must be Never or OnFailure"));
    }
  }

  private static void deployment(ObjectNode spec, List<Refusal> no) {
    JsonNode labels = spec.path("template").path("metadata").path("labels");
    JsonNode wanted = spec.path("selector").path("matchLabels");
    wanted
        .properties()
        .forEach(
            e -> {
              if (!e.getValue().equals(labels.get(e.getKey()))) {
                no.add(
                    new Refusal(
                        "spec.selector.matchLabels[" + e.getKey() + "]",
                        Cause.INVALID,
                        "does not match the template's labels"));
              }
            });
    if (wanted.isEmpty()) {
      no.add(new Refusal("spec.selector.matchLabels", Cause.REQUIRED, "must name a label"));
    }
    String restart = spec.path("template").path("spec").path("restartPolicy").asText("Always");
    if (!restart.equals("Always")) {
      no.add(
          new Refusal(
              "spec.template.spec.restartPolicy",
              Cause.NOT_SUPPORTED,
              "must be Always: a replica runs until it is taken away"));
    }
    JsonNode strategy = spec.path("strategy");
    JsonNode rolling = strategy.get("rollingUpdate");
    String at = "spec.strategy.rollingUpdate";
    if (strategy.path("type").asText().equals("Recreate")) {
      if (rolling != null) {
        no.add(new Refusal(at, Cause.FORBIDDEN, "has no meaning with Recreate"));
      }
      return;
    }
    for (String field : List.of("maxSurge", "maxUnavailable")) {
      if (share(rolling.get(field), 100, true) < 0) {
        no.add(
            new Refusal(
                Paths.in(at, field), Cause.INVALID, "is neither a count nor a percentage to 100%"));
      }
    }
    if (share(rolling.get("maxSurge"), 100, true) == 0
        && share(rolling.get("maxUnavailable"), 100, false) == 0) {
      no.add(
          new Refusal(
              Paths.in(at, "maxUnavailable"), Cause.INVALID, "must not be 0 if maxSurge is 0"));
    }
  }

  /** A count, or a percentage of {@code of}; negative if it is neither. */
  static int share(JsonNode value, int of, boolean up) {
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
    return up ? (of * percent + 99) / 100 : of * percent / 100;
  }

  /** The spec as it is kept: what was left out has its published default. */
  static ObjectNode withDefaults(Kind kind, ObjectNode spec) {
    ObjectNode all = spec.deepCopy();
    if (kind == Kind.JOB) {
      if (!all.has("completions")) {
        all.put("completions", 1);
      }
      if (!all.has("parallelism")) {
        all.put("parallelism", 1);
      }
      if (!all.has("completionMode")) {
        all.put("completionMode", "NonIndexed");
      }
      if (!all.has("suspend")) {
        all.put("suspend", false);
      }
      if (!all.has("backoffLimit")) {
        all.put("backoffLimit", BACKOFF_LIMIT);
      }
      return all;
    }
    if (!all.has("replicas")) {
      all.put("replicas", 1);
    }
    ObjectNode strategy = all.withObject("/strategy");
    if (!strategy.has("type")) {
      strategy.put("type", "RollingUpdate");
    }
    if (strategy.get("type").asText().equals("RollingUpdate")) {
      ObjectNode rolling = strategy.withObject("/rollingUpdate");
      for (String field : List.of("maxSurge", "maxUnavailable")) {
        if (!rolling.has(field)) {
          rolling.put(field, QUARTER);
        }
      }
    }
    return all;
  }

  private void misplaced(JsonNode annotations, boolean inTemplate, List<Refusal> no) {
    if (annotations == null) {
      return;
    }
    String path = (inTemplate ? "spec.template.metadata" : "metadata") + ".annotations";
    annotations
        .fieldNames()
        .forEachRemaining(
            name -> {
              if (name.startsWith(OURS) && !name.equals(KubeObject.REQUEST_ID)) {
                no.add(
                    new Refusal(
                        path + "[" + name + "]",
                        Cause.FORBIDDEN,
                        inTemplate
                            ? "belongs to the Job's own metadata"
                            : "belongs to the template's metadata"));
              }
            });
  }

  /** The native job of a kept Job, or of one replica of a Deployment. */
  JobSpec spec(KubeObject object, String id) {
    JsonNode annotations =
        object.kind() == Kind.JOB
            ? object.metadata().get("annotations")
            : object.spec().path("template").path("metadata").get("annotations");
    List<Refusal> no = new ArrayList<>();
    ObjectNode message =
        message(object.kind(), object.spec(), annotations, object.namespace(), id, no);
    try {
      if (no.isEmpty()) {
        return JobWire.spec(message);
      }
    } catch (Cbor.Malformed e) {
      no.add(new Refusal("", Cause.INVALID, e.getMessage()));
    }
    throw new IllegalStateException(object.key() + " was kept and means nothing: " + no);
  }

  /** The native message that a manifest means; for {@code check}, which needs no controller. */
  public ObjectNode nativeMessage(Kind kind, ObjectNode manifest, String namespace) {
    ObjectNode filled = withDefaults(kind, (ObjectNode) manifest.get("spec"));
    JsonNode annotations =
        kind == Kind.JOB
            ? manifest.path("metadata").get("annotations")
            : filled.path("template").path("metadata").get("annotations");
    return message(kind, filled, annotations, namespace, ANY_ID, new ArrayList<>());
  }

  private ObjectNode message(
      Kind kind, ObjectNode spec, JsonNode annotations, String team, String id, List<Refusal> no) {
    boolean job = kind == Kind.JOB;
    Said said = new Said(kind, annotations, no);
    JsonNode pod = spec.path("template").path("spec");
    final JsonNode container = pod.path("containers").path(0);
    ObjectNode m = Cbor.map().put("name_id", id);
    m.put("jobclass", said.text("class", kind.row())).put("crew", team);
    m.put("shape", !job ? "daemon" : said.flag("gang") ? "ensemble" : "batch");
    m.put("urgency", pod.path("priorityClassName").asText("violetrail-normal").substring(11));
    m.put("pieces", job ? spec.get("completions").asInt() : 1);
    Amounts amounts = new Amounts(container.path("resources"), no);
    m.put("cores", amounts.of("cpu", BigDecimal.ONE, true))
        .put("gpus", amounts.of(GPU, BigDecimal.ONE, false))
        .put("mem_gb", amounts.of("memory", GB, true));
    m.put("bundle", container.path("image").asText()).put("pull_gb", said.gigabytes("image-size"));
    JsonNode where = pod.path("nodeSelector");
    if (where.has(TYPE)) {
      m.putArray("hosttypes").add(where.get(TYPE).asText());
    }
    m.put("yard", where.has(ZONE) ? where.get(ZONE).asText() : null);
    m.put("one_zone", said.flag("one-zone"))
        .put("apart", said.flag("spread"))
        .put("loaners", said.flag("spot"));
    m.put("guess_s", said.seconds("estimate", 0.0))
        .put("snapshot_s", said.seconds("checkpoint", 0.0))
        .put("flush_s", said.seconds("save", 0.0))
        .put("due_s", said.seconds("deadline", null));
    said.rest();
    return m;
  }

  /** Reads a container's resources, and notes what is wrong with them. */
  private static final class Amounts {
    private static final String AT = "spec.template.spec.containers[0].resources";
    private final JsonNode resources;
    private final List<Refusal> no;

    Amounts(JsonNode resources, List<Refusal> no) {
      this.resources = resources;
      this.no = no;
    }

    double of(String name, BigDecimal unit, boolean required) {
      BigDecimal requested = read("requests", name);
      BigDecimal limit = read("limits", name);
      if (requested != null && limit != null && requested.compareTo(limit) != 0) {
        no.add(
            new Refusal(path("limits", name), Cause.NOT_SUPPORTED, "must equal what is requested"));
      }
      BigDecimal amount = requested == null ? limit : requested;
      if (amount == null) {
        if (required && !resources.path("requests").has(name)) {
          no.add(new Refusal(path("requests", name), Cause.REQUIRED, "is required"));
        }
        return 0;
      }
      if (required && amount.signum() == 0) {
        no.add(new Refusal(path("requests", name), Cause.INVALID, "must be more than nothing"));
      }
      if (name.equals(GPU) && amount.stripTrailingZeros().scale() > 0) {
        no.add(new Refusal(path("requests", name), Cause.INVALID, "must be a whole number"));
      }
      return amount.divide(unit).doubleValue();
    }

    private BigDecimal read(String of, String name) {
      JsonNode value = resources.path(of).get(name);
      if (value == null) {
        return null;
      }
      Optional<BigDecimal> amount = Quantity.amount(value.asText());
      if (amount.isEmpty()) {
        no.add(
            new Refusal(
                path(of, name), Cause.INVALID, "'" + value.asText() + "' is not a quantity"));
      }
      return amount.orElse(null);
    }

    private static String path(String of, String name) {
      return AT + "." + of + (name.equals(GPU) ? "[" + name + "]" : "." + name);
    }
  }

  /** Reads our annotations, each strictly, and notes those that nobody knows. */
  private final class Said {
    private final boolean job;
    private final String at;
    private final JsonNode annotations;
    private final List<Refusal> no;

    Said(Kind kind, JsonNode annotations, List<Refusal> no) {
      this.job = kind == Kind.JOB;
      this.at = (job ? "metadata" : "spec.template.metadata") + ".annotations";
      this.annotations = annotations == null ? Cbor.map() : annotations;
      this.no = no;
    }

    private String get(String name) {
      JsonNode value = annotations.get(OURS + name);
      return value == null ? null : value.asText();
    }

    private void wrong(String name, String why) {
      no.add(new Refusal(at + "[" + OURS + name + "]", Cause.INVALID, why));
    }

    String text(String name, String other) {
      String text = get(name);
      if (text != null && text.isBlank()) {
        wrong(name, "must not be empty");
      }
      return text == null ? other : text;
    }

    boolean flag(String name) {
      String text = get(name);
      if (text != null && !text.equals("true") && !text.equals("false")) {
        wrong(name, "must be \"true\" or \"false\"");
      }
      return "true".equals(text);
    }

    Double seconds(String name, Double other) {
      String text = get(name);
      if (text == null) {
        return other;
      }
      Optional<Double> seconds = Quantity.seconds(text);
      if (seconds.isEmpty()) {
        wrong(name, "'" + text + "' is not a duration such as 90s, 1.5m or 2h");
      }
      return seconds.orElse(other);
    }

    double gigabytes(String name) {
      String text = get(name);
      if (text == null) {
        return 0;
      }
      Optional<BigDecimal> amount = Quantity.amount(text);
      if (amount.isEmpty()) {
        wrong(name, "'" + text + "' is not a quantity");
      }
      return amount.map(a -> a.divide(GB).doubleValue()).orElse(0.0);
    }

    void rest() {
      Map<String, Schema.Annotation> known = schema.annotations();
      annotations
          .fieldNames()
          .forEachRemaining(
              name -> {
                Schema.Annotation a = known.get(name);
                if (name.startsWith(OURS) && a == null) {
                  no.add(
                      new Refusal(
                          at + "[" + name + "]", Cause.NOT_SUPPORTED, "the annotation is unknown"));
                } else if (a != null && !job && a.means().endsWith("Jobs only")) {
                  no.add(
                      new Refusal(at + "[" + name + "]", Cause.NOT_SUPPORTED, "is for Jobs only"));
                }
              });
    }
  }
}
