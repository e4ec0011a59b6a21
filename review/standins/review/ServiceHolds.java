package review;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A service runs on the entity's only machine, and a job waits that has no room beside it. A machine
 * must be rented for the job. TROUBLE=0 has an ordinary long task in the service's place. No
 * disruption is played, so this is no case.
 */
final class ServiceHolds {
  private static final double LIMIT_SECONDS = 90;

  public static void main(String[] args) throws Exception {
    Script.run(args, World.Site.mitaHub(), "service.toml", new ServiceHolds()::play);
  }

  private int play(World world, boolean trouble) throws Exception {
    for (int i = 0; i < world.controllerCount(); i++) {
      world.start(i);
    }
    for (int i = 0; i < world.controllerCount(); i++) {
      if (!world.awaitReady(i, 15)) {
        return 2;
      }
    }
    Worker a = world.addMachine("dar-room", false, 0, 0);
    if (!Script.await(8, () -> a.token() > 0)) {
      return 2;
    }
    ObjectNode service = world.job("job-000001", 1, 20, 600);
    if (trouble) {
      service.put("shape", "daemon").put("guess_s", 0.0);
    }
    world.submit(service, 0);
    if (!Script.await(10, () -> !world.tasksOnMachines().isEmpty())) {
      return 2;
    }
    world.submit(world.job("job-000002", 1, 20, 10), 0);
    double at = Kit.now();
    boolean hired = Script.await(LIMIT_SECONDS, () -> world.hireCount() > 0);
    Kit.log("%s after %.1f s", hired ? "rented" : "NOT rented", Kit.now() - at);
    return hired ? 0 : 1;
  }
}
