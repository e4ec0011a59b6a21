package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.model.ControllerId;
import io.violetrail.wire.Cbor;
import org.junit.jupiter.api.Test;

/** Tests owners whose lease is uncertain, or has been lost without their knowledge. */
class UncertainLeaseTest extends SimulationTestBase {
  UncertainLeaseTest() {
    super(2);
  }

  @Test
  void ownerWithUncertainLeaseLaunchesNothingAndKeepsWorkersAlive() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    FakeWorker worker = awaitRunning("job-1/0");
    simulation.stateService().setOutage(true);
    simulation.runFor(15);
    assertTrue(worker.runsTask("job-1/0"));
    int launchedBefore = launchCount();
    assertEquals(503, user.submit("c0", SimulatedUser.jobRequest("job-2", 1)));
    simulation.runFor(3);
    assertEquals(launchedBefore, launchCount());
    simulation.stateService().setOutage(false);
    simulation.runUntil(60, () -> user.pollStatus("c0", "job-1").equals("done"));
  }

  @Test
  void isolatedOwnerGivesUpAfterItsGracePeriod() {
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 1));
    awaitRunning("job-1/0");
    // c0 is partitioned from the state service and its peers, but not from its workers.
    simulation.stateService().refusedControllers().add("c0");
    simulation
        .networkFaults()
        .holdMessages(
            message ->
                (message.startsWith("c0 c") && message.contains("/peer"))
                    || message.contains(" c0 POST /peer"));
    simulation.runFor(45);
    assertNull(simulation.controllers().get("c0").membership().findHomeEntity());
  }

  @Test
  void lateTransactionOfFormerOwnerIsFenced() {
    simulation.startAllControllers();
    simulation.networkFaults().holdMessages(message -> message.startsWith("c0 state POST /txn"));
    simulation.callController(
        "user", "c0", "POST", "/work", Cbor.encode(SimulatedUser.jobRequest("job-1", 1)));
    simulation.runFor(1);
    assertTrue(simulation.networkFaults().heldMessageCount() > 0);
    simulation.killController("c0");
    simulation.runFor(8);
    simulation.networkFaults().releaseHeldMessages();
    simulation.runFor(1);
    assertNull(simulation.stateService().findValue("job/job-1"));
    assertEquals("404", user.pollStatus("c1", "job-1"));
  }

  @Test
  void readinessSurvivesShortStateOutageAndEndsInLongOne() {
    simulation.startAllControllers();
    assertEquals(200, user.send("c0", "GET", "/ready", null).status());
    simulation.stateService().setOutage(true);
    simulation.runFor(8);
    assertEquals(200, user.send("c0", "GET", "/ready", null).status());
    simulation.runFor(40);
    assertEquals(503, user.send("c0", "GET", "/ready", null).status());
    assertEquals(new ControllerId("c0"), simulation.controllers().get("c0").settings().self());
  }
}
