package io.violetrail.compatibility;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Text that an earlier release wrote, kept as test resources. */
final class Recording {
  private Recording() {}

  /** Returns the lines of a recording by their names, the text before the first space. */
  static Map<String, String> lines(String resource) {
    Map<String, String> valuesByName = new LinkedHashMap<>();
    for (String line : text(resource).lines().toList()) {
      int space = line.indexOf(' ');
      valuesByName.put(line.substring(0, space), line.substring(space + 1));
    }
    return valuesByName;
  }

  private static String text(String resource) {
    try (InputStream stream = Recording.class.getResourceAsStream(resource)) {
      return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException exception) {
      throw new IllegalStateException(exception);
    }
  }
}
