package review;

/**
 * A job's task fails once on a faulty machine. Then the machine is sound again and has room for it,
 * beside a long task of another job. The job must not be left waiting for 90 s.
 */
final class StarvedJob {
  /** hunt/LATER.md: "no job is left waiting for 90 s while a machine that fits has room". */
  private static final double LIMIT_SECONDS = 90;

  private static final String WAITING = "job-000003";

  public static void main(String[] args) throws Exception {
    Script.run(args, World.Site.mitaHub(), "service.toml", new StarvedJob()::play);
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
    Worker machine = world.addMachine("dar-room", false, 0, 0);
    if (!Script.await(8, () -> machine.token() > 0)) {
      return 2;
    }
    // A long task of 20 CPUs leaves 12 of the machine's 32 CPUs free.
    if (world.submit(world.job("job-000001", 1, 20, 600), 0) != 201
        || !Script.await(6, () -> !world.machinesOf("job-000001/0").isEmpty())) {
      return 2;
    }
    if (trouble) {
      machine.setFaulty(true);
    }
    if (world.submit(world.job(WAITING, 1, 10, 10), 0) != 201) {
      return 2;
    }
    if (trouble) {
      boolean failed = Script.await(20, () -> machine.failures(WAITING) > 0);
      machine.setFaulty(false);
      if (!failed) {
        return 2;
      }
    }
    double overAt = Kit.now();
    Kit.log("the trouble is over");
    int startsBefore = world.startCount(WAITING + "/0");
    double nextPoll = 0;
    while (Kit.now() < overAt + LIMIT_SECONDS) {
      if (Kit.now() > nextPoll) {
        nextPoll = Kit.now() + 5;
        String status = status(world);
        if (status.equals("done")) {
          return 0;
        }
      }
      if (trouble && world.startCount(WAITING + "/0") > startsBefore) {
        Kit.log("%s started again %.1f s after the trouble", WAITING, Kit.now() - overAt);
        return 0;
      }
      Kit.sleep(0.1);
    }
    System.out.printf(
        "%s has waited for %.0f s since the trouble was over; %.0f CPUs are free on %s%n",
        WAITING, Kit.now() - overAt, machine.freeCores(), machine.id);
    return machine.freeCores() >= 10 ? 1 : 2;
  }

  private static String status(World world) {
    Kit.Reply reply = world.poll(WAITING, 0);
    return reply == null ? "" : reply.json().path("status").asText();
  }
}
