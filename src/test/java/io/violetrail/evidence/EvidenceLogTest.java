package io.violetrail.evidence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.model.JobId;
import io.violetrail.model.MachineId;
import io.violetrail.model.TaskId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EvidenceLogTest {
  private static final TaskId TASK = new TaskId(new JobId("job-1"), 0);
  private static final TaskDeparture EXPIRED_DEPARTURE =
      new TaskDeparture(new MachineId("vm-1"), 7, TerminationEvidence.LEASE_OVER, 90, 80);

  private final List<String> lines = new ArrayList<>();
  private final ClusterSimulation simulation = new ClusterSimulation(1, 1);
  private final EvidenceLog evidenceLog =
      new EvidenceLog(simulation.createEventLoop("c0"), lines::add);

  private void logStartElsewhere() {
    evidenceLog.recordStartElsewhere(TASK, 8, new MachineId("vm-2"), EXPIRED_DEPARTURE);
  }

  @Test
  void startElsewhereIsLoggedWithItsEvidence() {
    logStartElsewhere();
    assertEquals(
        List.of(
            "task=job-1/0 attempt=8 starts_on=vm-2 was_on=vm-1 was_attempt=7 proof=LEASE_OVER"
                + " proof_age_s=10.0 answered_age_s=20.0"),
        lines);
  }

  @Test
  void startAfterEndReportedByTheWorkerIsCountedAndNotLogged() {
    TaskDeparture reportedEnd =
        new TaskDeparture(new MachineId("vm-1"), 7, TerminationEvidence.REPORTED_ENDED, 90, 90);
    evidenceLog.recordStartElsewhere(TASK, 8, new MachineId("vm-2"), reportedEnd);
    assertEquals(List.of(), lines);
    assertEquals(1, evidenceLog.startElsewhereCount(TerminationEvidence.REPORTED_ENDED));
  }

  @Test
  void logLinesAreRateLimitedAndCountersAreComplete() {
    for (int i = 0; i < 1_000; i++) {
      logStartElsewhere();
    }
    assertEquals(60, lines.size());
    simulation.runFor(1);
    logStartElsewhere();
    assertTrue(lines.get(60).endsWith(" lines_left_out=940"), lines.get(60));
    assertEquals(940, evidenceLog.droppedLineCount());
    assertEquals(1_001, evidenceLog.startElsewhereCount(TerminationEvidence.LEASE_OVER));
  }
}
