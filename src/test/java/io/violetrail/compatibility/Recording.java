package io.violetrail.compatibility;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Text that an earlier program wrote, kept as test resources. */
final class Recording {
  private Recording() {}

  /** The lines of a recording: what stands before the first space names the rest. */
  static Map<String, String> lines(String resource) {
    Map<String, String> all = new LinkedHashMap<>();
    for (String line : text(resource).lines().toList()) {
      int space = line.indexOf(' ');
      all.put(line.substring(0, space), line.substring(space + 1));
    }
    return all;
  }

  private static String text(String resource) {
    try (InputStream stream = Recording.class.getResourceAsStream(resource)) {
      return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException exception) {
      throw new IllegalStateException(exception);
    }
  }
}
