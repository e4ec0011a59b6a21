package io.violetrail.simulation;

import com.google.errorprone.annotations.Immutable;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.World;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** A fault that a simulated day injects, and heals some seconds later. */
enum Fault {
  CONTROLLER_KILLED(Scope.CONTROLLERS, (world, random) -> kill(world, random, 1)),
  TWO_CONTROLLERS_KILLED(Scope.CONTROLLERS, (world, random) -> kill(world, random, 2)),
  ALL_CONTROLLERS_KILLED(
      Scope.CONTROLLERS, (world, random) -> kill(world, random, world.controllers())),
  CONTROLLER_FROZEN(Scope.CONTROLLERS, Fault::freeze),
  PARTITION_FROM_STATE_AND_PEERS(Scope.LOST_MESSAGES, Fault::isolate),
  PARTITION_FROM_PEERS(Scope.REFUSED_CONNECTIONS, Fault::partitionFromPeers),
  PARTITION_FROM_WORKERS(Scope.HELD_MESSAGES, Fault::partitionFromWorkers),
  PARTITION_FROM_HALF_THE_WORKERS(Scope.LOST_MESSAGES, Fault::partitionFromHalfTheWorkers),
  ZONE_PARTITIONED(Scope.HELD_MESSAGES, Fault::partitionZone),
  STATE_OUTAGE(Scope.STATE, Fault::stateOutage),
  STATE_REFUSES_ONE_CONTROLLER(Scope.STATE, Fault::stateRefusesOne),
  STATE_SLOW(Scope.STATE, Fault::stateSlow),
  STATE_WRITES_LATE(Scope.STATE, Fault::stateWritesLate),
  STATE_ACKNOWLEDGEMENTS_LOST(Scope.STATE, Fault::stateAcknowledgementsLost),
  CLOUD_OUTAGE(Scope.CLOUD, Fault::cloudOutage),
  SPOT_RECLAIM(Scope.WORKERS, Fault::reclaimSpot),
  MACHINE_LOST(Scope.WORKERS, Fault::loseMachine),
  WORKERS_PARTITIONED(Scope.WORKERS, Fault::partitionWorkers),
  WORKER_HEARS_NOTHING(Scope.WORKERS, Fault::partitionTowardsWorker),
  WORKER_HANGS(Scope.WORKERS, Fault::hang),
  WORKER_FAULTY(Scope.WORKERS, Fault::makeFaulty),
  HEARTBEATS_REPEATED(Scope.WORKERS, Fault::repeatHeartbeats),
  HEARTBEATS_LATE(Scope.HELD_MESSAGES, Fault::delayHeartbeats),
  COMMANDS_LATE(Scope.HELD_MESSAGES, Fault::delayCommands);

  /** What a fault concerns. Of two faults at a time each has a scope of its own. */
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
    Runnable inject(World world, Random random);
  }

  private static final double RECLAIM_NOTICE_SECONDS = 10;
  private static final String HEARTBEAT = " POST /agent/beat";

  private final Scope scope;
  private final Injection injection;

  private static void doNothing() {}

  Fault(Scope scope, Injection injection) {
    this.scope = scope;
    this.injection = injection;
  }

  Scope scope() {
    return scope;
  }

  /** Injects the fault; what is returned heals it. */
  Runnable inject(World world, Random random) {
    return injection.inject(world, random);
  }

  private static String anyController(World world, Random random) {
    return World.name(random.nextInt(world.controllers()));
  }

  private static List<FakeWorker> workers(World world) {
    return List.copyOf(world.cloud.workers.values());
  }

  /** Up to so many different workers. */
  private static List<FakeWorker> someWorkers(World world, Random random, int most) {
    List<FakeWorker> left = new ArrayList<>(workers(world));
    List<FakeWorker> chosen = new ArrayList<>();
    while (!left.isEmpty() && chosen.size() < most) {
      chosen.add(left.remove(random.nextInt(left.size())));
    }
    return chosen;
  }

  private static Runnable kill(World world, Random random, int count) {
    int first = random.nextInt(world.controllers());
    List<String> killed = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String controller = World.name((first + i) % world.controllers());
      if (world.nodes.containsKey(controller)) {
        world.kill(controller);
        killed.add(controller);
      }
    }
    return () -> killed.forEach(world::start);
  }

  private static Runnable freeze(World world, Random random) {
    world.freeze(anyController(world, random), 3 + 15 * random.nextDouble());
    return Fault::doNothing;
  }

  private static Runnable isolate(World world, Random random) {
    world.network.isolate(anyController(world, random));
    return world.network::rejoin;
  }

  private static Runnable partitionFromPeers(World world, Random random) {
    String controller = anyController(world, random);
    Predicate<String> toPeer = message -> message.endsWith(" POST /peer");
    world.network.refuse(
        message -> {
          String[] part = message.split(" ", 0);
          return toPeer.test(message) && (part[0].equals(controller) || part[1].equals(controller));
        });
    return () -> world.network.refuse(message -> false);
  }

  private static Runnable partitionFromWorkers(World world, Random random) {
    String controller = anyController(world, random);
    world.network.hold(
        message ->
            (message.startsWith("vm-") && message.contains(" " + controller + HEARTBEAT))
                || message.startsWith(controller + " vm-"));
    return world.network::release;
  }

  private static Runnable partitionFromHalfTheWorkers(World world, Random random) {
    List<FakeWorker> half = someWorkers(world, random, workers(world).size() / 2);
    world.network.cutLinks(half, anyController(world, random));
    return world.network::rejoin;
  }

  private static Runnable partitionZone(World world, Random random) {
    Set<String> inside =
        workers(world).stream()
            .filter(worker -> worker.zone().equals("a"))
            .map(worker -> worker.id)
            .collect(Collectors.toSet());
    inside.add(anyController(world, random));
    world.network.hold(
        message -> {
          String[] part = message.split(" ", 0);
          return inside.contains(part[0]) != inside.contains(part[1]) && !part[0].equals("user");
        });
    return world.network::release;
  }

  private static Runnable stateOutage(World world, Random random) {
    world.state.outage(true);
    return () -> world.state.outage(false);
  }

  private static Runnable stateRefusesOne(World world, Random random) {
    world.state.refusedFor.add(anyController(world, random));
    return world.state.refusedFor::clear;
  }

  private static Runnable stateSlow(World world, Random random) {
    world.state.slowS = 0.1 + 0.3 * random.nextDouble();
    return () -> world.state.slowS = 0;
  }

  private static Runnable stateWritesLate(World world, Random random) {
    world.state.lateShare.put(anyController(world, random), 0.4);
    return world.state.lateShare::clear;
  }

  private static Runnable stateAcknowledgementsLost(World world, Random random) {
    world.state.lostAcks.put(anyController(world, random), 0.4);
    return world.state.lostAcks::clear;
  }

  private static Runnable cloudOutage(World world, Random random) {
    world.cloud.down = true;
    return () -> world.cloud.down = false;
  }

  private static Runnable reclaimSpot(World world, Random random) {
    for (FakeWorker worker : workers(world)) {
      if (worker.isSpot() && random.nextBoolean()) {
        worker.noticeS = RECLAIM_NOTICE_SECONDS;
        world.at(RECLAIM_NOTICE_SECONDS, () -> destroy(world, worker));
      }
    }
    return Fault::doNothing;
  }

  private static Runnable loseMachine(World world, Random random) {
    someWorkers(world, random, 1).forEach(worker -> destroy(world, worker));
    return Fault::doNothing;
  }

  private static void destroy(World world, FakeWorker worker) {
    world.cloud.workers.remove(worker.id);
    worker.destroy();
  }

  private static Runnable partitionWorkers(World world, Random random) {
    List<FakeWorker> partitioned = someWorkers(world, random, 1 + random.nextInt(3));
    partitioned.forEach(worker -> world.network.cut(worker.id));
    return () -> partitioned.forEach(worker -> world.network.mend(worker.id));
  }

  private static Runnable partitionTowardsWorker(World world, Random random) {
    List<FakeWorker> partitioned = someWorkers(world, random, 1);
    partitioned.forEach(worker -> worker.deaf = true);
    return () -> partitioned.forEach(worker -> worker.deaf = false);
  }

  private static Runnable hang(World world, Random random) {
    someWorkers(world, random, 2).forEach(worker -> worker.hang(3 + 12 * random.nextDouble()));
    return Fault::doNothing;
  }

  private static Runnable makeFaulty(World world, Random random) {
    List<FakeWorker> faulty = someWorkers(world, random, 1);
    faulty.forEach(worker -> worker.faulty = true);
    return () -> faulty.forEach(worker -> worker.faulty = false);
  }

  private static Runnable repeatHeartbeats(World world, Random random) {
    for (FakeWorker worker : someWorkers(world, random, 4)) {
      for (int i = 0; i < 10; i++) {
        world.at(i, () -> repeatAnyHeartbeat(world, random, worker));
      }
    }
    return Fault::doNothing;
  }

  private static void repeatAnyHeartbeat(World world, Random random, FakeWorker worker) {
    if (worker.reportsSent() > 0) {
      worker.repeat(random.nextInt(worker.reportsSent()), anyController(world, random));
    }
  }

  private static Runnable delayHeartbeats(World world, Random random) {
    Set<String> delayed =
        someWorkers(world, random, 3).stream().map(worker -> worker.id).collect(Collectors.toSet());
    world.network.hold(
        message -> message.contains(HEARTBEAT) && delayed.contains(message.split(" ", 0)[0]));
    return world.network::release;
  }

  private static Runnable delayCommands(World world, Random random) {
    world.network.hold(message -> message.contains(" POST /orders"));
    return world.network::release;
  }
}
