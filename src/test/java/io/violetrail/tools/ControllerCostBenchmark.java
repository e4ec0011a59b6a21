package io.violetrail.tools;

import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.wire.Cbor;

/**
 * Measures what reports, placements and submissions cost one controller, by the number of machines
 * that it alone manages. The time inside the controller's callbacks is attributed to the
 * controller, the rest of the run to the fakes. Not a test.
 */
public final class ControllerCostBenchmark {
  private static final int MEASURED_SECONDS = 60;

  private ControllerCostBenchmark() {}

  /** Arguments: numbers of machines. The first run is a warm-up and is not printed. */
  public static void main(String[] args) {
    for (int i = 0; i < args.length; i++) {
      measure(Integer.parseInt(args[i]), i > 0);
    }
  }

  private static void measure(int machineCount, boolean print) {
    ClusterSimulation simulation = new ClusterSimulation(3, 11);
    simulation.setStateLimits(new StateStoreLimits(1000, 400, 8192, 24));
    simulation.cloud().setCapacity(machineCount);
    simulation.cloud().setTaskDurationSeconds(40);
    simulation.startAllControllers();
    for (int i = 0; i < machineCount; i++) {
      simulation.cloud().addRunningMachine("plain", i % 2 == 0 ? "a" : "b");
    }
    simulation.runFor(20);
    simulation.killController("c0");
    simulation.killController("c1");
    simulation.runFor(25);
    var controller = simulation.controllers().get("c2");
    long examinedBefore = controller.machinesExamined();
    int launchesBefore = simulation.launches().size();
    int writesBefore = simulation.stateService().writeCount();
    double controllerCpuBefore = simulation.controllerCpuSeconds("c2");
    long startedAtNanos = System.nanoTime();
    int jobCount = 0;
    for (int second = 0; second < MEASURED_SECONDS; second++) {
      // One job with a task per machine every 10 s keeps three fifths of the capacity in use.
      if (second % 10 == 0) {
        simulation.callController(
            "user",
            "c2",
            "POST",
            "/work",
            Cbor.encode(SimulatedUser.jobRequest("job-" + jobCount++, machineCount)));
      }
      simulation.runFor(1);
    }
    double totalSeconds = (System.nanoTime() - startedAtNanos) / 1e9;
    double controllerCpuSeconds = simulation.controllerCpuSeconds("c2") - controllerCpuBefore;
    double reportCount =
        MEASURED_SECONDS * machineCount / simulation.workerSettings().heartbeatIntervalSeconds();
    int placedCount = simulation.launches().size() - launchesBefore;
    if (print) {
      System.out.printf(
          "%d machines: %.0f us per report (and %.0f us in the fakes), %.1f machines examined per"
              + " placement (%d placed), %.1f writes per submission of %d tasks%n",
          machineCount,
          1e6 * controllerCpuSeconds / reportCount,
          1e6 * (totalSeconds - controllerCpuSeconds) / reportCount,
          (controller.machinesExamined() - examinedBefore) / (double) Math.max(1, placedCount),
          placedCount,
          (simulation.stateService().writeCount() - writesBefore) / (double) jobCount,
          machineCount);
    }
  }
}
