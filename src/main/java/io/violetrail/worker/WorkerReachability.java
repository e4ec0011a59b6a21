package io.violetrail.worker;

import io.violetrail.config.Settings;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.fleet.Machine;
import io.violetrail.model.ControllerId;
import io.violetrail.net.Futures;
import io.violetrail.net.Http;
import io.violetrail.net.Loop;
import io.violetrail.ownership.Directory;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.peer.PeerClient;
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
  private static final double TICK_S = 0.5;

  /** Workers report within a quarter more than their interval. */
  private static final double JITTER = 1.25;

  /** On top of that, for the network and a processor that is short. */
  private static final double SLACK_S = 1;

  private static final double PROBE_S = 1;

  /** So many workers that do not answer either make it certain enough; fewer prove nothing. */
  private static final int PROBES = 3;

  private static final int LEAST = 2;

  /** Workers remembered for later tries; some may be gone by then. */
  private static final int KNOWN = 24;

  /** After so long without any answer the entity is asked back all the same, each time later. */
  private static final double GIVE_UP_S = 60;

  private static final double MAX_GIVE_UP_S = 600;

  private final Settings settings;
  private final Loop loop;
  private final Random random;
  private final Directory directory;
  private final Membership membership;
  private final PeerClient peers;
  private final Http http;
  private final List<HostPort> known = new ArrayList<>();
  private double heardS;
  private double tickedS;
  private boolean deaf;
  private double deafS;
  private double giveUpS = GIVE_UP_S;
  private boolean probing;
  private boolean handing;

  /** Probes workers over the given HTTP client. */
  public WorkerReachability(
      Settings settings,
      Loop loop,
      Random random,
      Directory directory,
      Membership membership,
      PeerClient peers,
      Http http) {
    this.settings = settings;
    this.loop = loop;
    this.random = random;
    this.directory = directory;
    this.membership = membership;
    this.peers = peers;
    this.http = http;
  }

  /** Starts the periodic check of whether workers' heartbeats still arrive. */
  public void start() {
    heardS = loop.seconds();
    tickedS = heardS;
    loop.every(TICK_S, this::tick);
  }

  /** Whether this controller is cut off from its workers. */
  public boolean deaf() {
    return deaf;
  }

  /** Whether any worker has been heard of late: a peer that is deaf asks for that. */
  public boolean hears() {
    return !deaf && loop.seconds() - heardS < 2 * quietS();
  }

  private double quietS() {
    return JITTER * settings.workers().reportS() + SLACK_S;
  }

  /** A worker has reported, to whichever entity it belongs. */
  void heard(WorkerReport beat) {
    heardS = loop.seconds();
    if (deaf) {
      hear("a worker reports");
    }
  }

  private void hear(String how) {
    LOG.info("workers can be heard again: {}", how);
    deaf = false;
    heardS = loop.seconds();
  }

  private void tick() {
    double now = loop.seconds();
    // After a pause of this process itself, reports wait to be read.
    boolean paused = now - tickedS > 2 * TICK_S;
    tickedS = now;
    if (paused || !membership.valid()) {
      heardS = Math.max(heardS, now - quietS() / 2);
      return;
    }
    if (!deaf) {
      if (now - heardS > quietS()) {
        suspect();
      }
      return;
    }
    handOver();
    if (now - deafS > giveUpS) {
      giveUpS = Math.min(MAX_GIVE_UP_S, 2 * giveUpS);
      hear("not tried any longer");
    } else if (!probing && !known.isEmpty()) {
      probe(
          List.of(known.get(random.nextInt(known.size()))),
          answered -> {
            if (answered > 0 && deaf) {
              giveUpS = GIVE_UP_S;
              hear("one answers");
            }
          });
    }
  }

  /** Nothing was heard for too long: asks the workers heard last. */
  private void suspect() {
    List<HostPort> own = new ArrayList<>();
    for (OwnedEntity h : membership.holdings()) {
      for (Machine m : h.machines().values()) {
        if (h.active() && m.endpoint() != null && m.row().up() && !m.returning()) {
          own.add(m.endpoint());
        }
      }
    }
    if (own.size() < LEAST || probing) {
      return;
    }
    Collections.shuffle(own, random);
    double before = heardS;
    probe(
        own.subList(0, Math.min(PROBES, own.size())),
        answered -> {
          if (answered == 0 && heardS == before && membership.valid()) {
            LOG.info("no worker is heard and none of {} answers: cut off from them", own.size());
            deaf = true;
            deafS = loop.seconds();
            known.clear();
            known.addAll(own.subList(0, Math.min(KNOWN, own.size())));
            handOver();
          } else if (answered > 0) {
            heardS = Math.max(heardS, loop.seconds() - quietS() / 2);
          }
        });
  }

  private void probe(List<HostPort> workers, IntConsumer answered) {
    probing = true;
    int[] open = {workers.size()};
    int[] ok = {0};
    for (HostPort w : workers) {
      Futures.logFailure(
          http.callOnce(w, "GET", "/status", null, PROBE_S)
              .whenComplete(
                  (r, failure) -> {
                    ok[0] += failure == null && r.ok() ? 1 : 0;
                    if (--open[0] == 0) {
                      probing = false;
                      answered.accept(ok[0]);
                    }
                  }),
          "probe a worker");
    }
  }

  /** Gives all that is held to a peer that hears workers, by the ordinary conditional move. */
  private void handOver() {
    if (handing || membership.holdings().isEmpty()) {
      return;
    }
    handing = true;
    ask(new ArrayList<>(settings.peers().keySet()));
  }

  private void ask(List<ControllerId> candidates) {
    candidates.removeIf(peer -> !directory.isAlive(peer));
    if (candidates.isEmpty() || !deaf) {
      handing = false;
      return;
    }
    ControllerId peer = candidates.remove(0);
    Futures.logFailure(
        peers
            .hears(peer)
            .whenComplete(
                (hears, failure) -> {
                  if (failure == null && hears && deaf) {
                    handing = false;
                    membership.holdings().forEach(h -> membership.release(h, peer));
                  } else {
                    ask(candidates);
                  }
                }),
        "ask whether a peer hears workers");
  }
}
