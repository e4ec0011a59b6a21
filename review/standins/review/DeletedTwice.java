package review;

import java.nio.charset.StandardCharsets;

/**
 * A Kubernetes Job is created; the state service carries the transaction out and its answer is
 * lost. A client that sees the Job at another controller deletes it there, with success. Within
 * cancel_s none of its tasks may be left, and none may start after that.
 */
final class DeletedTwice {
  private static final int PORT = 8090;
  private static final int CREATED_AT = 0;
  private static final int DELETED_AT = 1;
  private static final String JOBS = "/apis/batch/v1/namespaces/field-data/jobs";

  public static void main(String[] args) throws Exception {
    World.Site site = World.Site.mitaHubFleet();
    site.fixedPort = PORT;
    Script.run(args, site, "kubernetes.toml", new DeletedTwice()::play);
  }

  private int play(World world, boolean trouble) throws Exception {
    for (int i = 0; i < world.controllerCount(); i++) {
      world.start(i);
    }
    for (int i = 0; i < world.controllerCount(); i++) {
      if (!world.awaitReady(i, 20)) {
        return 2;
      }
      world.addMachine("dar-room", false, i, 0);
    }
    boolean takenIn =
        Script.await(15, () -> world.machines().stream().allMatch(worker -> worker.token() > 0));
    if (!takenIn) {
      return 2;
    }
    // The task would run for ten minutes.
    world.setOwnJobs(Kit.now() + 600, 2);
    Kit.sleep(1);
    create(world);
    if (!Script.await(6, () -> !world.tasksOnMachines().isEmpty())) {
      return 2;
    }
    if (trouble) {
      world.state.loseAnswerToNext("k8s/gone/");
    }
    Thread deleter =
        new Thread(
            () -> {
              Kit.Reply deletion =
                  Kit.user(
                      "DELETE", world.fixedPortAddress(DELETED_AT), JOBS + "/scan", "{}".getBytes(), 8);
              Kit.log("client -> %s delete: %s", world.label(DELETED_AT), text(deletion));
            });
    deleter.start();
    if (!Script.await(4, () -> get(world, CREATED_AT, true) == 404)) {
      return 2;
    }
    Kit.log("%s: scan is gone", world.label(CREATED_AT));
    create(world);
    deleter.join(10_000);
    Kit.sleep(3);
    boolean lost = false;
    for (int i = 0; i < world.controllerCount(); i++) {
      lost |= get(world, i, false) == 404;
    }
    Kit.log("started: %s, on machines: %s", world.starts(), world.tasksOnMachines());
    return lost ? 1 : 0;
  }

  private static void create(World world) {
    String manifest =
        "{\"apiVersion\":\"batch/v1\",\"kind\":\"Job\",\"metadata\":{\"name\":\"scan\"},"
            + "\"spec\":{\"completions\":1,\"parallelism\":1,\"template\":{\"spec\":{"
            + "\"restartPolicy\":\"Never\",\"containers\":[{\"name\":\"main\",\"image\":\"scan:1\","
            + "\"resources\":{\"requests\":{\"cpu\":\"2\",\"memory\":\"4G\"}}}]}}}}";
    Kit.Reply reply =
        Kit.user(
            "POST",
            world.fixedPortAddress(CREATED_AT),
            JOBS,
            manifest.getBytes(StandardCharsets.UTF_8),
            10);
    Kit.log("client -> %s create: %s", world.label(CREATED_AT), text(reply));
  }

  private static int get(World world, int controller, boolean quiet) {
    Kit.Reply reply =
        Kit.user("GET", world.fixedPortAddress(controller), JOBS + "/scan", null, 2);
    int status = reply == null ? 0 : reply.status();
    if (!quiet || status == 200) {
      Kit.log("client -> %s get: %s", world.label(controller), text(reply));
    }
    return status;
  }

  private static String text(Kit.Reply reply) {
    return reply == null
        ? "no response"
        : reply.status() + " " + new String(reply.body(), StandardCharsets.UTF_8);
  }
}
