package io.violetrail.simulation.digest;

import java.util.EnumSet;
import java.util.Set;

/**
 * Plays seeded days of the simulation and prints one line per seed, with a digest over all messages
 * and launches. A change that preserves behaviour leaves every line as it was:
 *
 * <pre>
 * mvn -q -DskipTests package
 * java -cp target/test-classes:target/violetrail.jar \
 *     io.violetrail.simulation.digest.SimulationDigest
 * </pre>
 *
 * <p>Arguments: the first and the last seed, if not all are to be played. Standard output has the
 * lines alone; standard error names the faults that no day had and the rules that were broken. The
 * property {@code org.slf4j.simpleLogger.defaultLogLevel} may ask for the log of the controllers.
 */
public final class SimulationDigest {
  private static final long FIRST_SEED = 1;
  private static final long LAST_SEED = 24;
  private static final String LOG_LEVEL = "org.slf4j.simpleLogger.defaultLogLevel";

  private SimulationDigest() {}

  /** Plays the days; the arguments may be the first and the last seed. */
  public static void main(String[] arguments) {
    if (System.getProperty(LOG_LEVEL) == null) {
      System.setProperty(LOG_LEVEL, "error");
    }
    long first = arguments.length > 0 ? Long.parseLong(arguments[0]) : FIRST_SEED;
    long last = arguments.length > 1 ? Long.parseLong(arguments[1]) : LAST_SEED;
    Set<InjectedFault> neverInjected = EnumSet.allOf(InjectedFault.class);
    for (long seed = first; seed <= last; seed++) {
      SimulatedDay day = new SimulatedDay(seed);
      System.out.println(day.play());
      day.brokenRules().forEach(System.err::println);
      neverInjected.removeAll(day.injected());
    }
    if (!neverInjected.isEmpty()) {
      System.err.println("faults of no day: " + neverInjected);
    }
  }
}
