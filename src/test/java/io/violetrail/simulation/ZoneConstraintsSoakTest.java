package io.violetrail.simulation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.fleet.MachineOffering;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Short days with jobs of every shape and every constraint on zones, drawn by seed. Zones are sold
 * out and machines are lost; then no job may wait beside room that its other tasks allow it to use,
 * or beside machines that can be rented.
 */
class ZoneConstraintsSoakTest extends SimulationTestBase {
  /** The seeds that CI runs, beside those that failed before. */
  private static final long DEFAULT_SEED_COUNT = 12;

  /** Seeds that failed while jobs could wait beside room that one part of the service counted. */
  private static final long[] FORMERLY_FAILING_SEEDS = {15, 21, 29, 31, 33, 34, 35, 36};

  private static final double[] TASK_CPUS = {1, 2, 3, 4, 8};
  private static final double MAX_TASK_SECONDS = 60;
  private static final double SERVICE_SECONDS = 1e6;
  private static final double SECONDS_AFTER_FAULTS = 260;

  private Random random;
  private final List<String> zones = new ArrayList<>();
  private final Map<String, Double> durationByTask = new HashMap<>();
  private int jobCount;

  ZoneConstraintsSoakTest() {
    super(1, 1);
  }

  static LongStream seeds() {
    return SoakSeeds.of("zone.constraints.seeds", DEFAULT_SEED_COUNT, FORMERLY_FAILING_SEEDS);
  }

  // Guards against any part that counts room, or machines to rent, that another part refuses.
  @ParameterizedTest
  @MethodSource("seeds")
  void noJobWaitsBesideRoomThatItMayUse(long seed) {
    random = new Random(31 * seed);
    startDeployment(seed);
    submitJobs(3 + random.nextInt(4));
    simulation.runFor(30);
    for (int round = 0; round < 8; round++) {
      injectFault();
      submitJobs(random.nextInt(2));
      simulation.runFor(4 + 14 * random.nextDouble());
    }
    endFaults();
    simulation.runFor(SECONDS_AFTER_FAULTS);
  }

  // Shows a fault that is not mended: room on machines that another entity uses in part.
  @ParameterizedTest
  @ValueSource(longs = {159, 202, 219, 243, 263})
  void noJobWaitsBesideRoomOnMachinesOfAnotherEntity(long seed) {
    noJobWaitsBesideRoomThatItMayUse(seed);
  }

  private void startDeployment(long seed) {
    resetSimulation(random.nextBoolean() ? 1 : 3, seed);
    simulation.setReportsOnChange(true);
    simulation.setTaskDurationSeconds(average -> 5 + MAX_TASK_SECONDS * random.nextDouble());
    zones.addAll(List.of("a", "b", "c", "d").subList(0, 2 + random.nextInt(3)));
    simulation.cloud().machineTypes().clear();
    addType("small", 8, 1, zones);
    if (random.nextBoolean()) {
      addType("large", 16, 1 + 2 * random.nextDouble(), someZones());
    }
    simulation.cloud().setCapacity(6 + random.nextInt(20));
    simulation.setOnWorkerCreated(worker -> worker.durationSecondsByTask().putAll(durationByTask));
    simulation.startAllControllers();
  }

  private void addType(String name, double cpus, double price, List<String> zonesOfType) {
    Resources capacity = new Resources(cpus, 0, 4 * cpus);
    simulation
        .cloud()
        .machineTypes()
        .add(new MachineType(name, capacity, 50, 1, price, 0.3 * price, 3, zonesOfType));
    for (String zone : zonesOfType) {
      for (boolean spot : new boolean[] {false, true}) {
        if (random.nextInt(3) == 0) {
          simulation
              .cloud()
              .machineLimits()
              .put(new MachineOffering(name, zone, spot), random.nextInt(4));
        }
      }
    }
  }

  private List<String> someZones() {
    List<String> chosen = new ArrayList<>();
    for (String zone : zones) {
      if (random.nextBoolean()) {
        chosen.add(zone);
      }
    }
    return chosen.isEmpty() ? List.of(zones.get(0)) : chosen;
  }

  private <T> T oneOf(List<T> values) {
    return values.get(random.nextInt(values.size()));
  }

  private void submitJobs(int count) {
    for (int i = 0; i < count; i++) {
      String id = "job-" + jobCount++;
      ObjectNode job = drawJob(id);
      setDurations(job);
      user.submit(
          ClusterSimulation.controllerName(random.nextInt(simulation.controllerCount())), job);
      simulation.runFor(random.nextDouble());
    }
  }

  private ObjectNode drawJob(String id) {
    String shape = oneOf(List.of("batch", "ensemble", "daemon"));
    ObjectNode job =
        SimulatedUser.jobRequest(id, 1 + random.nextInt(7))
            .put("shape", shape)
            .put("urgency", oneOf(List.of("prod", "high", "normal")))
            .put("cores", TASK_CPUS[random.nextInt(TASK_CPUS.length)])
            .put("guess_s", shape.equals("daemon") ? 0.0 : MAX_TASK_SECONDS * random.nextDouble())
            .put("loaners", random.nextBoolean());
    switch (random.nextInt(5)) {
      case 0, 1 -> job.put("apart", true);
      case 2, 3 -> job.put("one_zone", true);
      default -> job.put("yard", oneOf(zones));
    }
    return job;
  }

  /**
   * Lets a service's replicas run until their machines are gone, and a gang's tasks all for the
   * same time, on these and later machines. The durations of array tasks are drawn one by one.
   */
  private void setDurations(ObjectNode job) {
    String shape = job.get("shape").asText();
    if (shape.equals("batch")) {
      return;
    }
    double seconds =
        shape.equals("daemon") ? SERVICE_SECONDS : 5 + MAX_TASK_SECONDS * random.nextDouble();
    for (int i = 0; i < job.get("pieces").asInt(); i++) {
      durationByTask.put(job.get("name_id").asText() + "/" + i, seconds);
    }
    simulation
        .cloud()
        .workers()
        .values()
        .forEach(worker -> worker.durationSecondsByTask().putAll(durationByTask));
  }

  private void injectFault() {
    List<FakeWorker> workers = List.copyOf(simulation.cloud().workers().values());
    switch (random.nextInt(5)) {
      case 0, 1 -> {
        if (!workers.isEmpty()) {
          simulation.cloud().takeBack(oneOf(workers));
        }
      }
      case 2 -> simulation.cloud().sellOutZone(oneOf(zones));
      case 3 -> {
        String lostZone = oneOf(zones);
        workers.stream()
            .filter(worker -> worker.zone().equals(lostZone))
            .forEach(simulation.cloud()::takeBack);
      }
      default -> {
        String controller =
            ClusterSimulation.controllerName(random.nextInt(simulation.controllerCount()));
        simulation.killController(controller);
        simulation.runFor(0.5 + 14 * random.nextDouble());
        simulation.startController(controller);
      }
    }
  }

  /** From now on no job may wait; some zones stay sold out, and others have machines again. */
  private void endFaults() {
    for (String zone : zones) {
      if (random.nextBoolean()) {
        simulation.cloud().machineLimits().keySet().removeIf(o -> o.zone().equals(zone));
      }
    }
    simulation.runFor(20);
    simulation.checker().countRentableMachines();
    simulation.checker().faultsEnded();
  }
}
