package io.violetrail.simulation.digest;

import io.violetrail.config.Settings.Team;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;

/**
 * One seeded day of a simulated deployment. Users submit load while faults are injected and healed,
 * at most two at a time. All choices derive from the seed, so the same program sends the same
 * messages.
 */
final class SimulatedDay {
  private static final int STEPS = 240;
  private static final double FAULT_FREE_SECONDS = 30;
  private static final int MAX_ACTIVE_FAULTS = 2;
  private static final int MIN_FAULT_STEPS = 4;
  private static final int FAULT_STEPS_RANGE = 30;

  private final long seed;
  private final Random random;
  private final ClusterSimulation cluster;
  private final MessageDigester digester;
  private final Flavour flavour;
  private final Workload workload;
  private final ApiClient client;
  private final ObservedEvents observedEvents;
  private final List<InjectedFault> remainingFaults = new ArrayList<>();
  private final List<ActiveFault> activeFaults = new ArrayList<>();
  private final Set<InjectedFault> injectedFaults = EnumSet.noneOf(InjectedFault.class);

  private record ActiveFault(InjectedFault fault, int lastStep, Runnable heal) {}

  SimulatedDay(long seed) {
    this.seed = seed;
    // The day and the simulation draw from separate generators, so that a draw from one does not
    // shift the sequence of the other.
    random = new Random(seed * 7919 + 1);
    cluster = new ClusterSimulation(3, seed);
    digester = new MessageDigester(cluster);
    cluster.setOnMessage(digester);
    flavour = Flavour.forSeed(seed);
    flavour.prepare(cluster);
    workload = new Workload(cluster, random);
    client = flavour.client(cluster, random, digester);
    observedEvents = new ObservedEvents(cluster);
  }

  /** Runs the day and returns its summary line. */
  String run() {
    startDeployment();
    for (int step = 0; step < STEPS; step++) {
      healFaults(step);
      injectFault(step);
      workload.runStep();
      client.runStep();
      cluster.runFor(random.nextDouble());
      observedEvents.observe();
    }
    finishWithoutFaults();
    return summaryLine();
  }

  private void startDeployment() {
    double unlimited = Double.POSITIVE_INFINITY;
    cluster.teams().put("blue", new Team("blue", 0, 0, 12 + random.nextInt(12), unlimited));
    cluster.teams().put("gold", new Team("gold", 16 + random.nextInt(16), 0, unlimited, unlimited));
    cluster
        .cloud()
        .machineTypes()
        .add(
            new MachineType(
                "wide", new Resources(16, 0, 64), 50, 1, 1.9, 0.5, 4, List.of("a", "b")));
    cluster.cloud().setCapacity(4 + random.nextInt(9));
    cluster.cloud().setTaskDurationSeconds(6 + random.nextInt(20));
    cluster.cloud().setImageFetchSeconds(random.nextInt(3));
    cluster.cloud().setRentalReplyDelaySeconds(random.nextInt(2));
    cluster.setReportsOnChange(random.nextBoolean());
    cluster.startAllControllers();
  }

  private void injectFault(int step) {
    if (activeFaults.size() == MAX_ACTIVE_FAULTS || random.nextInt(8) != 0) {
      return;
    }
    InjectedFault fault = nextFault();
    if (activeFaults.stream().noneMatch(other -> other.fault().scope() == fault.scope())) {
      int lastStep = step + MIN_FAULT_STEPS + random.nextInt(FAULT_STEPS_RANGE);
      activeFaults.add(new ActiveFault(fault, lastStep, fault.inject(cluster, random)));
      injectedFaults.add(fault);
    }
  }

  /** Draws a fault at random; every fault is drawn once before any is drawn again. */
  private InjectedFault nextFault() {
    if (remainingFaults.isEmpty()) {
      remainingFaults.addAll(List.of(InjectedFault.values()));
    }
    return remainingFaults.remove(random.nextInt(remainingFaults.size()));
  }

  private void healFaults(int step) {
    List<ActiveFault> expired =
        activeFaults.stream().filter(fault -> fault.lastStep() <= step).toList();
    activeFaults.removeAll(expired);
    expired.forEach(fault -> fault.heal().run());
  }

  /**
   * Heals all faults, so that all entities fail back to their home controllers, and cancels open
   * jobs. The messages of this phase are digested too.
   */
  private void finishWithoutFaults() {
    healFaults(Integer.MAX_VALUE);
    runFaultFreePeriod();
    workload.cancelAllJobs();
    runFaultFreePeriod();
    workload.queryAllJobs();
    cluster.runFor(10);
    client.finish();
    cluster.launches().forEach(digester::addText);
  }

  private void runFaultFreePeriod() {
    for (int second = 0; second < FAULT_FREE_SECONDS; second++) {
      cluster.runFor(1);
      observedEvents.observe();
    }
  }

  private String summaryLine() {
    String violationField =
        cluster.violations().isEmpty() ? "" : " BROKEN-RULES=" + cluster.violations().size();
    return "%3d %-13s faults=%d %s launches=%d%s messages=%d %s"
        .formatted(
            seed,
            flavour.name().toLowerCase(Locale.ROOT),
            injectedFaults.size(),
            observedEvents.summary(),
            cluster.launches().size(),
            violationField,
            digester.messageCount(),
            digester.hexPrefix());
  }

  /** Returns the faults that the day has injected so far. */
  Set<InjectedFault> injectedFaults() {
    return injectedFaults;
  }

  /** Returns the descriptions of the rule violations that the checker has found. */
  List<String> violations() {
    return cluster.violations();
  }
}
