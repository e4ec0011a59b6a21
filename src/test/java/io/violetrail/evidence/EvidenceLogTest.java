package io.violetrail.evidence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.fakes.World;
import io.violetrail.model.JobId;
import io.violetrail.model.MachineId;
import io.violetrail.model.TaskId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EvidenceLogTest {
  private static final TaskId TASK = new TaskId(new JobId("job-1"), 0);
  private static final Departure FROM =
      new Departure(new MachineId("vm-1"), 7, GoneProof.LEASE_OVER, 90, 80);

  private final List<String> written = new ArrayList<>();
  private final World world = new World(1, 1);
  private final EvidenceLog evidence = new EvidenceLog(world.loopOf("c0"), written::add);

  private void startElsewhere() {
    evidence.startsElsewhere(TASK, 8, new MachineId("vm-2"), FROM);
  }

  @Test
  void aStartElsewhereNamesItsProof() {
    startElsewhere();
    assertEquals(
        List.of(
            "task=job-1/0 attempt=8 starts_on=vm-2 was_on=vm-1 was_attempt=7 proof=LEASE_OVER"
                + " proof_age_s=10.0 answered_age_s=20.0"),
        written);
  }

  @Test
  void anEndThatTheWorkerReportedIsCountedOnly() {
    Departure ended = new Departure(new MachineId("vm-1"), 7, GoneProof.REPORTED_ENDED, 90, 90);
    evidence.startsElsewhere(TASK, 8, new MachineId("vm-2"), ended);
    assertEquals(List.of(), written);
    assertEquals(1, evidence.startsElsewhere(GoneProof.REPORTED_ENDED));
  }

  @Test
  void linesAreBoundedInRateAndCountersAreComplete() {
    for (int i = 0; i < 1_000; i++) {
      startElsewhere();
    }
    assertEquals(60, written.size());
    world.run(1);
    startElsewhere();
    assertTrue(written.get(60).endsWith(" lines_left_out=940"), written.get(60));
    assertEquals(940, evidence.droppedLines());
    assertEquals(1_001, evidence.startsElsewhere(GoneProof.LEASE_OVER));
  }
}
