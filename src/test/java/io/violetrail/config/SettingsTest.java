package io.violetrail.config;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class SettingsTest {
  @Test
  void invalidSettingsAreReportedInOneLine() throws Exception {
    var missingFile =
        assertThrows(
            Settings.InvalidSettingsException.class,
            () -> Settings.load(Path.of("no-such-file.toml")));
    assertTrue(missingFile.getMessage().contains("no-such-file.toml"));
    var incomplete = new TomlMapper().readTree("label = \"a\"");
    var missingSection =
        assertThrows(Settings.InvalidSettingsException.class, () -> Settings.parse(incomplete));
    assertTrue(missingSection.getMessage().lines().count() == 1);
  }
}
