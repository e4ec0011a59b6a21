package io.violetrail.tools.scale;

import io.violetrail.config.Options;
import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.config.Settings.Team;
import io.violetrail.config.Settings.WorkerTiming;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import java.util.List;
import java.util.stream.IntStream;

/** Configures a simulation for a load shape: machine types, teams, zones, delays. */
final class DeploymentSetup {
  static final String GENERAL_TYPE = "general32";
  static final String ACCELERATED_TYPE = "accel48";

  /** 225 of 1,700 machines with 8 accelerators each give 1,800 accelerators. */
  private static final double ACCELERATED_SHARE = 225.0 / 1_700;

  /** The service-level objective for the start of urgent jobs. */
  static final double URGENT_START_SECONDS = 2.1;

  /** Ratio of a team's limit to its even share of the fleet. */
  private static final double LIMIT_TO_EVEN_SHARE = 10;

  /** Default interval of worker reports. */
  static final double REPORT_INTERVAL_SECONDS = 3;

  private static final double LEASE_BASE_SECONDS = 14.5;
  private static final double GANG_WAIT_SECONDS = 50;
  private static final double GANG_PEER_SECONDS = 6;
  private static final double CANCEL_BASE_SECONDS = 34.5;

  /** Idle time before a machine is returned; longer than any run. */
  static final double NEVER_IDLE_SECONDS = 86_400;

  private static final double SAME_REGION_DELAY_SECONDS = 0.001;
  private static final double GENERAL_CPUS = 32;

  private DeploymentSetup() {}

  static void configure(
      ClusterSimulation simulation,
      LoadShape shape,
      StateStoreLimits stateLimits,
      double reportIntervalSeconds) {
    simulation.setStateLimits(stateLimits);
    simulation.stateService().setEnforcesLimits(true);
    simulation.setWorkerSettings(
        new WorkerTiming(
            reportIntervalSeconds,
            LEASE_BASE_SECONDS + reportIntervalSeconds,
            GANG_WAIT_SECONDS,
            GANG_PEER_SECONDS,
            CANCEL_BASE_SECONDS + reportIntervalSeconds));
    // Keeps the fleet's size constant: no machine is returned because it is idle.
    simulation.setOptions(
        new Options(
            null,
            NEVER_IDLE_SECONDS,
            Options.DEFAULTS.placementSampleSize(),
            null,
            null,
            false,
            false));
    simulation.setReportsOnChange(true);
    simulation.setRecordsLaunches(false);
    simulation.cloud().setRecordsReports(false);
    simulation.cloud().setPageSize(500);
    simulation.cloud().setCapacity(shape.workers());
    simulation.cloud().setTaskDurationSeconds(shape.taskDurationSeconds());
    simulation.setTaskDurationSeconds(
        averageSeconds -> averageSeconds * (0.5 + simulation.random().nextDouble()));
    simulation.setObjectives(
        List.of(new Objective("wait", JobMix.URGENT_CLASS, URGENT_START_SECONDS, 0.9, 1)));
    List<String> zones = IntStream.range(0, LoadShape.ZONES).mapToObj(LoadShape::zoneName).toList();
    simulation.cloud().machineTypes().clear();
    simulation
        .cloud()
        .machineTypes()
        .add(
            new MachineType(
                GENERAL_TYPE, new Resources(GENERAL_CPUS, 0, 64), 50, 1, 2, 0.5, 30, zones));
    simulation
        .cloud()
        .machineTypes()
        .add(
            new MachineType(ACCELERATED_TYPE, new Resources(48, 8, 384), 100, 1, 24, 5, 45, zones));
    simulation.teams().clear();
    double fleetCpus = shape.workers() * GENERAL_CPUS;
    for (int i = 0; i < shape.teams(); i++) {
      String name = JobMix.teamName(i);
      double evenShare = fleetCpus / shape.teams();
      double limit =
          Math.min(fleetCpus, Math.max(shape.gangWidth() * 2.0, LIMIT_TO_EVEN_SHARE * evenShare));
      simulation.teams().put(name, new Team(name, evenShare, 0, limit, shape.workers()));
    }
    HostZones hostZones = new HostZones(simulation);
    simulation.setOneWayDelaySeconds(
        (from, to) ->
            hostZones.regionOf(from).equals(hostZones.regionOf(to))
                ? SAME_REGION_DELAY_SECONDS
                : shape.regionDelayS());
  }

  /** Adds the initial machines, spread evenly over the zones. */
  static void addMachines(ClusterSimulation simulation, LoadShape shape) {
    int accelerated = (int) Math.round(shape.workers() * ACCELERATED_SHARE);
    for (int i = 0; i < shape.workers(); i++) {
      simulation
          .cloud()
          .addRunningMachine(
              i < accelerated ? ACCELERATED_TYPE : GENERAL_TYPE,
              LoadShape.zoneName(i % LoadShape.ZONES));
    }
  }
}
