package review;

import java.util.List;

/**
 * A controller that a peer has handed its entity to is killed and is back at once. A late copy of
 * an old report reaches it as it begins.
 */
final class RestartedHolder {
  private static final int CUT = 0;

  /** The controller that the entity is handed to; which one it is, is the cut one's choice. */
  private int holder = 1;

  /** LATER.md: back about 5 s after an end, and also within a fraction of a second. */
  private static final double AWAY_SECONDS = 2;

  public static void main(String[] args) throws Exception {
    Script.run(args, World.Site.mitaHubFleet(), "service.toml", new RestartedHolder()::play);
  }

  private int play(World world, boolean trouble) throws Exception {
    for (int i = 0; i < world.controllerCount(); i++) {
      world.start(i);
    }
    for (int i = 0; i < world.controllerCount(); i++) {
      if (!world.awaitReady(i, 20)) {
        return 2;
      }
    }
    world.setBoot(Double.POSITIVE_INFINITY, holder);
    // Two machines are up at the start; their workers report to c0, which takes them in.
    Worker x = world.addMachine("dar-room", false, CUT, 0);
    Worker y = world.addMachine("dar-room", false, CUT, 0);
    if (!Script.await(15, () -> x.token() > 0 && y.token() > 0)) {
      Kit.log("the machines were not taken in");
      return 2;
    }
    // Two jobs of one task fill both machines. The third one waits, and a machine is rented for it.
    if (world.submit(world.job("job-000001", 1, 30, 200), CUT) != 201
        || world.submit(world.job("job-000002", 1, 30, 200), CUT) != 201) {
      return 2;
    }
    if (!Script.await(10, () -> !on(world, 1).isEmpty() && !on(world, 2).isEmpty())) {
      return 2;
    }
    Worker first = on(world, 1).get(0).equals(x.id) ? x : y;
    Worker second = first == x ? y : x;
    if (world.submit(world.job("job-000003", 1, 30, 200), CUT) != 201
        || !Script.await(8, () -> world.hireCount() > 0)) {
      return 2;
    }
    long tokenBefore = Math.max(x.token(), y.token());
    if (trouble) {
      world.setCutFromWorkers(CUT, true);
      boolean handedOver =
          Script.await(
              25,
              () ->
                  x.token() > tokenBefore
                      && x.token() == y.token()
                      && x.token() % 10 != CUT
                      && x.controller() == x.token() % 10
                      && y.controller() == x.token() % 10);
      if (!handedOver) {
        Kit.log("the entity was not handed over");
        return 2;
      }
      holder = (int) (x.token() % 10);
      Kit.log("%s has the entity now, version %d", world.label(holder), x.token());
    }
    // Both workers report under the new token what they run; these reports are copied.
    Kit.sleep(world.reportSeconds * 1.2);
    first.endAt("job-000001", Kit.now());
    if (!Script.await(12, () -> !on(world, 3).isEmpty())) {
      return 2;
    }
    Kit.log("job-000003/0 is on %s", on(world, 3));
    if (!on(world, 3).get(0).equals(first.id)) {
      return 2;
    }
    second.endAt("job-000002", Kit.now());
    Kit.sleep(world.reportSeconds * 1.2);
    if (trouble) {
      restartHolder(world, first, second, tokenBefore);
    }
    if (!world.isReady(holder) && !world.awaitReady(holder, 15)) {
      return 2;
    }
    world.setBoot(0, holder);
    double until = Math.min(Kit.now() + 20, 105);
    while (Kit.now() < until && world.violations().isEmpty()) {
      Kit.sleep(0.1);
    }
    world.poll("job-000003", holder);
    world.violations().forEach(violation -> System.out.println("ran_twice: " + violation));
    return world.violations().isEmpty() ? 0 : 1;
  }

  private void restartHolder(World world, Worker first, Worker second, long tokenBefore)
      throws Exception {
    Worker.SentReport[] old = {
      oldReport(first, tokenBefore, "job-000001/0"), oldReport(second, tokenBefore, "job-000002/0")
    };
    // The first worker's next report is due soon, so it finds the controller away.
    Script.await(8, () -> Kit.now() - first.lastSentAt() > 2.2 && Kit.now() - first.lastSentAt() < 2.9);
    world.kill(holder);
    Kit.sleep(AWAY_SECONDS);
    world.start(holder);
    if (!world.awaitReady(holder, 15)) {
      return;
    }
    Kit.sleep(0.3);
    for (Worker.SentReport report : old) {
      Kit.log(
          "a copy of report %d (baton %d, running %s), %.1f s old, arrives at %s",
          report.tick(),
          report.token(),
          report.running(),
          Kit.now() - report.at(),
          world.label(holder));
      Kit.user("POST", world.apiAddress(holder), "/agent/beat", report.body(), 4);
    }
  }

  /** The last report under the holder's token that still shows the task that ran before. */
  private static Worker.SentReport oldReport(Worker worker, long tokenBefore, String task) {
    Worker.SentReport found = null;
    for (Worker.SentReport report : worker.sentReports()) {
      if (report.token() > tokenBefore && report.running().contains(task)) {
        found = report;
      }
    }
    return found;
  }

  private static List<String> on(World world, int job) {
    return world.machinesOf("job-00000" + job + "/0");
  }
}
