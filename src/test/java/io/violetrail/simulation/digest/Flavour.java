package io.violetrail.simulation.digest;

import io.violetrail.config.Options;
import io.violetrail.config.Settings.Team;
import io.violetrail.fakes.ClusterSimulation;
import java.util.Random;

/** Which of the optional parts the controllers of a simulated day serve. */
enum Flavour {
  SCHEDULER,
  CALENDAR,
  KUBERNETES,
  CONFIGURATION;

  static Flavour of(long seed) {
    return values()[(int) (seed % values().length)];
  }

  /** Sets a simulation up, before any of its controllers starts. */
  void prepare(ClusterSimulation simulation) {
    switch (this) {
      case CALENDAR -> simulation.setSchedulesEnabled(true);
      case KUBERNETES -> simulation.setKubernetesEnabled(true);
      case CONFIGURATION -> serveConfiguration(simulation);
      default -> {
        // The scheduler alone.
      }
    }
  }

  /** The client that uses the optional part. */
  ApiClient client(ClusterSimulation simulation, Random random, MessageDigester digester) {
    return switch (this) {
      case CALENDAR -> new ScheduleClient(simulation, random);
      case KUBERNETES -> new KubernetesClient(simulation, random, digester);
      case CONFIGURATION -> new ConfigurationClient(simulation, random);
      case SCHEDULER -> ApiClient.NONE;
    };
  }

  private static void serveConfiguration(ClusterSimulation simulation) {
    Options standard = Options.DEFAULTS;
    simulation.setOptions(
        new Options(
            null,
            standard.maxIdleSeconds(),
            standard.placementSampleSize(),
            null,
            null,
            false,
            true));
    // The limits change while the day is played, so the checker knows none.
    double unlimited = Double.POSITIVE_INFINITY;
    simulation.setTeamLimit(team -> new Team(team, 0, 0, unlimited, unlimited));
  }
}
