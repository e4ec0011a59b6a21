package io.violetrail.simulation;

import io.violetrail.config.Options;
import io.violetrail.config.Settings.Team;
import io.violetrail.fakes.World;
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
  void prepare(World world) {
    switch (this) {
      case CALENDAR -> world.calendar = true;
      case KUBERNETES -> world.kubernetes = true;
      case CONFIGURATION -> serveConfiguration(world);
      default -> {
        // The scheduler alone.
      }
    }
  }

  /** The client that uses the optional part. */
  ApiClient client(World world, Random random, MessageDigester digester) {
    return switch (this) {
      case CALENDAR -> new ScheduleClient(world, random);
      case KUBERNETES -> new KubernetesClient(world, random, digester);
      case CONFIGURATION -> new ConfigurationClient(world, random);
      case SCHEDULER -> ApiClient.NONE;
    };
  }

  private static void serveConfiguration(World world) {
    Options standard = Options.DEFAULTS;
    world.options = new Options(null, standard.idleS(), standard.sample(), null, null, false, true);
    // The limits change while the day is played, so the checker knows none.
    double unlimited = Double.POSITIVE_INFINITY;
    world.limitOf = team -> new Team(team, 0, 0, unlimited, unlimited);
  }
}
