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

/** What can be said of manifests without a controller. */
@Command(
    name = "kubernetes",
    mixinStandardHelpOptions = true,
    subcommands = {KubernetesCommand.Check.class, KubernetesCommand.Explain.class},
    description = "Says what of the Kubernetes API is taken.",
    synopsisSubcommandLabel = "COMMAND")
final class KubernetesCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(spec.commandLine().getErr());
    return ExitStatus.BAD_USAGE;
  }

  /** Reads YAML or JSON, several documents too, and says what would become of each. */
  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description = {
        "Says for each manifest in FILE (YAML or JSON) the native job that it means, or each field",
        "that is refused. Exit status: 0 all would be taken, 1 some not, 2 FILE cannot be read."
      })
  static final class Check implements Callable<Integer> {
    @Parameters(paramLabel = "FILE")
    private Path file;

    @Option(
        names = "--namespace",
        description = "the team to submit for; default: each manifest's own, or 'default'")
    private String namespace;

    @Spec private CommandSpec spec;

    private final NativeJobTranslator translator = new NativeJobTranslator(new ManifestSchema());

    @Override
    public Integer call() {
      PrintWriter out = spec.commandLine().getOut();
      PrintWriter err = spec.commandLine().getErr();
      int documents = 0;
      int refused = 0;
      YAMLFactory yaml =
          YAMLFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();
      try (JsonParser parser = yaml.createParser(Files.readAllBytes(file))) {
        while (parser.nextToken() != null) {
          JsonNode document = KubernetesJson.readNext(parser);
          String location = file + " document " + ++documents;
          List<FieldError> errors = checkManifest(document, location, out);
          for (FieldError error : errors) {
            out.println(
                location
                    + ": refused: "
                    + (error.path().isEmpty() ? "" : error.path() + ": ")
                    + error.message());
          }
          refused += errors.isEmpty() ? 0 : 1;
        }
      } catch (KubernetesJson.MalformedRequestException exception) {
        out.println(
            file
                + " document "
                + (documents + 1)
                + ": refused: "
                + (exception.path().isEmpty() ? "" : exception.path() + ": ")
                + exception.getMessage());
        return ExitStatus.REFUSED;
      } catch (IOException exception) {
        err.println(
            "violetrail kubernetes check: " + file + " cannot be read: " + exception.getMessage());
        return ExitStatus.BAD_USAGE;
      }
      if (documents == 0) {
        err.println("violetrail kubernetes check: " + file + " holds no manifest");
        return ExitStatus.BAD_USAGE;
      }
      return refused > 0 ? ExitStatus.REFUSED : ExitStatus.DONE;
    }

    private List<FieldError> checkManifest(JsonNode document, String location, PrintWriter out) {
      if (!(document instanceof ObjectNode manifest)) {
        return List.of(new FieldError("", FieldError.Cause.TYPE, "the document is not an object"));
      }
      ObjectKind kind =
          ObjectKind.findForManifest(
              manifest.path("apiVersion").asText(), manifest.path("kind").asText());
      if (kind == null) {
        return List.of(
            new FieldError(
                "kind",
                FieldError.Cause.NOT_SUPPORTED,
                "only batch/v1 Job and apps/v1 Deployment are taken"));
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
            location + ": taken, as " + (kind == ObjectKind.JOB ? "" : "replicas of ") + message);
      }
      return errors;
    }
  }

  /** The table of fields, the same that requests are checked against. */
  @Command(
      name = "explain",
      mixinStandardHelpOptions = true,
      description = {
        "Says what a field means or why it is refused, and all fields below it.",
        "Exit status: 0 known, 1 no such field."
      })
  static final class Explain implements Callable<Integer> {
    @Parameters(
        paramLabel = "FIELD",
        arity = "0..1",
        defaultValue = "",
        description = "such as spec.template.spec; default: all")
    private String field;

    @Option(names = "--kind", defaultValue = "Job", description = "Job or Deployment")
    private String kind;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
      PrintWriter out = spec.commandLine().getOut();
      ManifestSchema manifestSchema = new ManifestSchema();
      int found = 0;
      for (ObjectKind candidate : ObjectKind.values()) {
        if (!candidate.publishedName().equals(kind)) {
          continue;
        }
        for (Field known : manifestSchema.listFields(candidate)) {
          if (known.path().equals(field) || known.path().startsWith(field)) {
            found++;
            out.println(
                known.path() + (known.supported() ? ": " : ": refused: ") + known.meaning());
          }
        }
      }
      if (found == 0) {
        spec.commandLine().getErr().println("violetrail kubernetes explain: no such field");
        return ExitStatus.REFUSED;
      }
      return ExitStatus.DONE;
    }
  }
}
