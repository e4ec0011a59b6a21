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
 * Detects whether this controller is partitioned from its workers.
 *
 * <p>A controller that is partitioned only from its workers still renews its own lease. Its peers
 * therefore see a healthy owner while the leases of all its workers expire and their tasks end. To
 * prevent this, a partitioned controller hands its entities to a peer that receives heartbeats.
 * {@link #isPartitionedFromWorkers} keeps it from asking for its home entity back before a worker
 * has reached it or answered it again, or the time limit of the partition has passed.
 *
 * <p>Runs on the event loop's thread. The state does not survive a restart: a new process starts as
 * {@link State#REACHABLE}.
 */
public final class WorkerReachability {
  /** The state is {@link #SUSPECTED} only while a probe of this controller's own workers runs. */
  private enum State {
    /** Heartbeats arrive, or have been missing for less than the silence threshold. */
    REACHABLE,
    /** No heartbeat has arrived within the silence threshold; some own workers are being probed. */
    SUSPECTED,
    /**
     * No heartbeat has arrived and no probed worker has answered. Entities are handed over, and the
     * workers continue to be probed.
     */
    PARTITIONED
  }

  private static final Logger LOG = LoggerFactory.getLogger(WorkerReachability.class);
  private static final double CHECK_INTERVAL_SECONDS = 0.5;

  /** Workers send their next heartbeat within at most 1.25 times their interval. */
  private static final double JITTER_FACTOR = 1.25;

  /** Added to the jittered interval for delays in the network and on a busy processor. */
  private static final double SLACK_SECONDS = 1;

  /**
   * Number of own workers that one probe asks, sampled at random. If no heartbeat arrives and none
   * of these workers answers, the evidence of a partition is strong enough.
   */
  private static final int MAX_PROBED_WORKERS = 3;

  /**
   * Minimum number of own workers for a probe. If there is only one, its silence may mean that the
   * worker itself has failed.
   */
  private static final int MIN_WORKERS = 2;

  /** Number of workers remembered for probes during a partition; some may terminate meanwhile. */
  private static final int MAX_REMEMBERED_WORKERS = 24;

  /**
   * Time without any answer after which the partition is assumed to be over, because all remembered
   * workers may have been terminated. It doubles with each partition that ends this way, up to
   * {@link #MAX_PARTITION_TIMEOUT_SECONDS}.
   */
  private static final double INITIAL_PARTITION_TIMEOUT_SECONDS = 60;

  private static final double MAX_PARTITION_TIMEOUT_SECONDS = 600;

  private final EventLoop loop;
  private final Random random;
  private final Membership membership;
  private final WorkerProbe probe;
  private final PartitionHandover handover;
  private final double silenceThresholdSeconds;
  private final List<HostPort> rememberedWorkers = new ArrayList<>();
  private State state = State.REACHABLE;
  private double lastHeartbeatAtSeconds;
  private double lastCheckAtSeconds;
  private double partitionedSinceSeconds;
  private double partitionTimeoutSeconds = INITIAL_PARTITION_TIMEOUT_SECONDS;

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
    lastCheckAtSeconds = lastHeartbeatAtSeconds;
    loop.scheduleWithFixedDelay(CHECK_INTERVAL_SECONDS, this::checkReachability);
  }

  public boolean isPartitionedFromWorkers() {
    return state == State.PARTITIONED;
  }

  /**
   * Returns whether this controller has received a heartbeat of any worker within twice the silence
   * threshold and is not partitioned from its workers. A peer that is partitioned from its workers
   * asks this before it hands over its entities.
   */
  public boolean receivesHeartbeats() {
    return state != State.PARTITIONED
        && loop.monotonicSeconds() - lastHeartbeatAtSeconds < 2 * silenceThresholdSeconds;
  }

  /** Records a heartbeat of a worker of any entity, which ends a suspicion or partition. */
  void recordHeartbeat(WorkerReport report) {
    lastHeartbeatAtSeconds = loop.monotonicSeconds();
    clearSuspicion();
    if (state == State.PARTITIONED) {
      endPartition("received a heartbeat of machine " + report.machineId());
    }
  }

  private void checkReachability() {
    double nowSeconds = loop.monotonicSeconds();
    // After a pause of this process, heartbeats that have arrived may still be unread, so their
    // absence is no evidence of a partition.
    boolean paused = nowSeconds - lastCheckAtSeconds > 2 * CHECK_INTERVAL_SECONDS;
    lastCheckAtSeconds = nowSeconds;
    if (paused || !membership.isLeaseValid()) {
      postponeSuspicion(nowSeconds);
      clearSuspicion();
    } else if (state == State.PARTITIONED) {
      handleOngoingPartition(nowSeconds);
    } else if (nowSeconds - lastHeartbeatAtSeconds > silenceThresholdSeconds) {
      probeOwnWorkers();
    }
  }

  /** Allows at least half of the silence threshold to pass before workers are probed. */
  private void postponeSuspicion(double nowSeconds) {
    lastHeartbeatAtSeconds =
        Math.max(lastHeartbeatAtSeconds, nowSeconds - silenceThresholdSeconds / 2);
  }

  private void clearSuspicion() {
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
        ownWorkers.subList(0, Math.min(MAX_PROBED_WORKERS, ownWorkers.size())),
        answeredCount -> evaluateProbe(answeredCount, ownWorkers));
  }

  private List<HostPort> findOwnWorkers() {
    List<HostPort> ownWorkers = new ArrayList<>();
    for (OwnedEntity entity : membership.ownedEntities()) {
      for (Machine machine : entity.machines().values()) {
        if (entity.isActive()
            && machine.endpoint() != null
            && machine.row().hasReported()
            && !machine.isReturning()) {
          ownWorkers.add(machine.endpoint());
        }
      }
    }
    return ownWorkers;
  }

  /** Starts a partition if no worker answered and no heartbeat cleared the suspicion meanwhile. */
  private void evaluateProbe(int answeredCount, List<HostPort> ownWorkers) {
    boolean stillSuspected = state == State.SUSPECTED;
    clearSuspicion();
    if (answeredCount > 0) {
      postponeSuspicion(loop.monotonicSeconds());
    } else if (stillSuspected && membership.isLeaseValid()) {
      beginPartition(ownWorkers);
    }
  }

  private void beginPartition(List<HostPort> ownWorkers) {
    LOG.info(
        "partitioned from workers: no heartbeat arrived and no probe was answered; {} own workers",
        ownWorkers.size());
    state = State.PARTITIONED;
    partitionedSinceSeconds = loop.monotonicSeconds();
    rememberedWorkers.clear();
    rememberedWorkers.addAll(
        ownWorkers.subList(0, Math.min(MAX_REMEMBERED_WORKERS, ownWorkers.size())));
    handover.handOverEntities(this::isPartitionedFromWorkers);
  }

  private void handleOngoingPartition(double nowSeconds) {
    handover.handOverEntities(this::isPartitionedFromWorkers);
    if (nowSeconds - partitionedSinceSeconds > partitionTimeoutSeconds) {
      partitionTimeoutSeconds =
          Math.min(MAX_PARTITION_TIMEOUT_SECONDS, 2 * partitionTimeoutSeconds);
      endPartition("time limit reached without an answer to any probe");
    } else if (!probe.isInFlight() && !rememberedWorkers.isEmpty()) {
      HostPort worker = rememberedWorkers.get(random.nextInt(rememberedWorkers.size()));
      probe.probe(List.of(worker), this::evaluateProbeDuringPartition);
    }
  }

  private void evaluateProbeDuringPartition(int answeredCount) {
    if (answeredCount > 0 && state == State.PARTITIONED) {
      partitionTimeoutSeconds = INITIAL_PARTITION_TIMEOUT_SECONDS;
      endPartition("a worker answered a probe");
    }
  }

  private void endPartition(String reason) {
    LOG.info("no longer partitioned from workers: {}", reason);
    state = State.REACHABLE;
    lastHeartbeatAtSeconds = loop.monotonicSeconds();
  }
}
