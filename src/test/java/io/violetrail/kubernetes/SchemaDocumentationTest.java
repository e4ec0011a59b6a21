package io.violetrail.kubernetes;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** The table of fields in docs/kubernetes.md matches the schema. */
class SchemaDocumentationTest {
  @Test
  void documentedFieldTableMatchesTheSchema() throws IOException {
    String page = Files.readString(Path.of("docs/kubernetes.md"));
    StringBuilder table = new StringBuilder();
    for (ObjectKind kind : ObjectKind.values()) {
      for (ManifestSchema.Field field : new ManifestSchema().listFields(kind)) {
        table.append(
            "| %s | `%s` | %s | %s |%n"
                .formatted(
                    kind.publishedName(),
                    field.path(),
                    field.supported() ? "taken" : "refused",
                    field.meaning()));
      }
    }
    assertTrue(page.contains(table), "docs/kubernetes.md must contain this table:\n" + table);
  }
}
