package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import io.violetrail.model.Version;
import io.violetrail.wire.Cbor;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Machines are rented as jobs need them, with slow, failed and very fast boots. */
class ScaleOutTest extends SimulationTestBase {
  ScaleOutTest() {
    super(11);
  }

  @Test
  void machinesThatNeverBootAreReplacedAndReturned() {
    simulation.cloud().setBootSeconds(number -> number % 2 == 0 ? -1 : 3);
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 40));
    simulation.runUntil(100, () -> user.pollStatus("c0", "job-1").equals("done"));
    simulation.runFor(120);
    assertEquals(0, simulation.cloud().workers().size(), "all machines are returned");
  }

  @Test
  void slowBootsCauseNoOverprovisioning() {
    simulation.cloud().setCapacity(60);
    simulation.cloud().setBootSeconds(number -> 27);
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 80));
    simulation.runFor(40);
    assertTrue(rentedMachineCount() <= 10 + 4, "rented " + rentedMachineCount());
    simulation.runUntil(60, () -> user.pollStatus("c0", "job-1").equals("done"));
  }

  @Test
  void machinesReportingBeforeTheirRentalReplyStayWithTheirEntity() {
    simulation.cloud().setBootSeconds(number -> 0.2);
    simulation.cloud().setRentalReplyDelaySeconds(1.2);
    simulation.startAllControllers();
    simulation.runFor(10);
    user.submit("c0", SimulatedUser.jobRequest("job-1", 40));
    simulation.runUntil(20, () -> launchCount() == 40);
    assertEquals(5, rentedMachineCount(), "no machine was rented twice");
    assertEquals(
        0,
        simulation.stateService().keysWithPrefix("c/block/c1/").size()
            + simulation.stateService().keysWithPrefix("c/block/c2/").size());
  }

  @Test
  void machineOfUrgentJobIsRentedBeforeThoseOfWideArrays() {
    simulation
        .cloud()
        .machineTypes()
        .add(new MachineType("wide", new Resources(8, 1, 32), 50, 1, 1.1, 0.3, 3, List.of("a")));
    simulation.startAllControllers();
    ObjectNode wideArray = SimulatedUser.jobRequest("job-1", 30).put("gpus", 1.0).put("cores", 8.0);
    simulation.callController("user", "c0", "POST", "/work", Cbor.encode(wideArray));
    ObjectNode urgentJob =
        SimulatedUser.jobRequest("job-2", 1).put("urgency", "high").put("cores", 8.0);
    simulation.callController("user", "c0", "POST", "/work", Cbor.encode(urgentJob));
    simulation.runUntil(
        20,
        () ->
            simulation
                .cloud()
                .machinesByRequest()
                .containsKey("c0-" + Version.firstOwnedBy(0) + "-2"));
    assertEquals(
        1,
        simulation.cloud().machinesByRequest().get("c0-" + Version.firstOwnedBy(0) + "-1").size());
  }
}
