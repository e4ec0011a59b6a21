package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Team;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import io.violetrail.wire.Cbor;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Room on machines with accelerators, or of a high price, for jobs that need neither. */
class AcceleratorRoomTest extends SimulationTestBase {
  /** The time for which a job may wait beside a machine that has room for it. */
  private static final double MAX_WAIT_SECONDS = 90;

  AcceleratorRoomTest() {
    super(1, 31);
  }

  @BeforeEach
  void offerMachinesWithAccelerators() {
    simulation.cloud().setCapacity(60);
    // "wide" is the only type with room for a task of more than 16 cores.
    simulation
        .cloud()
        .machineTypes()
        .addAll(
            List.of(
                new MachineType("wide", new Resources(96, 8, 384), 50, 1, 20, 6, 3, List.of("a")),
                new MachineType("slim", new Resources(16, 1, 64), 50, 1, 3, 1, 3, List.of("a"))));
  }

  private static ObjectNode wideTask(String id, double cpus) {
    return SimulatedUser.jobRequest(id, 1).put("cores", cpus);
  }

  private static ObjectNode service(ObjectNode job) {
    return job.put("shape", "daemon").put("guess_s", 0.0);
  }

  private static ObjectNode acceleratorJob(String id, String type) {
    ObjectNode job =
        SimulatedUser.jobRequest(id, 2).put("jobclass", "train").put("cores", 6.0).put("gpus", 1.0);
    job.putArray("hosttypes").add(type);
    return job;
  }

  private void submitWithoutWaiting(ObjectNode job) {
    simulation.callController("user", "c0", "POST", "/work", Cbor.encode(job));
  }

  /** Submits a job with accelerators every 16 s, so that one was always pending recently. */
  private void keepAcceleratorsInDemand(String type) {
    for (int i = 0; i < 20; i++) {
      String id = "job-9" + i;
      simulation.runAfter(16.0 * i, () -> submitWithoutWaiting(acceleratorJob(id, type)));
    }
    simulation.runFor(1);
  }

  @Test
  void jobThatFitsOnlyOnAcceleratorMachinesUsesTheirRoom() {
    // Guards against jobs that wait beside room as accelerators are in demand (review, case 6).
    simulation.startAllControllers();
    user.submit("c0", service(wideTask("job-1", 40)));
    awaitRunning("job-1/0");
    keepAcceleratorsInDemand("slim");
    user.submit("c0", wideTask("job-2", 40));
    simulation.runUntil(10, () -> simulation.cloud().workersRunning("job-2/0").size() == 1);
    assertTrue(simulation.cloud().workersRunning("job-2/0").get(0).runsTask("job-1/0"));
  }

  @Test
  void jobThatFitsOnlyOnAcceleratorMachinesSharesThemWithAcceleratorJobs() {
    // Guards against a reserve for accelerator tasks that never ends for a job without other types.
    simulation.startAllControllers();
    user.submit("c0", service(wideTask("job-1", 40)));
    awaitRunning("job-1/0");
    keepAcceleratorsInDemand("wide");
    user.submit("c0", wideTask("job-2", 40));
    simulation.runUntil(
        MAX_WAIT_SECONDS, () -> simulation.cloud().workersRunning("job-2/0").size() == 1);
  }

  @Test
  void machineIsRentedForJobThatFitsOnlyOnAcceleratorMachines() {
    // Guards against a job for which no machine is rented as accelerators are in demand.
    simulation.startAllControllers();
    keepAcceleratorsInDemand("slim");
    user.submit("c0", wideTask("job-2", 40));
    simulation.runUntil(30, () -> simulation.cloud().workersRunning("job-2/0").size() == 1);
  }

  @Test
  void jobWhoseOtherTypesAreSoldOutUsesAcceleratorMachinesInTheEnd() {
    // Guards against accelerator jobs that can never start, being over their team's limit, but keep
    // others from the machines that they could use.
    simulation.teams().put("blue", new Team("blue", 0, 0, 1e3, 1));
    simulation.cloud().soldOutTypes().add("plain");
    simulation.startAllControllers();
    user.submit("c0", service(wideTask("job-1", 40)));
    awaitRunning("job-1/0");
    ObjectNode holder = acceleratorJob("job-90", "slim").put("crew", "blue");
    user.submit("c0", service(holder.put("pieces", 1).put("cores", 16.0)));
    awaitRunning("job-90/0");
    user.submit("c0", acceleratorJob("job-91", "wide").put("crew", "blue"));
    user.submit("c0", SimulatedUser.jobRequest("job-2", 1).put("cores", 4.0));
    simulation.runUntil(
        MAX_WAIT_SECONDS, () -> simulation.cloud().workersRunning("job-2/0").size() == 1);
  }

  @Test
  void jobWithDistantDeadlineUsesExpensiveRoomInTheEnd() {
    // Guards against prices that keep a job from free room for as long as its deadline is far.
    simulation
        .cloud()
        .machineTypes()
        .add(new MachineType("dear", new Resources(64, 0, 384), 50, 1, 90, 6, 3, List.of("a")));
    simulation.cloud().soldOutTypes().addAll(List.of("plain", "wide", "slim"));
    simulation.startAllControllers();
    ObjectNode service = service(wideTask("job-1", 40));
    service.putArray("hosttypes").add("dear");
    user.submit("c0", service);
    awaitRunning("job-1/0");
    user.submit("c0", SimulatedUser.jobRequest("job-2", 1).put("due_s", 7_200.0));
    simulation.runUntil(
        MAX_WAIT_SECONDS, () -> simulation.cloud().workersRunning("job-2/0").size() == 1);
  }

  @Test
  void urgentJobPreemptsOnTheOnlyMachinesThatItFitsOn() {
    // Guards against preemption that passes over the only machines that the job may use.
    simulation.cloud().setCapacity(0);
    simulation.startAllControllers();
    final FakeWorker machine = simulation.cloud().addRunningMachine("wide", "a");
    simulation.runFor(4);
    user.submit("c0", service(wideTask("job-1", 60)));
    awaitRunning("job-1/0");
    keepAcceleratorsInDemand("slim");
    user.submit("c0", wideTask("job-2", 40).put("urgency", "high"));
    simulation.runUntil(30, () -> machine.runsTask("job-2/0"));
    assertEquals(0, simulation.cloud().workersRunning("job-1/0").size());
  }

  @Test
  void peerTransfersAcceleratorMachineToJobThatFitsOnNoOther() {
    // Guards against idle machines that a peer keeps from the only job that waits for them.
    resetSimulation(31);
    offerMachinesWithAccelerators();
    simulation.cloud().setCapacity(0);
    simulation.startAllControllers();
    final FakeWorker machine = simulation.cloud().addRunningMachine("wide", "a");
    simulation.runUntil(20, machine::hasController);
    simulation.runFor(2);
    for (String controller : List.of("c0", "c1", "c2")) {
      String id = "job-2" + controller.charAt(1);
      user.submit(controller, wideTask(id, 30));
      simulation.runUntil(20, () -> machine.runsTask(id + "/0"));
      simulation.runUntil(40, () -> !machine.runsTask(id + "/0"));
    }
  }
}
