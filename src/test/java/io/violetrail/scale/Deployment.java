package io.violetrail.scale;

import io.violetrail.config.Options;
import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.StateLimits;
import io.violetrail.config.Settings.Team;
import io.violetrail.config.Settings.Workers;
import io.violetrail.fakes.World;
import io.violetrail.model.Amounts;
import io.violetrail.model.MachineType;
import java.util.List;
import java.util.stream.IntStream;

/** Sets a world up as a deployment of a load's shape: machine types, teams, zones, delays. */
final class Deployment {
  static final String GENERAL = "general32";
  static final String ACCELERATED = "accel48";

  /** 225 of 1,700 machines with 8 accelerators each make 1,800. */
  private static final double ACCELERATED_SHARE = 225.0 / 1_700;

  /** Urgent work is to start within this. */
  static final double URGENT_START_S = 2.1;

  /** Every team may use so many times its even part of the fleet. */
  private static final double LIMIT_PARTS = 10;

  /** How often workers report unless the run says otherwise. */
  static final double REPORT_S = 3;

  private static final double LEASE_S = 14.5;
  private static final double GANG_WAIT_S = 50;
  private static final double GANG_PEER_S = 6;
  private static final double CANCEL_S = 34.5;

  /** Longer than any run. */
  static final double NEVER_IDLE_S = 86_400;

  private static final double SAME_REGION_S = 0.001;
  private static final double GENERAL_CPUS = 32;

  private Deployment() {}

  static void configure(World world, LoadShape shape, StateLimits stateLimits, double reportS) {
    world.stateLimits = stateLimits;
    world.state.limited = true;
    world.workers =
        new Workers(reportS, LEASE_S + reportS, GANG_WAIT_S, GANG_PEER_S, CANCEL_S + reportS);
    // The fleet keeps its size: no machine is returned for being idle.
    world.options =
        new Options(null, NEVER_IDLE_S, Options.DEFAULTS.sample(), null, null, false, false);
    world.reportsOnChange = true;
    world.keepsLaunches = false;
    world.cloud.keepsReports = false;
    world.cloud.page = 500;
    world.cloud.capacity = shape.workers();
    world.cloud.runS = shape.taskS();
    world.runS = averageS -> averageS * (0.5 + world.random.nextDouble());
    world.objectives = List.of(new Objective("wait", JobMix.URGENT, URGENT_START_S, 0.9, 1));
    List<String> zones = IntStream.range(0, LoadShape.ZONES).mapToObj(LoadShape::zone).toList();
    world.cloud.types.clear();
    world.cloud.types.add(
        new MachineType(GENERAL, new Amounts(GENERAL_CPUS, 0, 64), 50, 1, 2, 0.5, 30, zones));
    world.cloud.types.add(
        new MachineType(ACCELERATED, new Amounts(48, 8, 384), 100, 1, 24, 5, 45, zones));
    world.teams.clear();
    double fleetCpus = shape.workers() * GENERAL_CPUS;
    for (int i = 0; i < shape.teams(); i++) {
      String name = JobMix.team(i);
      double part = fleetCpus / shape.teams();
      double limit = Math.min(fleetCpus, Math.max(shape.gangWidth() * 2.0, LIMIT_PARTS * part));
      world.teams.put(name, new Team(name, part, 0, limit, shape.workers()));
    }
    Zones whereabouts = new Zones(world);
    world.delayS =
        (from, to) ->
            whereabouts.region(from).equals(whereabouts.region(to))
                ? SAME_REGION_S
                : shape.regionDelayS();
  }

  /** The machines that are there from the start, spread over the zones. */
  static void machines(World world, LoadShape shape) {
    int accelerated = (int) Math.round(shape.workers() * ACCELERATED_SHARE);
    for (int i = 0; i < shape.workers(); i++) {
      world.cloud.given(
          i < accelerated ? ACCELERATED : GENERAL, LoadShape.zone(i % LoadShape.ZONES));
    }
  }
}
