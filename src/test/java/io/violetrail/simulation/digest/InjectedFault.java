package io.violetrail.simulation.digest;

import com.google.errorprone.annotations.Immutable;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.FakeWorker;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** A fault that a simulated day injects and heals some seconds later. */
enum InjectedFault {
  CONTROLLER_KILLED(Scope.CONTROLLERS, (simulation, random) -> kill(simulation, random, 1)),
  TWO_CONTROLLERS_KILLED(Scope.CONTROLLERS, (simulation, random) -> kill(simulation, random, 2)),
  ALL_CONTROLLERS_KILLED(Scope.CONTROLLERS, InjectedFault::killAll),
  CONTROLLER_FROZEN(Scope.CONTROLLERS, InjectedFault::freeze),
  PARTITION_FROM_STATE_AND_PEERS(Scope.LOST_MESSAGES, InjectedFault::partitionFromStateAndPeers),
  PARTITION_FROM_PEERS(Scope.REFUSED_CONNECTIONS, InjectedFault::partitionFromPeers),
  PARTITION_FROM_WORKERS(Scope.HELD_MESSAGES, InjectedFault::partitionFromWorkers),
  PARTITION_FROM_HALF_THE_WORKERS(Scope.LOST_MESSAGES, InjectedFault::partitionFromHalfTheWorkers),
  ZONE_PARTITIONED(Scope.HELD_MESSAGES, InjectedFault::partitionZone),
  STATE_OUTAGE(Scope.STATE, InjectedFault::stateOutage),
  STATE_REFUSES_ONE_CONTROLLER(Scope.STATE, InjectedFault::stateRefusesOne),
  STATE_SLOW(Scope.STATE, InjectedFault::stateSlow),
  STATE_WRITES_LATE(Scope.STATE, InjectedFault::stateWritesLate),
  STATE_ACKNOWLEDGEMENTS_LOST(Scope.STATE, InjectedFault::stateAcknowledgementsLost),
  CLOUD_OUTAGE(Scope.CLOUD, InjectedFault::cloudOutage),
  SPOT_RECLAIM(Scope.WORKERS, InjectedFault::reclaimSpot),
  MACHINE_LOST(Scope.WORKERS, InjectedFault::loseMachine),
  WORKERS_PARTITIONED(Scope.WORKERS, InjectedFault::partitionWorkers),
  WORKER_HEARS_NOTHING(Scope.WORKERS, InjectedFault::partitionTowardsWorker),
  WORKER_HANGS(Scope.WORKERS, InjectedFault::hangWorkers),
  WORKER_FAULTY(Scope.WORKERS, InjectedFault::makeWorkerFaulty),
  HEARTBEATS_REPEATED(Scope.WORKERS, InjectedFault::repeatHeartbeats),
  HEARTBEATS_LATE(Scope.HELD_MESSAGES, InjectedFault::delayHeartbeats),
  COMMANDS_LATE(Scope.HELD_MESSAGES, InjectedFault::delayCommands);

  /** What a fault affects. Two faults that are active at the same time have different scopes. */
  enum Scope {
    CONTROLLERS,
    LOST_MESSAGES,
    REFUSED_CONNECTIONS,
    HELD_MESSAGES,
    STATE,
    CLOUD,
    WORKERS
  }

  @Immutable
  private interface Injection {
    Runnable inject(ClusterSimulation simulation, Random random);
  }

  private static final double RECLAIM_NOTICE_SECONDS = 10;
  private static final String HEARTBEAT = " POST /agent/beat";

  private final Scope scope;
  private final Injection injection;

  private static void doNothing() {}

  InjectedFault(Scope scope, Injection injection) {
    this.scope = scope;
    this.injection = injection;
  }

  Scope scope() {
    return scope;
  }

  /** Injects the fault and returns an action that heals it. */
  Runnable inject(ClusterSimulation simulation, Random random) {
    return injection.inject(simulation, random);
  }

  private static String randomController(ClusterSimulation simulation, Random random) {
    return ClusterSimulation.controllerName(random.nextInt(simulation.controllerCount()));
  }

  private static List<FakeWorker> workers(ClusterSimulation simulation) {
    return List.copyOf(simulation.cloud().workers().values());
  }

  /** Returns up to {@code maxCount} distinct random workers. */
  private static List<FakeWorker> randomWorkers(
      ClusterSimulation simulation, Random random, int maxCount) {
    List<FakeWorker> remaining = new ArrayList<>(workers(simulation));
    List<FakeWorker> chosen = new ArrayList<>();
    while (!remaining.isEmpty() && chosen.size() < maxCount) {
      chosen.add(remaining.remove(random.nextInt(remaining.size())));
    }
    return chosen;
  }

  private static Runnable killAll(ClusterSimulation simulation, Random random) {
    return kill(simulation, random, simulation.controllerCount());
  }

  private static Runnable kill(ClusterSimulation simulation, Random random, int count) {
    int first = random.nextInt(simulation.controllerCount());
    List<String> killed = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String controller =
          ClusterSimulation.controllerName((first + i) % simulation.controllerCount());
      if (simulation.controllers().containsKey(controller)) {
        simulation.killController(controller);
        killed.add(controller);
      }
    }
    return () -> killed.forEach(simulation::startController);
  }

  private static Runnable freeze(ClusterSimulation simulation, Random random) {
    simulation.freezeController(randomController(simulation, random), 3 + 15 * random.nextDouble());
    return InjectedFault::doNothing;
  }

  private static Runnable partitionFromStateAndPeers(ClusterSimulation simulation, Random random) {
    simulation.networkFaults().isolateFromStateAndPeers(randomController(simulation, random));
    return simulation.networkFaults()::healLinks;
  }

  private static Runnable partitionFromPeers(ClusterSimulation simulation, Random random) {
    String controller = randomController(simulation, random);
    Predicate<String> toPeer = message -> message.endsWith(" POST /peer");
    simulation
        .networkFaults()
        .refuseConnections(
            message -> {
              String[] fields = message.split(" ", 0);
              return toPeer.test(message)
                  && (fields[0].equals(controller) || fields[1].equals(controller));
            });
    return () -> simulation.networkFaults().refuseConnections(message -> false);
  }

  private static Runnable partitionFromWorkers(ClusterSimulation simulation, Random random) {
    String controller = randomController(simulation, random);
    simulation
        .networkFaults()
        .holdMessages(
            message ->
                (message.startsWith("vm-") && message.contains(" " + controller + HEARTBEAT))
                    || message.startsWith(controller + " vm-"));
    return simulation.networkFaults()::releaseHeldMessages;
  }

  private static Runnable partitionFromHalfTheWorkers(ClusterSimulation simulation, Random random) {
    List<FakeWorker> partitioned =
        randomWorkers(simulation, random, workers(simulation).size() / 2);
    simulation.networkFaults().cutLinks(partitioned, randomController(simulation, random));
    return simulation.networkFaults()::healLinks;
  }

  private static Runnable partitionZone(ClusterSimulation simulation, Random random) {
    Set<String> zoneMembers =
        workers(simulation).stream()
            .filter(worker -> worker.zone().equals("a"))
            .map(worker -> worker.id())
            .collect(Collectors.toSet());
    zoneMembers.add(randomController(simulation, random));
    simulation
        .networkFaults()
        .holdMessages(
            message -> {
              String[] fields = message.split(" ", 0);
              return zoneMembers.contains(fields[0]) != zoneMembers.contains(fields[1])
                  && !fields[0].equals("user");
            });
    return simulation.networkFaults()::releaseHeldMessages;
  }

  private static Runnable stateOutage(ClusterSimulation simulation, Random random) {
    simulation.stateService().setOutage(true);
    return () -> simulation.stateService().setOutage(false);
  }

  private static Runnable stateRefusesOne(ClusterSimulation simulation, Random random) {
    simulation.stateService().refusedControllers().add(randomController(simulation, random));
    return simulation.stateService().refusedControllers()::clear;
  }

  private static Runnable stateSlow(ClusterSimulation simulation, Random random) {
    simulation.stateService().setReplyDelaySeconds(0.1 + 0.3 * random.nextDouble());
    return () -> simulation.stateService().setReplyDelaySeconds(0);
  }

  private static Runnable stateWritesLate(ClusterSimulation simulation, Random random) {
    simulation.stateService().lateTransactionShare().put(randomController(simulation, random), 0.4);
    return simulation.stateService().lateTransactionShare()::clear;
  }

  private static Runnable stateAcknowledgementsLost(ClusterSimulation simulation, Random random) {
    simulation.stateService().lostReplyShare().put(randomController(simulation, random), 0.4);
    return simulation.stateService().lostReplyShare()::clear;
  }

  private static Runnable cloudOutage(ClusterSimulation simulation, Random random) {
    simulation.cloud().setUnavailable(true);
    return () -> simulation.cloud().setUnavailable(false);
  }

  private static Runnable reclaimSpot(ClusterSimulation simulation, Random random) {
    for (FakeWorker worker : workers(simulation)) {
      if (worker.isSpot() && random.nextBoolean()) {
        worker.setPreemptionNoticeSeconds(RECLAIM_NOTICE_SECONDS);
        simulation.runAfter(RECLAIM_NOTICE_SECONDS, () -> destroy(simulation, worker));
      }
    }
    return InjectedFault::doNothing;
  }

  private static Runnable loseMachine(ClusterSimulation simulation, Random random) {
    randomWorkers(simulation, random, 1).forEach(worker -> destroy(simulation, worker));
    return InjectedFault::doNothing;
  }

  private static void destroy(ClusterSimulation simulation, FakeWorker worker) {
    simulation.cloud().workers().remove(worker.id());
    worker.destroy();
  }

  private static Runnable partitionWorkers(ClusterSimulation simulation, Random random) {
    List<FakeWorker> partitioned = randomWorkers(simulation, random, 1 + random.nextInt(3));
    partitioned.forEach(worker -> simulation.networkFaults().partitionHost(worker.id()));
    return () -> partitioned.forEach(worker -> simulation.networkFaults().healHost(worker.id()));
  }

  private static Runnable partitionTowardsWorker(ClusterSimulation simulation, Random random) {
    List<FakeWorker> partitioned = randomWorkers(simulation, random, 1);
    partitioned.forEach(worker -> worker.setInboundCut(true));
    return () -> partitioned.forEach(worker -> worker.setInboundCut(false));
  }

  private static Runnable hangWorkers(ClusterSimulation simulation, Random random) {
    randomWorkers(simulation, random, 2)
        .forEach(worker -> worker.hangFor(3 + 12 * random.nextDouble()));
    return InjectedFault::doNothing;
  }

  private static Runnable makeWorkerFaulty(ClusterSimulation simulation, Random random) {
    List<FakeWorker> faulty = randomWorkers(simulation, random, 1);
    faulty.forEach(worker -> worker.setFailsEveryTask(true));
    return () -> faulty.forEach(worker -> worker.setFailsEveryTask(false));
  }

  private static Runnable repeatHeartbeats(ClusterSimulation simulation, Random random) {
    for (FakeWorker worker : randomWorkers(simulation, random, 4)) {
      for (int i = 0; i < 10; i++) {
        simulation.runAfter(i, () -> resendRandomHeartbeat(simulation, random, worker));
      }
    }
    return InjectedFault::doNothing;
  }

  private static void resendRandomHeartbeat(
      ClusterSimulation simulation, Random random, FakeWorker worker) {
    if (worker.sentReportCount() > 0) {
      worker.resendReport(
          random.nextInt(worker.sentReportCount()), randomController(simulation, random));
    }
  }

  private static Runnable delayHeartbeats(ClusterSimulation simulation, Random random) {
    Set<String> delayed =
        randomWorkers(simulation, random, 3).stream()
            .map(worker -> worker.id())
            .collect(Collectors.toSet());
    simulation
        .networkFaults()
        .holdMessages(
            message -> message.contains(HEARTBEAT) && delayed.contains(message.split(" ", 0)[0]));
    return simulation.networkFaults()::releaseHeldMessages;
  }

  private static Runnable delayCommands(ClusterSimulation simulation, Random random) {
    simulation.networkFaults().holdMessages(message -> message.contains(" POST /orders"));
    return simulation.networkFaults()::releaseHeldMessages;
  }
}
