package io.violetrail.tools.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs a scale run with two controller processes and 12 workers for a few seconds. */
class ScaleRunTest {
  private static final String[] TINY_RUN_ARGUMENTS = {
    "--controllers",
    "2",
    "--workers",
    "12",
    "--running",
    "24",
    "--starts",
    "12",
    "--jobs",
    "3",
    "--teams",
    "3",
    "--gang",
    "4",
    "--warm-up",
    "2",
    "--seconds",
    "4"
  };

  @TempDir private Path directory;

  private JsonNode runAndReadReport(String... extraArguments) throws Exception {
    Path report = directory.resolve("report.json");
    String[] commonArguments = {"--directory", directory.toString(), "--report", report.toString()};
    String[] args =
        java.util.stream.Stream.of(TINY_RUN_ARGUMENTS, commonArguments, extraArguments)
            .flatMap(java.util.Arrays::stream)
            .toArray(String[]::new);
    int status = ScaleRun.execute(args);
    JsonNode written = new ObjectMapper().readTree(report.toFile());
    boolean failed = false;
    for (JsonNode verdict : written.get("verdicts")) {
      failed |= verdict.get("outcome").asText().equals(ScaleReport.FAIL);
    }
    assertEquals(failed ? 1 : 0, status);
    return written;
  }

  @Test
  void tinyRunRunsJobsAndFillsTheReport() throws Exception {
    JsonNode report = runAndReadReport();
    assertEquals(12, report.at("/figures/workers_served").asInt());
    assertTrue(report.at("/figures/starts_a_s").asDouble() > 0);
    assertTrue(report.at("/figures/submitted").asInt() > 0);
    assertTrue(report.at("/stateChangesPerS/job job").asDouble() > 0);
    assertEquals(0, report.get("brokenRules").size());
    assertEquals(2, report.get("controllers").size());
    JsonNode one = report.at("/controllers/c0");
    assertTrue(one.get("residentMib").asDouble() > 0);
    assertTrue(one.at("/messages/worker report/messages").asDouble() > 0);
  }

  @Test
  void invalidCommandLineExitsWithStatus2() {
    assertEquals(2, ScaleRun.execute("--fault", "earthquake@3"));
    assertEquals(2, ScaleRun.execute("--workers", "many"));
  }
}
