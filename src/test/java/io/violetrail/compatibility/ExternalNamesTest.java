package io.violetrail.compatibility;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.violetrail.api.JobAdmission;
import io.violetrail.calendar.ScheduleDefinition;
import io.violetrail.configuration.ConfigurationState;
import io.violetrail.evidence.HeartbeatReplyKind;
import io.violetrail.evidence.TerminationEvidence;
import io.violetrail.model.JobView;
import io.violetrail.peer.PeerMessages;
import io.violetrail.peer.ResourceRequest;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Names that leave the process, listed in {@code external-names.txt}, are still in the sources. A
 * renamed field, key, flag, path or metric breaks users, workers, stored data or other controllers.
 * Names may be added to the list; a listed name is removed only together with its last use outside.
 */
class ExternalNamesTest {
  private static final Path SOURCES = Path.of("src/main/java/io/violetrail");
  private static final String RESOURCES_SECTION = "resources";
  private static final Map<String, List<String>> SECTIONS = readSections();

  /** Types whose components or constants are written out under their own names. */
  private static final Map<String, Class<?>> NAMED_TYPES =
      Map.ofEntries(
          Map.entry("calendar OverlapPolicy", ScheduleDefinition.OverlapPolicy.class),
          Map.entry("model JobStatus", JobView.JobStatus.class),
          Map.entry("api Verdict", JobAdmission.Verdict.class),
          Map.entry("peer PeerRequestKind", PeerMessages.PeerRequestKind.class),
          Map.entry("evidence HeartbeatReplyKind", HeartbeatReplyKind.class),
          Map.entry("evidence TerminationEvidence", TerminationEvidence.class),
          Map.entry("peer PeerRequest", PeerMessages.PeerRequest.class),
          Map.entry("peer PeerResponse", PeerMessages.PeerResponse.class),
          Map.entry("peer JobViewMessage", PeerMessages.JobViewMessage.class),
          Map.entry("peer ResourceRequest", ResourceRequest.class),
          Map.entry("configuration ConfigurationState", ConfigurationState.class));

  private static Map<String, List<String>> readSections() {
    Map<String, List<String>> sections = new LinkedHashMap<>();
    List<String> current = new ArrayList<>();
    try (InputStream in = ExternalNamesTest.class.getResourceAsStream("external-names.txt")) {
      for (String line : new String(in.readAllBytes(), UTF_8).lines().toList()) {
        if (line.startsWith("[")) {
          current = new ArrayList<>();
          sections.put(line.substring(1, line.length() - 1), current);
        } else if (!line.isEmpty() && !line.startsWith("# ")) {
          current.add(line);
        }
      }
    } catch (IOException exception) {
      throw new IllegalStateException(exception);
    }
    return sections;
  }

  static List<String> packages() {
    return SECTIONS.keySet().stream()
        .filter(name -> !name.contains(" ") && !name.equals(RESOURCES_SECTION))
        .toList();
  }

  static List<String> types() {
    return SECTIONS.keySet().stream().filter(name -> name.contains(" ")).toList();
  }

  @ParameterizedTest
  @MethodSource("packages")
  void literalsAreInTheirPackage(String packageName) throws IOException {
    String sources = sourcesOf(packageName);
    List<String> missing =
        SECTIONS.get(packageName).stream()
            .filter(name -> !sources.contains('"' + name + '"'))
            .toList();
    assertEquals(List.of(), missing, "names that are no longer string literals");
  }

  private static String sourcesOf(String packageName) throws IOException {
    StringBuilder sources = new StringBuilder();
    try (Stream<Path> files = Files.list(SOURCES.resolve(packageName.replace('.', '/')))) {
      for (Path file : files.filter(p -> p.toString().endsWith(".java")).toList()) {
        sources.append(Files.readString(file));
      }
    }
    return sources.toString();
  }

  @ParameterizedTest
  @MethodSource("types")
  void membersKeepTheirNames(String typeName) {
    Class<?> type = NAMED_TYPES.get(typeName);
    List<String> members =
        type.isEnum()
            ? Arrays.stream(type.getEnumConstants()).map(c -> ((Enum<?>) c).name()).toList()
            : Arrays.stream(type.getRecordComponents()).map(c -> c.getName()).toList();
    assertEquals(SECTIONS.get(typeName), members);
  }

  @Test
  void resourcesKeepTheirNamesAndKeys() throws IOException {
    List<String> names = SECTIONS.get(RESOURCES_SECTION);
    assertFalse(names.isEmpty());
    List<String> keys = new ArrayList<>();
    for (String name : names.stream().filter(n -> n.endsWith(".json")).toList()) {
      try (InputStream in = ExternalNamesTest.class.getClassLoader().getResourceAsStream(name)) {
        JsonNode document = new ObjectMapper().readTree(in);
        document.fieldNames().forEachRemaining(keys::add);
      }
    }
    for (String name : names.stream().filter(n -> !n.endsWith(".json")).toList()) {
      assertTrue(keys.contains(name), name);
    }
  }
}
