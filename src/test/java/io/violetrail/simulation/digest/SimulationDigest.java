package io.violetrail.simulation.digest;

import java.util.EnumSet;
import java.util.Set;

/**
 * Runs seeded days of the simulation and prints one line per seed, with a digest over all messages
 * and launches. A change that preserves behaviour leaves every line unchanged:
 *
 * <pre>
 * mvn -q -DskipTests package
 * java -cp target/test-classes:target/violetrail.jar \
 *     io.violetrail.simulation.digest.SimulationDigest
 * </pre>
 *
 * <p>Optional arguments: the first and the last seed; the default is 1 and 24. Standard output has
 * only these lines. Standard error lists the faults that were not injected on any day and the rule
 * violations. Set the property {@code org.slf4j.simpleLogger.defaultLogLevel} to see the log of the
 * controllers; the default level is {@code error}.
 */
public final class SimulationDigest {
  private static final long FIRST_SEED = 1;
  private static final long LAST_SEED = 24;
  private static final String LOG_LEVEL = "org.slf4j.simpleLogger.defaultLogLevel";

  private SimulationDigest() {}

  /** Runs the days of the given seeds; see the class comment for the arguments. */
  public static void main(String[] arguments) {
    if (System.getProperty(LOG_LEVEL) == null) {
      System.setProperty(LOG_LEVEL, "error");
    }
    long first = arguments.length > 0 ? Long.parseLong(arguments[0]) : FIRST_SEED;
    long last = arguments.length > 1 ? Long.parseLong(arguments[1]) : LAST_SEED;
    Set<InjectedFault> neverInjected = EnumSet.allOf(InjectedFault.class);
    for (long seed = first; seed <= last; seed++) {
      SimulatedDay day = new SimulatedDay(seed);
      System.out.println(day.run());
      day.violations().forEach(System.err::println);
      neverInjected.removeAll(day.injectedFaults());
    }
    if (!neverInjected.isEmpty()) {
      System.err.println("faults not injected on any day: " + neverInjected);
    }
  }
}
