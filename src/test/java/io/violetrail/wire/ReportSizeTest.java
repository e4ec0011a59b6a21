package io.violetrail.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.model.JobId;
import io.violetrail.model.MachineType;
import io.violetrail.model.ReportSize;
import io.violetrail.model.Resources;
import io.violetrail.net.UndertowServer;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compares the bounds for the length of a report with reports as long as workers can make them. */
class ReportSizeTest {
  private static final long LARGEST_COUNTER = 1L << 53;
  private static final int LARGEST_TASK_INDEX = 99_999;

  private static final List<String> STATES =
      List.of("fetching", "gathering", "running", "flushing");

  private static final List<String> CAUSES =
      List.of(
          "done", "halted", "mates_gone", "incomplete", "error", "no_room", "in_use", "unknown");

  private static ObjectNode report() {
    String longName = "n".repeat(128);
    ObjectNode report = Cbor.newMap().put("host", longName).put("endpoint", longName);
    report
        .put("hosttype", longName)
        .put("yard", longName)
        .put("loaners", false)
        .put("tenure", LARGEST_COUNTER)
        .put("tick", LARGEST_COUNTER)
        .put("baton", LARGEST_COUNTER)
        .put("warning_s", 123.45678901234568);
    report.putArray("pieces");
    return report;
  }

  private static ObjectNode addTask(ObjectNode report, JobId job, String state) {
    return report
        .withArray("pieces")
        .addObject()
        .put("piece", job + "/" + LARGEST_TASK_INDEX)
        .put("try", LARGEST_COUNTER)
        .put("status", state);
  }

  /** Returns the length in JSON form with a space after each colon and comma. */
  private static int lengthWithSpaces(ObjectNode message) {
    return message
        .toString()
        .replace("\":", "\": ")
        .replace(",\"", ", \"")
        .replace("},{", "}, {")
        .length();
  }

  // Guards against machines that are given more tasks than their worker can report (review, case
  // 5).
  @Test
  void reportOfFullMachineIsNoLongerThanRequestBody() {
    MachineType type =
        new MachineType("t", new Resources(1e6, 0, 1e6), 9, 1, 1, 1, 5, List.of("a"));
    for (JobId job : List.of(new JobId("job-1"), new JobId("job-" + "7".repeat(60)))) {
      Resources task = new Resources(0, 0, 0, ReportSize.bytesOfTask(job));
      int taskCount = type.capacity().countFitting(task);
      ObjectNode report = report();
      for (int i = 0; i < taskCount; i++) {
        addTask(report, job, "ended").put("cause", "incomplete").put("kept", false);
      }
      assertTrue(
          lengthWithSpaces(report) <= ReportSize.MAX_REPORT_BYTES,
          taskCount + " tasks take " + lengthWithSpaces(report) + " bytes");
    }
  }

  // Guards against a bound for reports that is not the one that the server enforces.
  @Test
  void limitOfReportsIsThatOfRequestBodies() {
    assertEquals(UndertowServer.MAX_BODY_BYTES, ReportSize.MAX_REPORT_BYTES);
  }

  // Guards against a task whose entry is longer than the room that is reserved for it.
  @Test
  void noStateOfTaskIsLongerThanItsBound() {
    JobId job = new JobId("job-000412");
    int emptyLength = lengthWithSpaces(report());
    for (String state : STATES) {
      ObjectNode report = report();
      addTask(report, job, state);
      assertTrue(
          lengthWithSpaces(report) - emptyLength <= ReportSize.bytesOfTask(job), report::toString);
    }
    for (String cause : CAUSES) {
      ObjectNode report = report();
      addTask(report, job, "ended").put("cause", cause).put("kept", false);
      assertTrue(
          lengthWithSpaces(report) - emptyLength <= ReportSize.bytesOfTask(job), report::toString);
    }
  }

  // Guards against types that lose the room in reports when they are read from the stored row.
  @Test
  void resourcesOfStoredMachineTypesIncludeRoomInReports() throws Exception {
    MachineType type = new MachineType("t", new Resources(4, 0, 8), 9, 1, 1, 1, 5, List.of("a"));
    assertEquals(
        List.of(type),
        CloudMessages.parseMachineTypes(CloudMessages.machineTypesMessage(List.of(type))));
  }
}
