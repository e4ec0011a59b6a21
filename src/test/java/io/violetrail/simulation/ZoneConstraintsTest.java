package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Jobs whose constraints on zones depend on their other tasks find or get room to run. */
class ZoneConstraintsTest extends SimulationTestBase {
  /** The time for which a job may wait beside room, or beside machines that can be rented. */
  private static final double MAX_WAIT_SECONDS = 90;

  /** The cores of a machine of the type "plain". */
  private static final double PLAIN_CPUS = 8;

  ZoneConstraintsTest() {
    super(1, 61);
  }

  @BeforeEach
  void offerThreeZones() {
    simulation.cloud().setTaskDurationSeconds(10_000);
    simulation.cloud().machineTypes().clear();
    addType("plain", 8, 0, 1, "a", "b", "c");
  }

  private void addType(String name, double cpus, double gpus, double price, String... zones) {
    simulation
        .cloud()
        .machineTypes()
        .add(
            new MachineType(
                name,
                new Resources(cpus, gpus, 4 * cpus),
                50,
                1,
                price,
                0.3 * price,
                3,
                List.of(zones)));
  }

  private static ObjectNode job(String id, String shape, int taskCount) {
    return SimulatedUser.jobRequest(id, taskCount).put("shape", shape).put("guess_s", 0.0);
  }

  private static ObjectNode spreadService(String id, int replicas) {
    return job(id, "daemon", replicas).put("apart", true);
  }

  private static ObjectNode singleZoneService(String id, int replicas) {
    return job(id, "daemon", replicas).put("one_zone", true);
  }

  private int runningCount(String id, int taskCount) {
    int runningCount = 0;
    for (int i = 0; i < taskCount; i++) {
      runningCount += simulation.cloud().workersRunning(id + "/" + i).size();
    }
    return runningCount;
  }

  private void awaitAllRunning(String id, int taskCount) {
    simulation.runUntil(MAX_WAIT_SECONDS, () -> runningCount(id, taskCount) == taskCount);
  }

  private Set<String> zonesOf(String id, int taskCount) {
    Set<String> zones = new HashSet<>();
    for (int i = 0; i < taskCount; i++) {
      simulation.cloud().workersRunning(id + "/" + i).forEach(worker -> zones.add(worker.zone()));
    }
    return zones;
  }

  private FakeWorker workerOf(String task) {
    return simulation.cloud().workersRunning(task).get(0);
  }

  @Test
  void lostReplicaOfSpreadServiceIsStartedInAnotherZone() {
    // Guards against free room in a zone that is full for the job, so that nothing is rented for
    // the lost replica (review, case 8).
    simulation.startAllControllers();
    assertEquals(201, user.submit("c0", spreadService("job-1", 2)));
    awaitAllRunning("job-1", 2);
    simulation.runFor(5);
    simulation.cloud().takeBack(workerOf("job-1/0"));
    awaitAllRunning("job-1", 2);
  }

  @Test
  void lostReplicasOfWideSpreadServiceAreStartedWhereTheZonesAllowIt() {
    // Guards against the same with several replicas in a zone, of which another is sold out.
    simulation.startAllControllers();
    assertEquals(201, user.submit("c0", spreadService("job-1", 7)));
    awaitAllRunning("job-1", 7);
    simulation.runFor(5);
    FakeWorker lost = workerOf("job-1/0");
    simulation.cloud().sellOutZone(lost.zone());
    simulation.cloud().takeBack(lost);
    awaitAllRunning("job-1", 7);
  }

  @Test
  void lostReplicaIsNotWaitedForInZoneThatIsCutOff() {
    // Guards against machines that are rented again and again in a zone from which none reports.
    simulation.cloud().machineTypes().clear();
    simulation
        .cloud()
        .machineTypes()
        .add(
            new MachineType(
                "slow", new Resources(8, 0, 32), 50, 1, 1, 0.3, 20, List.of("a", "b", "c")));
    simulation.cloud().setBootSeconds(number -> 20);
    simulation.startAllControllers();
    assertEquals(201, user.submit("c0", spreadService("job-1", 2).put("cores", PLAIN_CPUS)));
    awaitAllRunning("job-1", 2);
    for (int round = 0; round < 4; round++) {
      simulation.runFor(5);
      FakeWorker lost = workerOf("job-1/0");
      simulation.cloud().loseZone(lost.zone());
      awaitAllRunning("job-1", 2);
      simulation.cloud().reopenZones();
    }
  }

  @Test
  void spreadGangGetsMachinesInSeveralZones() {
    // Guards against a gang for which all machines are rented in one zone, where it may not start.
    simulation.startAllControllers();
    assertEquals(
        201, user.submit("c0", job("job-1", "ensemble", 4).put("apart", true).put("cores", 4.0)));
    awaitAllRunning("job-1", 4);
  }

  @Test
  void spreadArrayUsesSeveralZonesAtOnce() {
    // Guards against an array that runs only half of its tasks beside machines that can be rented.
    simulation.startAllControllers();
    assertEquals(201, user.submit("c0", job("job-1", "batch", 6).put("apart", true)));
    awaitAllRunning("job-1", 6);
  }

  @Test
  void singleZoneServiceGetsMachinesInTheZoneOfItsReplicas() {
    // Guards against room in other zones that counts as room for a service in a single zone.
    simulation.startAllControllers();
    user.submit("c0", job("job-8", "daemon", 1).put("yard", "a"));
    user.submit("c0", job("job-9", "daemon", 1).put("yard", "b"));
    awaitAllRunning("job-8", 1);
    awaitAllRunning("job-9", 1);
    assertEquals(201, user.submit("c0", singleZoneService("job-1", 3).put("cores", 3.0)));
    awaitAllRunning("job-1", 3);
    assertEquals(1, zonesOf("job-1", 3).size());
  }

  @Test
  void singleZoneServiceBeginsInZoneThatCanTakeAllOfItsReplicas() {
    // Guards against a first replica that binds its service to a zone without room for the others.
    simulation.startAllControllers();
    user.submit("c0", job("job-8", "daemon", 1).put("yard", "a").put("cores", 4.0));
    awaitAllRunning("job-8", 1);
    simulation.cloud().sellOutZone("a");
    simulation.cloud().sellOutZone("b");
    user.submit("c0", job("job-7", "daemon", 1).put("yard", "a").put("cores", 5.0));
    simulation.runFor(10);
    assertEquals(201, user.submit("c0", singleZoneService("job-1", 3).put("cores", 4.0)));
    awaitAllRunning("job-1", 3);
    assertEquals(Set.of("c"), zonesOf("job-1", 3));
  }

  @Test
  void singleZoneServiceMovesWhenItsZoneIsSoldOut() {
    // Guards against a service that stays incomplete since its last replica holds a zone without
    // further machines.
    simulation.startAllControllers();
    assertEquals(201, user.submit("c0", singleZoneService("job-1", 2).put("cores", PLAIN_CPUS)));
    awaitAllRunning("job-1", 2);
    simulation.runFor(5);
    FakeWorker lost = workerOf("job-1/0");
    simulation.cloud().sellOutZone(lost.zone());
    simulation.cloud().takeBack(lost);
    awaitAllRunning("job-1", 2);
    assertEquals(1, zonesOf("job-1", 2).size());
  }

  @Test
  void spreadServicePreemptsInZoneThatItMayUse() {
    // Guards against a reservation of free room in a zone that is full for the job, which keeps it
    // from preempting where it may run.
    simulation.startAllControllers();
    user.submit("c0", job("job-8", "daemon", 1).put("yard", "a"));
    user.submit("c0", job("job-9", "daemon", 4).put("yard", "b").put("cores", 2.0));
    awaitAllRunning("job-8", 1);
    awaitAllRunning("job-9", 4);
    List.of("a", "b", "c").forEach(simulation.cloud()::sellOutZone);
    assertEquals(
        201, user.submit("c0", spreadService("job-1", 2).put("urgency", "high").put("cores", 3.0)));
    awaitAllRunning("job-1", 2);
    assertEquals(Set.of("a", "b"), zonesOf("job-1", 2));
  }

  @Test
  void spreadServiceGetsDearMachineWhereNoOtherIsOffered() {
    // Guards against a price that is compared with that of machines in zones the job may not use.
    simulation.cloud().machineTypes().clear();
    addType("plain", 8, 0, 1, "a");
    addType("dear", 8, 0, 40, "b");
    simulation.startAllControllers();
    assertEquals(201, user.submit("c0", spreadService("job-1", 2).put("due_s", 7_200.0)));
    awaitAllRunning("job-1", 2);
  }

  @Test
  void spreadServiceGetsAcceleratorMachineWhereNoOtherIsOffered() {
    // Guards against a job that is kept off accelerator machines for a type that is offered only
    // in a zone that it may not use.
    simulation.cloud().machineTypes().clear();
    addType("plain", 8, 0, 1, "a");
    addType("wide", 16, 2, 3, "b");
    simulation.startAllControllers();
    user.submit("c0", job("job-8", "daemon", 1).put("gpus", 1.0).put("cores", 16.0));
    awaitAllRunning("job-8", 1);
    assertEquals(201, user.submit("c0", spreadService("job-1", 2)));
    awaitAllRunning("job-1", 2);
  }

  @Test
  void jobThatFailedOnTheOnlyMachineGetsAnotherOne() {
    // Guards against room on a machine that the job avoids, which counts as room for it.
    simulation.startAllControllers();
    user.submit("c0", job("job-8", "daemon", 1));
    awaitAllRunning("job-8", 1);
    FakeWorker faulty = workerOf("job-8/0");
    simulation.alwaysFailingJobs().add("job-1");
    assertEquals(201, user.submit("c0", job("job-1", "batch", 1)));
    simulation.runUntil(20, () -> faulty.launchCount() == 2);
    simulation.runFor(2);
    simulation.alwaysFailingJobs().clear();
    awaitAllRunning("job-1", 1);
  }

  @Test
  void jobThatFailedOnTheOnlyMachineIsTriedThereAgainIfThereIsNoOther() {
    // Guards against a job that avoids the only machine for ever (review, case 2).
    simulation.startAllControllers();
    user.submit("c0", job("job-8", "daemon", 1));
    awaitAllRunning("job-8", 1);
    List.of("a", "b", "c").forEach(simulation.cloud()::sellOutZone);
    failOnEachMachine("job-1", 1);
    awaitAllRunning("job-1", 1);
  }

  @Test
  void jobThatFailedOnBothMachinesIsTriedThereAgainIfThereIsNoOther() {
    // Guards against a job that counts as failing everywhere and avoids all machines that there
    // are.
    simulation.startAllControllers();
    user.submit("c0", spreadService("job-8", 2));
    awaitAllRunning("job-8", 2);
    List.of("a", "b", "c").forEach(simulation.cloud()::sellOutZone);
    failOnEachMachine("job-1", 2);
    awaitAllRunning("job-1", 1);
  }

  /** Submits a job and lets its task fail as often as there are machines. */
  private void failOnEachMachine(String id, int machineCount) {
    int launchesBefore = launchCount();
    simulation.alwaysFailingJobs().add(id);
    assertEquals(201, user.submit("c0", job(id, "batch", 1)));
    simulation.runUntil(60, () -> launchCount() == launchesBefore + machineCount);
    simulation.runFor(2);
    simulation.alwaysFailingJobs().clear();
  }
}
