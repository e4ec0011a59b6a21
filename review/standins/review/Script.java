package review;

import java.nio.file.Path;

/** The frame of a test: its record, its verdict as the exit status, its end after 115 s. */
final class Script {
  private static final double LIMIT_SECONDS = 115;

  private Script() {}

  /** Plays a test and returns 0 if the rule held, 1 if it was broken, 2 if it could not run. */
  interface Play {
    int play(World world, boolean trouble) throws Exception;
  }

  interface Condition {
    boolean holds();
  }

  /**
   * Plays a test and ends this process.
   *
   * @param args the repository's root and the record's file
   */
  static void run(String[] args, World.Site site, String deployFile, Play test) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Kit.openRecord(Path.of(args[1]));
    World world = new World(site, Path.of(args[0]), deployFile);
    Thread watchdog =
        new Thread(
            () -> {
              Kit.sleep(LIMIT_SECONDS);
              finish(world, 2);
            });
    watchdog.setDaemon(true);
    watchdog.start();
    int verdict = 2;
    try {
      verdict = test.play(world, trouble);
    } catch (Exception exception) {
      exception.printStackTrace();
    }
    finish(world, verdict);
  }

  private static void finish(World world, int verdict) {
    Kit.log("verdict: %d", verdict);
    world.killAll();
    System.out.println(
        switch (verdict) {
          case 0 -> "the rule held";
          case 1 -> "the rule was broken";
          default -> "the case could not run";
        });
    Runtime.getRuntime().halt(verdict);
  }

  static boolean await(double seconds, Condition condition) {
    double until = Kit.now() + seconds;
    while (Kit.now() < until) {
      if (condition.holds()) {
        return true;
      }
      Kit.sleep(0.02);
    }
    return false;
  }
}
