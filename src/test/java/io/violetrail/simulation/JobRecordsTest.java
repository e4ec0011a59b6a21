package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.fakes.SimulatedUser;
import io.violetrail.wire.Cbor;
import org.junit.jupiter.api.Test;

/** Stored records of open and finished jobs stay correct through failover and late writes. */
class JobRecordsTest extends SimulationTestBase {
  JobRecordsTest() {
    super(11);
  }

  @Test
  void jobOutcomesSurviveFailover() {
    simulation.startAllControllers();
    for (int i = 0; i < 30; i++) {
      user.submit("c0", SimulatedUser.jobRequest("job-" + i, 1).put("cores", 0.1));
    }
    user.cancel("c0", "job-29");
    simulation.runUntil(60, () -> user.pollStatus("c0", "job-0").equals("done"));
    user.submit("c0", SimulatedUser.jobRequest("job-30", 1));
    simulation.killController("c0");
    simulation.runUntil(20, () -> ownerIndexOf("c0") != 0);
    simulation.runFor(2);
    assertEquals("done", user.pollStatus("c1", "job-0"));
    assertEquals("cancelled", user.pollStatus("c2", "job-29"));
    simulation.runUntil(90, () -> user.pollStatus("c2", "job-30").equals("done"));
  }

  @Test
  void finishedJobStaysFinishedWhenItsOpenJobSegmentIsReread() {
    // An open-job segment still lists finished jobs until its next write.
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    simulation.runUntil(60, () -> user.pollStatus("c0", "job-1").equals("done"));
    assertTrue(simulation.stateService().findValue("open/c0/0").has("job-1"));
    simulation.networkFaults().holdMessages(message -> message.startsWith("c0 state POST /txn"));
    simulation.callController(
        "user", "c0", "POST", "/work", Cbor.encode(SimulatedUser.jobRequest("job-2", 1)));
    simulation.runFor(1.8);
    simulation.networkFaults().releaseHeldMessages();
    simulation.runFor(5);
    assertTrue(simulation.stateService().findValue("open/c0/0").has("job-2"));
    assertFalse(simulation.stateService().findValue("open/c0/0").has("job-1"));
    simulation.runUntil(60, () -> user.pollStatus("c1", "job-2").equals("done"));
    assertEquals("done", user.pollStatus("c1", "job-1"));
  }
}
