package io.violetrail.fakes;

import io.violetrail.config.Settings.StateLimits;
import io.violetrail.wire.Cbor;

/**
 * What one controller's report, placement and submission cost by the number of machines that it
 * alone carries. The time inside the controller's callbacks is charged to the program, the rest of
 * the run to the fakes. Not a test.
 */
public final class FleetCost {
  private static final int SECONDS = 60;

  private FleetCost() {}

  /** Arguments: numbers of machines. The first one warms up and is not printed. */
  public static void main(String[] args) {
    for (int i = 0; i < args.length; i++) {
      measure(Integer.parseInt(args[i]), i > 0);
    }
  }

  private static void measure(int machines, boolean print) {
    World world = new World(3, 11);
    world.stateLimits = new StateLimits(1000, 400, 8192, 24);
    world.cloud.capacity = machines;
    world.cloud.runS = 40;
    world.up();
    for (int i = 0; i < machines; i++) {
      world.cloud.given("plain", i % 2 == 0 ? "a" : "b");
    }
    world.run(20);
    world.kill("c0");
    world.kill("c1");
    world.run(25);
    var node = world.nodes.get("c2");
    long looked = node.machinesExamined();
    int launched = world.launches.size();
    int writes = world.state.writes;
    double programBefore = world.controllerCpuS("c2");
    long began = System.nanoTime();
    int jobs = 0;
    for (int second = 0; second < SECONDS; second++) {
      // Three fifths of the room in use all the time.
      if (second % 10 == 0) {
        world.ask("user", "c2", "POST", "/work", Cbor.bytes(User.job("job-" + jobs++, machines)));
      }
      world.run(1);
    }
    double total = (System.nanoTime() - began) / 1e9;
    double program = world.controllerCpuS("c2") - programBefore;
    double reports = SECONDS * machines / world.workers.reportS();
    int placed = world.launches.size() - launched;
    if (print) {
      System.out.printf(
          "%d machines: %.0f us a report (and %.0f us of the fakes), %.1f machines looked at a"
              + " placement (%d placed), %.1f writes a submission of %d tasks%n",
          machines,
          1e6 * program / reports,
          1e6 * (total - program) / reports,
          (node.machinesExamined() - looked) / (double) Math.max(1, placed),
          placed,
          (world.state.writes - writes) / (double) jobs,
          machines);
    }
  }
}
