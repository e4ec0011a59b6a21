package io.violetrail.fleet;

import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.StateSchema.EntityRow;
import io.violetrail.peer.PeerClient;
import io.violetrail.peer.ResourceRequest;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.PendingQueues;
import io.violetrail.scheduling.RuntimeEstimates;
import io.violetrail.scheduling.ServiceLevelObjectives;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Requests from the other entities what waiting jobs lack, idle machines or parts of their teams'
 * quotas, and handles the others' requests. Called by scheduling passes and by the peers' messages,
 * on the event loop's thread. Requests are repeated while jobs wait, so none need survive a crash.
 */
public final class TransferRequests {
  private static final double REQUEST_INTERVAL_SECONDS = 0.7;

  /** Requests of each kind: the most urgent kind alone would leave the others unasked. */
  private static final int MAX_REQUESTS_PER_KIND = 3;

  /** Nothing is rented for a job before peers have been asked twice for what they have idle. */
  static final double SCALE_OUT_DELAY_SECONDS = 2 * REQUEST_INTERVAL_SECONDS + 0.1;

  private final EventLoop loop;
  private final Random random;
  private final ClusterView clusterView;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final PendingQueues pendingQueues;
  private final ServiceLevelObjectives serviceLevelObjectives;
  private final RuntimeEstimates runtimeEstimates;
  private final QuotaTransfer quotaTransfer;
  private final MachineTransfer machineTransfer;
  private final PeerClient peerClient;
  private double lastRequestAtSeconds = Double.NEGATIVE_INFINITY;

  /** Jobs that have asked selected entities for parts of a quota; next they ask all of them. */
  private final Set<JobId> askedSelectedDonors = new HashSet<>();

  /** Creates the requests, which are granted through the two transfers. */
  public TransferRequests(
      EventLoop loop,
      Random random,
      ClusterView clusterView,
      Membership membership,
      MachineTypes machineTypes,
      PendingQueues pendingQueues,
      ServiceLevelObjectives objectives,
      RuntimeEstimates runtimeEstimates,
      QuotaTransfer quotaTransfer,
      MachineTransfer machines,
      PeerClient peerClient) {
    this.loop = loop;
    this.random = random;
    this.clusterView = clusterView;
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.pendingQueues = pendingQueues;
    this.serviceLevelObjectives = objectives;
    this.runtimeEstimates = runtimeEstimates;
    this.quotaTransfer = quotaTransfer;
    this.machineTransfer = machines;
    this.peerClient = peerClient;
  }

  /** Requests what waiting jobs lack, unless requests were made just now. */
  public void requestMissingResources(OwnedEntity entity) {
    double nowSeconds = loop.monotonicSeconds();
    if (nowSeconds - lastRequestAtSeconds < REQUEST_INTERVAL_SECONDS) {
      return;
    }
    List<ResourceRequest> requests = new ArrayList<>();
    Map<String, Integer> countByKind = new HashMap<>();
    boolean awaitingFirstReports = entity.hasUncertainMachine(nowSeconds);
    for (Job job : pendingQueues.inOrder(entity)) {
      // Nothing is gathered for what fails wherever it goes.
      if (job.unplacedCount() == 0
          || job.failureHistory().isSuspect()
          || (job.loadedFromStore() && awaitingFirstReports)) {
        continue;
      }
      if (countByKind.merge(requestKind(job, nowSeconds), 1, Integer::sum)
          <= MAX_REQUESTS_PER_KIND) {
        addRequests(entity, job, nowSeconds, requests);
      }
    }
    askedSelectedDonors.removeIf(id -> !entity.jobs().containsKey(id));
    if (!requests.isEmpty()) {
      lastRequestAtSeconds = nowSeconds;
      peerClient.askFor(entity.id(), requests);
      handleRequests(entity.id(), requests);
    }
  }

  private static String requestKind(Job job, double nowSeconds) {
    return String.join(
        " ",
        String.valueOf(job.spec().taskResources().gpus() > 0),
        String.valueOf(job.spec().shape()),
        String.valueOf(job.bestEffort()),
        // Who asked in vain for long lets others of its kind ask beside it for a while.
        String.valueOf(job.mayHoldReservations(nowSeconds)));
  }

  private void addRequests(
      OwnedEntity entity, Job job, double nowSeconds, List<ResourceRequest> requests) {
    int waitingCount = job.unplacedCount();
    Resources quota = quotaTransfer.availableQuota(entity, job.spec().team(), nowSeconds);
    int allowedCount = quota.countFitting(job.spec().taskResources());
    if (allowedCount < waitingCount && job.mayHoldReservations(nowSeconds)) {
      addQuotaRequests(entity, job, quota, requests);
    }
    // Best-effort work needs its part of the quota all the same, and in the end a machine of its
    // own.
    if (allowedCount > 0 && (!job.bestEffort() || job.isStarving(nowSeconds))) {
      requests.add(machineRequest(entity, job, Math.min(waitingCount, allowedCount)));
    }
  }

  private void addQuotaRequests(
      OwnedEntity entity, Job job, Resources quota, List<ResourceRequest> requests) {
    Resources lacking =
        job.spec().taskResources().times(job.unplacedCount()).minus(quota).clampToZero();
    ResourceRequest requestToAll =
        ResourceRequest.forQuotaShare(job.spec(), lacking, job.arrivedAtMillis());
    if (quotaTransfer.claimUnclaimed(entity, job.spec().team(), lacking)) {
      askedSelectedDonors.remove(job.spec().id());
    } else if (askedSelectedDonors.add(job.spec().id())) {
      requests.addAll(quotaTransfer.splitAmongDonors(requestToAll, entity.id()));
    } else {
      requests.add(requestToAll);
    }
  }

  /**
   * Machines for a job. A gang of one zone asks in the zone where it has the most room, for what is
   * missing there: machines of several zones would lie idle in parts.
   */
  private ResourceRequest machineRequest(OwnedEntity entity, Job job, int taskCount) {
    if (!job.spec().singleZone() || job.spec().zone() != null) {
      return buildMachineRequest(job, taskCount);
    }
    Map<String, Integer> slotsByZone = countSlotsByZone(entity, job);
    String bestZone = chooseWidestZone(slotsByZone);
    int missingCount = Math.max(1, taskCount - slotsByZone.getOrDefault(bestZone, 0));
    return buildMachineRequest(job, missingCount).withZone(bestZone);
  }

  /** The job's free task slots in each zone that has machine types large enough. */
  private Map<String, Integer> countSlotsByZone(OwnedEntity entity, Job job) {
    Map<String, Integer> slotsByZone = new HashMap<>();
    for (MachineType machineType : machineTypes.all()) {
      if (machineType.capacity().countFitting(job.spec().taskResources()) > 0) {
        machineType.zones().forEach(zone -> slotsByZone.put(zone, 0));
      }
    }
    for (Machine machine : entity.machines().values()) {
      if (machine.isSchedulable()
          && machine.type().suitsAcceleratorNeed(job.spec().taskResources())
          && job.spec()
              .allowsMachine(machine.row().type(), machine.row().zone(), machine.row().spot())) {
        slotsByZone.merge(
            machine.row().zone(),
            machine.freeCapacity().countFitting(job.spec().taskResources()),
            Integer::sum);
      }
    }
    return slotsByZone;
  }

  /** The zone with the most slots, a random one of several; empty if there is none. */
  private String chooseWidestZone(Map<String, Integer> slotsByZone) {
    List<String> zones = new ArrayList<>(slotsByZone.keySet());
    Collections.shuffle(zones, random);
    String bestZone = "";
    for (String zone : zones) {
      if (bestZone.isEmpty() || slotsByZone.get(zone) > slotsByZone.get(bestZone)) {
        bestZone = zone;
      }
    }
    return bestZone;
  }

  private ResourceRequest buildMachineRequest(Job job, int taskCount) {
    double nowSeconds = loop.monotonicSeconds();
    boolean mayEvict = !job.bestEffort() && job.hasNoPlacements();
    return ResourceRequest.forMachines(
        job.spec(),
        taskCount,
        job.arrivedAtMillis(),
        serviceLevelObjectives.maxPriceRatio(
            job, nowSeconds, runtimeEstimates.expectedRuntimeSeconds(job.spec())),
        job.isStarving(nowSeconds),
        mayEvict);
  }

  /**
   * Handles requests of another entity, a peer's or one owned here too: what is idle goes there.
   *
   * @param recipient the entity that lacks something; nothing is done while its row is unknown
   */
  public void handleRequests(ControllerId recipient, List<ResourceRequest> requests) {
    EntityRow target = clusterView.findEntityRow(recipient);
    if (target == null || !membership.isLeaseValid()) {
      return;
    }
    for (OwnedEntity donor : membership.ownedEntities()) {
      if (donor.isActive() && !donor.id().equals(recipient)) {
        handleRequests(donor, target, requests);
      }
    }
  }

  private void handleRequests(OwnedEntity donor, EntityRow target, List<ResourceRequest> requests) {
    // Summed up over all machines, so once for all requests.
    Map<String, Resources> freeQuotas = new HashMap<>();
    for (ResourceRequest request : requests) {
      if (!request.isForDonor(donor.id())) {
        continue;
      }
      if (request.slice()) {
        quotaTransfer.grant(donor, target.entity(), request);
      } else {
        machineTransfer.transferMachines(donor, target, request, freeQuotas);
      }
    }
  }
}
