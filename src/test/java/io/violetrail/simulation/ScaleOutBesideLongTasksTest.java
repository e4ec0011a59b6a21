package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Machines are rented for jobs that wait beside tasks whose end is unknown. */
class ScaleOutBesideLongTasksTest extends SimulationTestBase {
  private static final int TASKS_PER_MACHINE = 8;
  private static final double MAX_WAIT_SECONDS = 90;

  ScaleOutBesideLongTasksTest() {
    super(1, 41);
    simulation.cloud().setTaskDurationSeconds(10_000);
  }

  private void startWorkThatFillsMachine(ObjectNode job) {
    simulation.startAllControllers();
    assertEquals(201, user.submit("c0", job));
    simulation.runUntil(60, () -> launchCount() == TASKS_PER_MACHINE);
  }

  private void assertMachineIsRentedFor(String job) {
    user.submit("c0", SimulatedUser.jobRequest(job, 4));
    simulation.runUntil(
        MAX_WAIT_SECONDS, () -> simulation.cloud().workersRunning(job + "/0").size() == 1);
  }

  private static ObjectNode service(String id, int replicas) {
    return SimulatedUser.jobRequest(id, replicas).put("shape", "daemon").put("guess_s", 0.0);
  }

  @Test
  void jobThatLostItsMachineIsStartedBesideService() {
    // Guards against replicas that count as about to end, so that nothing is rented (review, case
    // 7).
    startWorkThatFillsMachine(SimulatedUser.jobRequest("job-1", TASKS_PER_MACHINE));
    final FakeWorker lost = awaitRunning("job-1/0");
    user.submit("c0", service("job-2", TASKS_PER_MACHINE));
    awaitRunning("job-2/0");
    lost.destroy();
    simulation.cloud().workers().remove(lost.id());
    simulation.runUntil(
        MAX_WAIT_SECONDS,
        () -> simulation.cloud().workersRunning("job-1/0").stream().anyMatch(w -> w != lost));
  }

  @Test
  void machineIsRentedBesideTasksWithoutEstimate() {
    // Guards against an estimate of 0 that counts as an end in no time.
    startWorkThatFillsMachine(
        SimulatedUser.jobRequest("job-1", TASKS_PER_MACHINE).put("guess_s", 0.0));
    assertMachineIsRentedFor("job-2");
  }

  @Test
  void machineIsRentedBesideTasksFarBeyondTheirEstimate() {
    // Guards against an estimate that has passed and counts as an end at any moment.
    startWorkThatFillsMachine(
        SimulatedUser.jobRequest("job-1", TASKS_PER_MACHINE).put("guess_s", 10.0));
    simulation.runFor(20);
    assertMachineIsRentedFor("job-2");
  }

  @Test
  void gangIsStartedBesideService() {
    // Guards against replicas whose room counts as about to be free for a whole gang.
    startWorkThatFillsMachine(service("job-1", TASKS_PER_MACHINE));
    user.submit(
        "c0", SimulatedUser.jobRequest("job-2", 6).put("shape", "ensemble").put("one_zone", true));
    simulation.runUntil(
        MAX_WAIT_SECONDS, () -> simulation.cloud().workersRunning("job-2/5").size() == 1);
  }

  @Test
  void roomOfTasksThatEndSoonIsWaitedFor() {
    // Guards against machines that are rented although room is free before they have booted.
    simulation.cloud().machineTypes().clear();
    simulation
        .cloud()
        .machineTypes()
        .add(new MachineType("slow", new Resources(8, 0, 32), 50, 1, 1, 0.3, 30, List.of("a")));
    simulation.cloud().setBootSeconds(number -> 30);
    simulation.cloud().setTaskDurationSeconds(12);
    startWorkThatFillsMachine(
        SimulatedUser.jobRequest("job-1", TASKS_PER_MACHINE).put("guess_s", 12.0));
    user.submit("c0", SimulatedUser.jobRequest("job-2", 4).put("guess_s", 12.0));
    simulation.runUntil(20, () -> user.pollStatus("c0", "job-2").equals("running"));
    assertEquals(1, rentedMachineCount());
  }
}
