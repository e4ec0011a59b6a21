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
 * One seeded day of a simulated deployment: users load it while faults come and go, at most two at
 * a time. All choices come from the seed, so the same program gives the same messages.
 */
final class SimulatedDay {
  private static final int STEPS = 240;
  private static final double QUIET_SECONDS = 30;
  private static final int MOST_FAULTS_AT_A_TIME = 2;
  private static final int SHORTEST_FAULT_STEPS = 4;
  private static final int FAULT_STEPS_RANGE = 30;

  private final long seed;
  private final Random random;
  private final ClusterSimulation cluster;
  private final MessageDigester digester;
  private final Flavour flavour;
  private final Workload workload;
  private final ApiClient client;
  private final ObservedEvents observed;
  private final List<InjectedFault> faultsToCome = new ArrayList<>();
  private final List<ActiveFault> active = new ArrayList<>();
  private final Set<InjectedFault> injected = EnumSet.noneOf(InjectedFault.class);

  private record ActiveFault(InjectedFault fault, int lastStep, Runnable heal) {}

  SimulatedDay(long seed) {
    this.seed = seed;
    // Choices of the day are apart from those of the simulation, so neither shifts the other.
    random = new Random(seed * 7919 + 1);
    cluster = new ClusterSimulation(3, seed);
    digester = new MessageDigester(cluster);
    cluster.setOnMessage(digester);
    flavour = Flavour.of(seed);
    flavour.prepare(cluster);
    workload = new Workload(cluster, random);
    client = flavour.client(cluster, random, digester);
    observed = new ObservedEvents(cluster);
  }

  /** Plays the day and returns its line. */
  String play() {
    deploy();
    for (int step = 0; step < STEPS; step++) {
      healFaults(step);
      injectFault(step);
      workload.act();
      client.act();
      cluster.runFor(random.nextDouble());
      observed.look();
    }
    endQuietly();
    return line();
  }

  private void deploy() {
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
    if (active.size() == MOST_FAULTS_AT_A_TIME || random.nextInt(8) != 0) {
      return;
    }
    InjectedFault fault = nextFault();
    if (active.stream().noneMatch(other -> other.fault().scope() == fault.scope())) {
      int lastStep = step + SHORTEST_FAULT_STEPS + random.nextInt(FAULT_STEPS_RANGE);
      active.add(new ActiveFault(fault, lastStep, fault.inject(cluster, random)));
      injected.add(fault);
    }
  }

  /** Each kind of fault comes up once before any comes up again. */
  private InjectedFault nextFault() {
    if (faultsToCome.isEmpty()) {
      faultsToCome.addAll(List.of(InjectedFault.values()));
    }
    return faultsToCome.remove(random.nextInt(faultsToCome.size()));
  }

  private void healFaults(int step) {
    List<ActiveFault> over = active.stream().filter(fault -> fault.lastStep() <= step).toList();
    active.removeAll(over);
    over.forEach(fault -> fault.heal().run());
  }

  /** Without faults all entities go home and open jobs end; what is then told is digested too. */
  private void endQuietly() {
    healFaults(Integer.MAX_VALUE);
    quietSeconds();
    workload.cancelAll();
    quietSeconds();
    workload.askAboutAll();
    cluster.runFor(10);
    client.end();
    cluster.launches().forEach(digester::add);
  }

  private void quietSeconds() {
    for (int second = 0; second < QUIET_SECONDS; second++) {
      cluster.runFor(1);
      observed.look();
    }
  }

  private String line() {
    String brokenRules =
        cluster.violations().isEmpty() ? "" : " BROKEN-RULES=" + cluster.violations().size();
    return "%3d %-13s faults=%d %s launches=%d%s messages=%d %s"
        .formatted(
            seed,
            flavour.name().toLowerCase(Locale.ROOT),
            injected.size(),
            observed.summary(),
            cluster.launches().size(),
            brokenRules,
            digester.messages(),
            digester.hex());
  }

  /** The kinds of faults that the day had. */
  Set<InjectedFault> injected() {
    return injected;
  }

  /** The rules that were broken, as the checker tells of them. */
  List<String> brokenRules() {
    return cluster.violations();
  }
}
