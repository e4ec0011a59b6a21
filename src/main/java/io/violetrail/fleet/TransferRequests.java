package io.violetrail.fleet;

import io.violetrail.model.Amounts;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.MachineType;
import io.violetrail.net.Loop;
import io.violetrail.ownership.Directory;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.Rows.EntityRow;
import io.violetrail.peer.PeerClient;
import io.violetrail.peer.ResourceRequest;
import io.violetrail.scheduling.Aims;
import io.violetrail.scheduling.Estimates;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.PendingJobs;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Asks the other entities for what waiting jobs lack, idle machines or parts of their teams'
 * limits, and answers what others ask for.
 */
public final class TransferRequests {
  private static final double ASK_S = 0.7;

  /** Requests of each kind: the most urgent kind alone would leave the others unasked. */
  private static final int MAX_OF_A_KIND = 3;

  /** Nothing is rented for a job before peers have been asked twice for what they have idle. */
  static final double FIRST_S = 2 * ASK_S + 0.1;

  private final Loop loop;
  private final Random random;
  private final Directory directory;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final PendingJobs pendingJobs;
  private final Aims aims;
  private final Estimates estimates;
  private final QuotaTransfer quotas;
  private final MachineTransfer machines;
  private final PeerClient peers;
  private double askedS = Double.NEGATIVE_INFINITY;

  /** Jobs that have asked chosen entities for parts of a limit; next they ask all of them. */
  private final Set<JobId> askedSome = new HashSet<>();

  /** Asks for what {@link PendingJobs} lacks, and gives through the two transfers. */
  public TransferRequests(
      Loop loop,
      Random random,
      Directory directory,
      Membership membership,
      MachineTypes machineTypes,
      PendingJobs pendingJobs,
      Aims aims,
      Estimates estimates,
      QuotaTransfer quotas,
      MachineTransfer machines,
      PeerClient peers) {
    this.loop = loop;
    this.random = random;
    this.directory = directory;
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.pendingJobs = pendingJobs;
    this.aims = aims;
    this.estimates = estimates;
    this.quotas = quotas;
    this.machines = machines;
    this.peers = peers;
  }

  /** Asks the peers for what waiting jobs lack. */
  public void ask(OwnedEntity h) {
    double now = loop.seconds();
    if (now - askedS < ASK_S) {
      return;
    }
    List<ResourceRequest> requests = new ArrayList<>();
    Map<String, Integer> kinds = new HashMap<>();
    boolean uncertain = h.uncertain(now);
    for (Job job : pendingJobs.inOrder(h)) {
      // Nothing is gathered for what fails wherever it goes.
      if (job.unplaced() == 0 || job.trial().suspect() || (job.recovered() && uncertain)) {
        continue;
      }
      if (kinds.merge(kind(job, now), 1, Integer::sum) <= MAX_OF_A_KIND) {
        ask(h, job, now, requests);
      }
    }
    askedSome.removeIf(id -> !h.jobs().containsKey(id));
    if (!requests.isEmpty()) {
      askedS = now;
      peers.askFor(h.entity(), requests);
      asked(h.entity(), requests);
    }
  }

  private static String kind(Job job, double now) {
    return String.join(
        " ",
        String.valueOf(job.spec().task().gpus() > 0),
        String.valueOf(job.spec().shape()),
        String.valueOf(job.spareWork()),
        // Who asked in vain for long lets others of its kind ask beside it for a while.
        String.valueOf(job.gathers(now)));
  }

  private void ask(OwnedEntity h, Job job, double now, List<ResourceRequest> requests) {
    int waiting = job.unplaced();
    Amounts quota = quotas.free(h, job.spec().team(), now);
    int allowed = quota.count(job.spec().task());
    if (allowed < waiting && job.gathers(now)) {
      Amounts lacking = job.spec().task().times(waiting).minus(quota).notNegative();
      ResourceRequest all = ResourceRequest.slice(job.spec(), lacking, job.arrivedMs());
      if (quotas.claim(h, job.spec().team(), lacking)) {
        askedSome.remove(job.spec().id());
      } else if (askedSome.add(job.spec().id())) {
        requests.addAll(quotas.split(all, h.entity()));
      } else {
        requests.add(all);
      }
    }
    // What runs in spare room alone needs its part of a limit all the same, and in the end a
    // machine of its own.
    if (allowed > 0 && (!job.spareWork() || job.starving(now))) {
      requests.add(machinesFor(h, job, Math.min(waiting, allowed)));
    }
  }

  /**
   * Machines for a job. A gang of one zone asks in the zone where it has the most room, for what is
   * missing there: machines of several zones would lie idle in parts.
   */
  private ResourceRequest machinesFor(OwnedEntity h, Job job, int tasks) {
    if (!job.spec().oneZone() || job.spec().zone() != null) {
      return request(job, tasks);
    }
    Map<String, Integer> rooms = new HashMap<>();
    for (MachineType t : machineTypes.all()) {
      if (t.size().count(job.spec().task()) > 0) {
        t.zones().forEach(z -> rooms.put(z, 0));
      }
    }
    for (Machine m : h.machines().values()) {
      if (m.open()
          && MachineTransfer.suits(m, job.spec().task().gpus())
          && job.spec().allows(m.row().type(), m.row().zone(), m.row().spot())) {
        rooms.merge(m.row().zone(), m.room().count(job.spec().task()), Integer::sum);
      }
    }
    List<String> zones = new ArrayList<>(rooms.keySet());
    Collections.shuffle(zones, random);
    String best = "";
    for (String zone : zones) {
      if (best.isEmpty() || rooms.get(zone) > rooms.get(best)) {
        best = zone;
      }
    }
    int missing = Math.max(1, tasks - rooms.getOrDefault(best, 0));
    return request(job, missing).in(best);
  }

  private ResourceRequest request(Job job, int tasks) {
    double now = loop.seconds();
    boolean mayEvict = !job.spareWork() && job.nothingPlaced();
    return ResourceRequest.machines(
        job.spec(),
        tasks,
        job.arrivedMs(),
        aims.worth(job, now, estimates.runS(job.spec())),
        job.starving(now),
        mayEvict);
  }

  /** Another entity, a peer's or one held here too, lacks something: what is idle goes there. */
  public void asked(ControllerId to, List<ResourceRequest> requests) {
    EntityRow target = directory.entity(to);
    if (target == null || !membership.valid()) {
      return;
    }
    for (OwnedEntity h : membership.holdings()) {
      if (h.active() && !h.entity().equals(to)) {
        // Summed up over all machines, so once for all requests.
        Map<String, Amounts> freeQuotas = new HashMap<>();
        for (ResourceRequest request : requests) {
          if (!request.asks(h.entity())) {
            continue;
          }
          if (request.slice()) {
            quotas.give(h, to, request);
          } else {
            machines.give(h, target, request, freeQuotas);
          }
        }
      }
    }
  }
}
