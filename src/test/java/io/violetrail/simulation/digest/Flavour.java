package io.violetrail.simulation.digest;

import io.violetrail.config.Options;
import io.violetrail.config.Settings.Team;
import io.violetrail.fakes.ClusterSimulation;
import java.util.Random;

/** The optional API that the controllers of a simulated day serve, if any. */
enum Flavour {
  SCHEDULER,
  CALENDAR,
  KUBERNETES,
  CONFIGURATION;

  static Flavour forSeed(long seed) {
    return values()[(int) (seed % values().length)];
  }

  /** Configures a simulation. Must be called before any of its controllers starts. */
  void prepare(ClusterSimulation simulation) {
    switch (this) {
      case CALENDAR -> simulation.setSchedulesEnabled(true);
      case KUBERNETES -> simulation.setKubernetesEnabled(true);
      case CONFIGURATION -> enableConfiguration(simulation);
      default -> {
        // SCHEDULER enables no optional API.
      }
    }
  }

  /** Creates the client that uses the optional API. */
  ApiClient client(ClusterSimulation simulation, Random random, MessageDigester digester) {
    return switch (this) {
      case CALENDAR -> new ScheduleClient(simulation, random);
      case KUBERNETES -> new KubernetesClient(simulation, random, digester);
      case CONFIGURATION -> new ConfigurationClient(simulation, random);
      case SCHEDULER -> ApiClient.NONE;
    };
  }

  private static void enableConfiguration(ClusterSimulation simulation) {
    Options defaults = Options.DEFAULTS;
    simulation.setOptions(
        new Options(
            null,
            defaults.maxIdleSeconds(),
            defaults.placementSampleSize(),
            null,
            null,
            false,
            true));
    // The limits change during the day, so the checker is given unlimited quotas.
    double unlimited = Double.POSITIVE_INFINITY;
    simulation.setTeamLimit(team -> new Team(team, 0, 0, unlimited, unlimited));
  }
}
