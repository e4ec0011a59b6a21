package io.violetrail.cli;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import io.violetrail.kubernetes.ManifestSchema;
import io.violetrail.kubernetes.ManifestSchema.Field;
import io.violetrail.kubernetes.NativeJobTranslator;
import io.violetrail.kubernetes.ObjectKind;
import io.violetrail.wire.kubernetes.FieldError;
import io.violetrail.wire.kubernetes.KubernetesJson;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks manifests and explains their fields without calling a controller. */
@Command(
    name = "kubernetes",
    mixinStandardHelpOptions = true,
    subcommands = {KubernetesCommand.Check.class, KubernetesCommand.Explain.class},
    description = "Shows which part of the Kubernetes API is supported.",
    synopsisSubcommandLabel = "COMMAND")
final class KubernetesCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(spec.commandLine().getErr());
    return ExitStatus.BAD_USAGE;
  }

  /**
   * Reads one or more YAML or JSON documents and prints for each the native job or the refused
   * fields.
   */
  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description = {
        "Prints for each manifest in FILE (YAML or JSON) the equivalent native job or each field",
        "that is refused. Exit status: 0 all accepted, 1 some refused, 2 FILE cannot be read."
      })
  static final class Check implements Callable<Integer> {
    @Parameters(paramLabel = "FILE")
    private Path manifestFile;

    @Option(
        names = "--namespace",
        description = "the team to submit for; default: each manifest's namespace, or 'default'")
    private String namespace;

    @Spec private CommandSpec spec;

    private final NativeJobTranslator translator = new NativeJobTranslator(new ManifestSchema());

    @Override
    public Integer call() {
      PrintWriter out = spec.commandLine().getOut();
      PrintWriter err = spec.commandLine().getErr();
      int documentCount = 0;
      int refusedCount = 0;
      YAMLFactory yaml =
          YAMLFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();
      try (JsonParser parser = yaml.createParser(Files.readAllBytes(manifestFile))) {
        while (parser.nextToken() != null) {
          JsonNode document = KubernetesJson.readNext(parser);
          String location = manifestFile + " document " + ++documentCount;
          List<FieldError> errors = checkManifest(document, location, out);
          for (FieldError error : errors) {
            out.println(
                location
                    + ": refused: "
                    + (error.path().isEmpty() ? "" : error.path() + ": ")
                    + error.message());
          }
          refusedCount += errors.isEmpty() ? 0 : 1;
        }
      } catch (KubernetesJson.MalformedRequestException exception) {
        out.println(
            manifestFile
                + " document "
                + (documentCount + 1)
                + ": refused: "
                + (exception.path().isEmpty() ? "" : exception.path() + ": ")
                + exception.getMessage());
        return ExitStatus.REFUSED;
      } catch (IOException exception) {
        err.println(
            "violetrail kubernetes check: "
                + manifestFile
                + " cannot be read: "
                + exception.getMessage());
        return ExitStatus.BAD_USAGE;
      }
      if (documentCount == 0) {
        err.println("violetrail kubernetes check: " + manifestFile + " contains no manifest");
        return ExitStatus.BAD_USAGE;
      }
      return refusedCount > 0 ? ExitStatus.REFUSED : ExitStatus.DONE;
    }

    private List<FieldError> checkManifest(JsonNode document, String location, PrintWriter out) {
      if (!(document instanceof ObjectNode manifest)) {
        return List.of(new FieldError("", FieldError.Cause.TYPE, "the document must be an object"));
      }
      ObjectKind kind =
          ObjectKind.findForManifest(
              manifest.path("apiVersion").asText(), manifest.path("kind").asText());
      if (kind == null) {
        return List.of(
            new FieldError(
                "kind",
                FieldError.Cause.NOT_SUPPORTED,
                "only batch/v1 Job and apps/v1 Deployment are supported, received apiVersion "
                    + manifest.path("apiVersion").asText("nothing")
                    + " and kind "
                    + manifest.path("kind").asText("nothing")));
      }
      String team =
          namespace != null
              ? namespace
              : manifest.path("metadata").path("namespace").asText("default");
      List<FieldError> errors = translator.validate(kind, manifest, team);
      if (errors.isEmpty()) {
        ObjectNode message = translator.toNativeMessage(kind, manifest, team);
        message.remove("name_id");
        out.println(
            location
                + ": accepted, as "
                + (kind == ObjectKind.JOB ? "" : "replicas of ")
                + message);
      }
      return errors;
    }
  }

  /** Prints fields of the schema against which requests are validated. */
  @Command(
      name = "explain",
      mixinStandardHelpOptions = true,
      description = {
        "Prints the meaning of a field and of all fields below it, or why they are refused.",
        "Exit status: 0 the field is known, 1 there is no such field."
      })
  static final class Explain implements Callable<Integer> {
    @Parameters(
        paramLabel = "FIELD",
        arity = "0..1",
        defaultValue = "",
        description = "for example spec.template.spec; default: all fields")
    private String field;

    @Option(names = "--kind", defaultValue = "Job", description = "Job or Deployment")
    private String kind;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
      PrintWriter out = spec.commandLine().getOut();
      ManifestSchema manifestSchema = new ManifestSchema();
      int matchCount = 0;
      for (ObjectKind candidate : ObjectKind.values()) {
        if (!candidate.publishedName().equals(kind)) {
          continue;
        }
        for (Field schemaField : manifestSchema.listFields(candidate)) {
          if (schemaField.path().equals(field) || schemaField.path().startsWith(field)) {
            matchCount++;
            out.println(
                schemaField.path()
                    + (schemaField.supported() ? ": " : ": refused: ")
                    + schemaField.meaning());
          }
        }
      }
      if (matchCount == 0) {
        spec.commandLine()
            .getErr()
            .println(
                "violetrail kubernetes explain: no field of kind '"
                    + kind
                    + "' begins with '"
                    + field
                    + "'; the kinds are Job and Deployment");
        return ExitStatus.REFUSED;
      }
      return ExitStatus.DONE;
    }
  }
}
