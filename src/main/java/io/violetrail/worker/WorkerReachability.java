package io.violetrail.worker;

import io.violetrail.config.Settings;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.fleet.Machine;
import io.violetrail.model.ControllerId;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.net.HttpClient;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.peer.PeerClient;
import io.violetrail.wire.HeartbeatMessages;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whether this controller hears its workers. One that is cut off from them alone still renews its
 * lease, so its entity looks well while all its machines starve: their leases end, and all tasks
 * with them. A deaf controller hands its entities to a peer that hears workers, and asks for its
 * own back only once workers answer it again, which it tries all the while.
 */
public final class WorkerReachability {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerReachability.class);
  private static final double TICK_SECONDS = 0.5;

  /** Workers report within a quarter more than their interval. */
  private static final double JITTER_FACTOR = 1.25;

  /** On top of that, for the network and a processor that is short. */
  private static final double SLACK_SECONDS = 1;

  private static final double PROBE_TIMEOUT_SECONDS = 1;

  /** So many workers that do not answer either make it certain enough; fewer prove nothing. */
  private static final int MAX_PROBES = 3;

  private static final int MIN_WORKERS = 2;

  /** Workers remembered for later tries; some may be gone by then. */
  private static final int MAX_REMEMBERED_WORKERS = 24;

  /** After so long without any answer the entity is asked back all the same, each time later. */
  private static final double INITIAL_GIVE_UP_SECONDS = 60;

  private static final double MAX_GIVE_UP_SECONDS = 600;

  private final Settings settings;
  private final EventLoop loop;
  private final Random random;
  private final ClusterView clusterView;
  private final Membership membership;
  private final PeerClient peerClient;
  private final HttpClient http;
  private final List<HostPort> rememberedWorkers = new ArrayList<>();
  private double lastHeartbeatAtSeconds;
  private double lastTickAtSeconds;
  private boolean partitionedFromWorkers;
  private double partitionedSinceSeconds;
  private double giveUpAfterSeconds = INITIAL_GIVE_UP_SECONDS;
  private boolean probeInFlight;
  private boolean handOverInFlight;

  /** Probes workers over the given HTTP client. */
  public WorkerReachability(
      Settings settings,
      EventLoop loop,
      Random random,
      ClusterView clusterView,
      Membership membership,
      PeerClient peerClient,
      HttpClient http) {
    this.settings = settings;
    this.loop = loop;
    this.random = random;
    this.clusterView = clusterView;
    this.membership = membership;
    this.peerClient = peerClient;
    this.http = http;
  }

  /** Starts the periodic check of whether workers' heartbeats still arrive. */
  public void start() {
    lastHeartbeatAtSeconds = loop.monotonicSeconds();
    lastTickAtSeconds = lastHeartbeatAtSeconds;
    loop.scheduleWithFixedDelay(TICK_SECONDS, this::checkReachability);
  }

  /** Whether this controller is cut off from its workers. */
  public boolean isPartitionedFromWorkers() {
    return partitionedFromWorkers;
  }

  /** Whether any worker has been heard of late: a peer that is deaf asks for that. */
  public boolean receivesHeartbeats() {
    return !partitionedFromWorkers
        && loop.monotonicSeconds() - lastHeartbeatAtSeconds < 2 * silenceThresholdSeconds();
  }

  private double silenceThresholdSeconds() {
    return JITTER_FACTOR * settings.workerTiming().heartbeatIntervalSeconds() + SLACK_SECONDS;
  }

  /** A worker has reported, to whichever entity it belongs. */
  void recordHeartbeat(WorkerReport report) {
    lastHeartbeatAtSeconds = loop.monotonicSeconds();
    if (partitionedFromWorkers) {
      endPartition("a worker reports");
    }
  }

  private void endPartition(String reason) {
    LOG.info("workers can be heard again: {}", reason);
    partitionedFromWorkers = false;
    lastHeartbeatAtSeconds = loop.monotonicSeconds();
  }

  private void checkReachability() {
    double nowSeconds = loop.monotonicSeconds();
    // After a pause of this process itself, reports wait to be read.
    boolean paused = nowSeconds - lastTickAtSeconds > 2 * TICK_SECONDS;
    lastTickAtSeconds = nowSeconds;
    if (paused || !membership.isLeaseValid()) {
      lastHeartbeatAtSeconds =
          Math.max(lastHeartbeatAtSeconds, nowSeconds - silenceThresholdSeconds() / 2);
      return;
    }
    if (!partitionedFromWorkers) {
      if (nowSeconds - lastHeartbeatAtSeconds > silenceThresholdSeconds()) {
        probeOwnWorkers();
      }
      return;
    }
    handOverEntities();
    if (nowSeconds - partitionedSinceSeconds > giveUpAfterSeconds) {
      giveUpAfterSeconds = Math.min(MAX_GIVE_UP_SECONDS, 2 * giveUpAfterSeconds);
      endPartition("not tried any longer");
    } else if (!probeInFlight && !rememberedWorkers.isEmpty()) {
      probeWorkers(
          List.of(rememberedWorkers.get(random.nextInt(rememberedWorkers.size()))),
          answeredCount -> {
            if (answeredCount > 0 && partitionedFromWorkers) {
              giveUpAfterSeconds = INITIAL_GIVE_UP_SECONDS;
              endPartition("one answers");
            }
          });
    }
  }

  /** Nothing was heard for too long: asks the workers heard last. */
  private void probeOwnWorkers() {
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
    if (ownWorkers.size() < MIN_WORKERS || probeInFlight) {
      return;
    }
    Collections.shuffle(ownWorkers, random);
    double heartbeatBeforeProbe = lastHeartbeatAtSeconds;
    probeWorkers(
        ownWorkers.subList(0, Math.min(MAX_PROBES, ownWorkers.size())),
        answeredCount -> {
          if (answeredCount == 0
              && lastHeartbeatAtSeconds == heartbeatBeforeProbe
              && membership.isLeaseValid()) {
            LOG.info(
                "no worker is heard and none of {} answers: cut off from them", ownWorkers.size());
            partitionedFromWorkers = true;
            partitionedSinceSeconds = loop.monotonicSeconds();
            rememberedWorkers.clear();
            rememberedWorkers.addAll(
                ownWorkers.subList(0, Math.min(MAX_REMEMBERED_WORKERS, ownWorkers.size())));
            handOverEntities();
          } else if (answeredCount > 0) {
            lastHeartbeatAtSeconds =
                Math.max(
                    lastHeartbeatAtSeconds,
                    loop.monotonicSeconds() - silenceThresholdSeconds() / 2);
          }
        });
  }

  private void probeWorkers(List<HostPort> workers, IntConsumer onAnswered) {
    probeInFlight = true;
    int[] unansweredCount = {workers.size()};
    int[] answeredCount = {0};
    for (HostPort worker : workers) {
      Futures.logFailure(
          http.callOnce(worker, "GET", HeartbeatMessages.STATUS_PATH, null, PROBE_TIMEOUT_SECONDS)
              .whenComplete(
                  (response, failure) -> {
                    answeredCount[0] += failure == null && response.isOk() ? 1 : 0;
                    if (--unansweredCount[0] == 0) {
                      probeInFlight = false;
                      onAnswered.accept(answeredCount[0]);
                    }
                  }),
          "probe a worker");
    }
  }

  /** Gives all that is held to a peer that hears workers, by the ordinary conditional move. */
  private void handOverEntities() {
    if (handOverInFlight || membership.ownedEntities().isEmpty()) {
      return;
    }
    handOverInFlight = true;
    handOverToReceivingPeer(new ArrayList<>(settings.peers().keySet()));
  }

  private void handOverToReceivingPeer(List<ControllerId> candidates) {
    candidates.removeIf(peer -> !clusterView.isAlive(peer));
    if (candidates.isEmpty() || !partitionedFromWorkers) {
      handOverInFlight = false;
      return;
    }
    ControllerId peer = candidates.remove(0);
    Futures.logFailure(
        peerClient
            .hears(peer)
            .whenComplete(
                (receivesHeartbeats, failure) -> {
                  if (failure == null && receivesHeartbeats && partitionedFromWorkers) {
                    handOverInFlight = false;
                    membership.ownedEntities().forEach(entity -> membership.handBack(entity, peer));
                  } else {
                    handOverToReceivingPeer(candidates);
                  }
                }),
        "ask whether a peer hears workers");
  }
}
