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
import io.violetrail.scheduling.PlacementConstraints;
import io.violetrail.scheduling.RuntimeEstimates;
import io.violetrail.scheduling.ServiceLevelObjectives;
import io.violetrail.scheduling.ZoneAllowance;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Asks other entities for the machines and the parts of team quotas that waiting jobs lack, and
 * handles such requests of other entities.
 *
 * <p>Called on the event loop's thread by scheduling passes and for messages of peers. Requests are
 * repeated while jobs wait, so they need not survive a crash.
 */
public final class TransferRequests {
  private static final double REQUEST_INTERVAL_SECONDS = 0.7;

  /**
   * The number of jobs of each {@link #requestKind kind} that make requests in one round. Without
   * this limit, jobs of the most urgent kind would make all the requests.
   */
  private static final int MAX_REQUESTS_PER_KIND = 3;

  /** No machine is rented for a job before peers have been asked twice for idle machines. */
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
  private final PlacementConstraints constraints;
  private final MachineTransfer machineTransfer;
  private final PeerClient peerClient;
  private double lastRequestAtSeconds = Double.NEGATIVE_INFINITY;

  /**
   * Jobs that have requested quota from selected entities; their next quota requests go to all
   * entities.
   */
  private final Set<JobId> jobsThatAskedSelectedDonors = new HashSet<>();

  /**
   * Creates an object for one controller. {@code quotaTransfer} and {@code machineTransfer} carry
   * out the requests of other entities.
   */
  public TransferRequests(
      EventLoop loop,
      Random random,
      ClusterView clusterView,
      Membership membership,
      MachineTypes machineTypes,
      PendingQueues pendingQueues,
      ServiceLevelObjectives serviceLevelObjectives,
      RuntimeEstimates runtimeEstimates,
      QuotaTransfer quotaTransfer,
      PlacementConstraints constraints,
      MachineTransfer machineTransfer,
      PeerClient peerClient) {
    this.loop = loop;
    this.random = random;
    this.clusterView = clusterView;
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.pendingQueues = pendingQueues;
    this.serviceLevelObjectives = serviceLevelObjectives;
    this.runtimeEstimates = runtimeEstimates;
    this.quotaTransfer = quotaTransfer;
    this.constraints = constraints;
    this.machineTransfer = machineTransfer;
    this.peerClient = peerClient;
  }

  /**
   * Requests the machines and quota that the entity's waiting jobs lack. Does nothing within {@link
   * #REQUEST_INTERVAL_SECONDS} of this controller's previous requests, whichever entity they were
   * for.
   */
  public void requestMissingResources(OwnedEntity entity) {
    double nowSeconds = loop.monotonicSeconds();
    if (nowSeconds - lastRequestAtSeconds < REQUEST_INTERVAL_SECONDS) {
      return;
    }
    List<ResourceRequest> requests = new ArrayList<>();
    Map<String, Integer> countByKind = new HashMap<>();
    boolean awaitingFirstReports = entity.hasUncertainMachine(nowSeconds);
    for (Job job : pendingQueues.orderedJobs(entity)) {
      // No resources are requested for jobs that fail wherever they run.
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
    jobsThatAskedSelectedDonors.removeIf(id -> !entity.jobs().containsKey(id));
    if (!requests.isEmpty()) {
      lastRequestAtSeconds = nowSeconds;
      peerClient.requestResources(entity.id(), requests);
      handleRequests(entity.id(), requests);
    }
  }

  /** Returns a key for jobs that compete for the same {@code MAX_REQUESTS_PER_KIND} requests. */
  private static String requestKind(Job job, double nowSeconds) {
    return String.join(
        " ",
        String.valueOf(job.spec().taskResources().gpus() > 0),
        String.valueOf(job.spec().shape()),
        String.valueOf(job.bestEffort()),
        // Jobs that have waited long without success alternate between two kinds, so that half of
        // the time they do not use up the requests of jobs like them.
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
    int startableCount = Math.min(allowedCount, entity.startableCount(job, nowSeconds));
    // Best-effort jobs need quota like any other job, but request machines only when starving.
    if (startableCount > 0 && (!job.bestEffort() || job.isStarving(nowSeconds))) {
      addMachineRequests(entity, job, startableCount, nowSeconds, requests);
    }
  }

  /**
   * Claims unclaimed quota for the job or, if there is none, requests quota from other entities:
   * the first time from selected entities, then from all of them.
   */
  private void addQuotaRequests(
      OwnedEntity entity, Job job, Resources quota, List<ResourceRequest> requests) {
    Resources lacking =
        job.spec().taskResources().times(job.unplacedCount()).minus(quota).clampToZero();
    ResourceRequest requestToAll =
        ResourceRequest.forQuotaShare(job.spec(), lacking, job.arrivedAtMillis());
    if (quotaTransfer.claimUnclaimed(entity, job.spec().team(), lacking)) {
      jobsThatAskedSelectedDonors.remove(job.spec().id());
    } else if (jobsThatAskedSelectedDonors.add(job.spec().id())) {
      requests.addAll(quotaTransfer.splitAmongDonors(requestToAll, entity.id()));
    } else {
      requests.add(requestToAll);
    }
  }

  /**
   * Requests machines for a job. If its constraints depend on the zones of its other tasks, each
   * request is for one zone and for no more tasks than may start there: machines of other zones
   * would stay idle.
   */
  private void addMachineRequests(
      OwnedEntity entity,
      Job job,
      int taskCount,
      double nowSeconds,
      List<ResourceRequest> requests) {
    if (!job.spec().singleZone() && !job.spec().spreadAcrossZones()) {
      requests.add(buildMachineRequest(job, taskCount));
      return;
    }
    ZoneAllowance allowance = ZoneAllowance.of(job);
    Map<String, Integer> slotsByZone = countSlotsByZone(entity, job, allowance, nowSeconds);
    List<String> zones = zonesByFreeSlots(slotsByZone);
    if (job.spec().singleZone()) {
      zones = zones.subList(0, Math.min(1, zones.size()));
    }
    int missingCount = taskCount;
    for (String zone : zones) {
      missingCount -= slotsByZone.get(zone);
    }
    // At least one is requested: other jobs may use the free slots first.
    missingCount = Math.max(1, missingCount);
    for (String zone : zones) {
      int zoneCount = Math.min(missingCount, allowance.remaining(zone) - slotsByZone.get(zone));
      if (zoneCount > 0) {
        requests.add(buildMachineRequest(job, zoneCount).withZone(zone));
        missingCount -= zoneCount;
      }
    }
  }

  /**
   * Returns the free task slots in each zone that offers large enough machines and in which the
   * job's next task may start; at most as many as may start there.
   */
  private Map<String, Integer> countSlotsByZone(
      OwnedEntity entity, Job job, ZoneAllowance allowance, double nowSeconds) {
    Map<String, Integer> slotsByZone = new HashMap<>();
    for (MachineType machineType : machineTypes.all()) {
      if (machineType.capacity().countFitting(job.spec().taskResources()) > 0) {
        machineType.zones().stream()
            .filter(allowance::allows)
            .forEach(zone -> slotsByZone.put(zone, 0));
      }
    }
    for (Machine machine : entity.machines().values()) {
      int slots = machine.freeCapacity().countFitting(job.spec().taskResources());
      if (slots > 0
          && machine.isSchedulable()
          && constraints.isSuitable(job, machine, allowance, nowSeconds)) {
        slotsByZone.merge(machine.row().zone(), slots, Integer::sum);
      }
    }
    slotsByZone.replaceAll((zone, slots) -> Math.min(slots, allowance.remaining(zone)));
    return slotsByZone;
  }

  /** Returns the zones, those with the most slots first, in a random order of equals. */
  private List<String> zonesByFreeSlots(Map<String, Integer> slotsByZone) {
    List<String> zones = new ArrayList<>(slotsByZone.keySet());
    Collections.shuffle(zones, random);
    zones.sort(Comparator.comparing((String zone) -> -slotsByZone.get(zone)));
    return zones;
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
   * Handles requests of another entity, whether a peer or this controller owns it, on behalf of all
   * active owned entities. Does nothing if the recipient's row is unknown or this controller's
   * lease is not valid.
   *
   * @param recipient the entity that lacks resources
   */
  public void handleRequests(ControllerId recipient, List<ResourceRequest> requests) {
    EntityRow recipientRow = clusterView.findEntityRow(recipient);
    if (recipientRow == null || !membership.isLeaseValid()) {
      return;
    }
    for (OwnedEntity donor : membership.ownedEntities()) {
      if (donor.isActive() && !donor.id().equals(recipient)) {
        handleRequests(donor, recipientRow, requests);
      }
    }
  }

  private void handleRequests(
      OwnedEntity donor, EntityRow recipientRow, List<ResourceRequest> requests) {
    // Available quota is a sum over all machines, so it is computed once for all requests.
    Map<String, Resources> availableQuotaByTeam = new HashMap<>();
    for (ResourceRequest request : requests) {
      if (!request.asksDonor(donor.id())) {
        continue;
      }
      if (request.slice()) {
        quotaTransfer.grant(donor, recipientRow.entity(), request);
      } else {
        machineTransfer.transferMachines(donor, recipientRow, request, availableQuotaByTeam);
      }
    }
  }
}
