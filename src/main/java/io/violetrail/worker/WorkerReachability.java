package io.violetrail.worker;

import io.violetrail.config.Settings.HostPort;
import io.violetrail.fleet.Machine;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whether workers' heartbeats reach this controller. A controller that is partitioned from its
 * workers alone still renews its own lease, so its entity looks healthy to its peers while the
 * leases of all its workers expire, and their tasks with them. It therefore hands its entities to a
 * peer that receives heartbeats, and {@link #receivesHeartbeats} keeps it from getting its own one
 * back before a worker has answered it again.
 *
 * <p>Runs on the event loop's thread. Nothing survives a restart: a new process begins as {@link
 * State#REACHABLE}.
 */
public final class WorkerReachability {
  /** Invariant: {@link #SUSPECTED} only while a probe of this controller's own workers runs. */
  private enum State {
    /** Heartbeats arrive, or have not been missing for long enough. */
    REACHABLE,
    /** No heartbeat for the threshold; some of the own workers are being probed. */
    SUSPECTED,
    /** No heartbeat and no answer to the probe: entities are handed over, workers probed. */
    PARTITIONED
  }

  private static final Logger LOG = LoggerFactory.getLogger(WorkerReachability.class);
  private static final double TICK_SECONDS = 0.5;

  /** Workers send a heartbeat within a quarter more than their interval. */
  private static final double JITTER_FACTOR = 1.25;

  /** On top of that, for delays in the network and on a busy processor. */
  private static final double SLACK_SECONDS = 1;

  /**
   * How many own workers one probe asks, sampled at random. If none of so many answers, after the
   * silence of all, the partition is certain enough.
   */
  private static final int MAX_PROBES = 3;

  /**
   * With fewer own workers nothing is probed or concluded: a single silent worker may have failed
   * itself.
   */
  private static final int MIN_WORKERS = 2;

  /** Workers remembered for probes during a partition; some may be terminated by then. */
  private static final int MAX_REMEMBERED_WORKERS = 24;

  /**
   * The partition is assumed to be over after this time without any answer, since all remembered
   * workers may be terminated. Doubles with each partition that ends this way, up to the maximum.
   */
  private static final double INITIAL_GIVE_UP_SECONDS = 60;

  private static final double MAX_GIVE_UP_SECONDS = 600;

  private final EventLoop loop;
  private final Random random;
  private final Membership membership;
  private final WorkerProbe probe;
  private final PartitionHandover handover;
  private final double silenceThresholdSeconds;
  private final List<HostPort> rememberedWorkers = new ArrayList<>();
  private State state = State.REACHABLE;
  private double lastHeartbeatAtSeconds;
  private double lastTickAtSeconds;
  private double partitionedSinceSeconds;
  private double giveUpAfterSeconds = INITIAL_GIVE_UP_SECONDS;

  /**
   * Creates a monitor that does nothing before {@link #start}.
   *
   * @param random samples the workers that are probed
   * @param heartbeatIntervalSeconds the interval at which workers send heartbeats
   */
  public WorkerReachability(
      EventLoop loop,
      Random random,
      Membership membership,
      WorkerProbe probe,
      PartitionHandover handover,
      double heartbeatIntervalSeconds) {
    this.loop = loop;
    this.random = random;
    this.membership = membership;
    this.probe = probe;
    this.handover = handover;
    this.silenceThresholdSeconds = JITTER_FACTOR * heartbeatIntervalSeconds + SLACK_SECONDS;
  }

  /** Starts the periodic check of whether workers' heartbeats still arrive. */
  public void start() {
    lastHeartbeatAtSeconds = loop.monotonicSeconds();
    lastTickAtSeconds = lastHeartbeatAtSeconds;
    loop.scheduleWithFixedDelay(TICK_SECONDS, this::checkReachability);
  }

  /** Whether this controller is partitioned from its workers. */
  public boolean isPartitionedFromWorkers() {
    return state == State.PARTITIONED;
  }

  /**
   * Whether any worker's heartbeat has arrived lately. A peer that is partitioned from its workers
   * asks for this before it hands its entities over.
   */
  public boolean receivesHeartbeats() {
    return state != State.PARTITIONED
        && loop.monotonicSeconds() - lastHeartbeatAtSeconds < 2 * silenceThresholdSeconds;
  }

  /** A worker's heartbeat has arrived, of whichever entity. */
  void recordHeartbeat(WorkerReport report) {
    lastHeartbeatAtSeconds = loop.monotonicSeconds();
    withdrawSuspicion();
    if (state == State.PARTITIONED) {
      endPartition("heartbeat of " + report.machineId());
    }
  }

  private void checkReachability() {
    double nowSeconds = loop.monotonicSeconds();
    // After a pause of this process, heartbeats wait unread: their absence means nothing.
    boolean paused = nowSeconds - lastTickAtSeconds > 2 * TICK_SECONDS;
    lastTickAtSeconds = nowSeconds;
    if (paused || !membership.isLeaseValid()) {
      postponeSuspicion(nowSeconds);
      withdrawSuspicion();
    } else if (state == State.PARTITIONED) {
      continuePartition(nowSeconds);
    } else if (nowSeconds - lastHeartbeatAtSeconds > silenceThresholdSeconds) {
      probeOwnWorkers();
    }
  }

  /** Leaves half of the threshold before the silence counts again. */
  private void postponeSuspicion(double nowSeconds) {
    lastHeartbeatAtSeconds =
        Math.max(lastHeartbeatAtSeconds, nowSeconds - silenceThresholdSeconds / 2);
  }

  private void withdrawSuspicion() {
    if (state == State.SUSPECTED) {
      state = State.REACHABLE;
    }
  }

  private void probeOwnWorkers() {
    List<HostPort> ownWorkers = findOwnWorkers();
    if (ownWorkers.size() < MIN_WORKERS || probe.isInFlight()) {
      return;
    }
    Collections.shuffle(ownWorkers, random);
    state = State.SUSPECTED;
    probe.probe(
        ownWorkers.subList(0, Math.min(MAX_PROBES, ownWorkers.size())),
        answeredCount -> judgeProbe(answeredCount, ownWorkers));
  }

  private List<HostPort> findOwnWorkers() {
    List<HostPort> ownWorkers = new ArrayList<>();
    for (OwnedEntity entity : membership.ownedEntities()) {
      for (Machine machine : entity.machines().values()) {
        if (entity.isActive()
            && machine.endpoint() != null
            && machine.row().hasReported()
            && !machine.returning()) {
          ownWorkers.add(machine.endpoint());
        }
      }
    }
    return ownWorkers;
  }

  /** The suspicion stands if it was not withdrawn while the probe ran. */
  private void judgeProbe(int answeredCount, List<HostPort> ownWorkers) {
    boolean suspicionStands = state == State.SUSPECTED;
    withdrawSuspicion();
    if (answeredCount > 0) {
      postponeSuspicion(loop.monotonicSeconds());
    } else if (suspicionStands && membership.isLeaseValid()) {
      beginPartition(ownWorkers);
    }
  }

  private void beginPartition(List<HostPort> ownWorkers) {
    LOG.info(
        "partitioned from workers: no heartbeat arrives and no probe of {} workers is answered",
        ownWorkers.size());
    state = State.PARTITIONED;
    partitionedSinceSeconds = loop.monotonicSeconds();
    rememberedWorkers.clear();
    rememberedWorkers.addAll(
        ownWorkers.subList(0, Math.min(MAX_REMEMBERED_WORKERS, ownWorkers.size())));
    handover.handOverEntities(this::isPartitionedFromWorkers);
  }

  private void continuePartition(double nowSeconds) {
    handover.handOverEntities(this::isPartitionedFromWorkers);
    if (nowSeconds - partitionedSinceSeconds > giveUpAfterSeconds) {
      giveUpAfterSeconds = Math.min(MAX_GIVE_UP_SECONDS, 2 * giveUpAfterSeconds);
      endPartition("no probe was answered for too long");
    } else if (!probe.isInFlight() && !rememberedWorkers.isEmpty()) {
      HostPort worker = rememberedWorkers.get(random.nextInt(rememberedWorkers.size()));
      probe.probe(List.of(worker), this::judgeProbeDuringPartition);
    }
  }

  private void judgeProbeDuringPartition(int answeredCount) {
    if (answeredCount > 0 && state == State.PARTITIONED) {
      giveUpAfterSeconds = INITIAL_GIVE_UP_SECONDS;
      endPartition("a worker answers");
    }
  }

  private void endPartition(String reason) {
    LOG.info("partition from workers ended: {}", reason);
    state = State.REACHABLE;
    lastHeartbeatAtSeconds = loop.monotonicSeconds();
  }
}
