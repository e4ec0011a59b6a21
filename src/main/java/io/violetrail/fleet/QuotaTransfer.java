package io.violetrail.fleet;

import io.violetrail.config.Settings;
import io.violetrail.config.Settings.Team;
import io.violetrail.configuration.Configuration;
import io.violetrail.evidence.TerminationEvidence;
import io.violetrail.model.ControllerId;
import io.violetrail.model.Resources;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.peer.ResourceRequest;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.TaskPlacement;
import io.violetrail.state.StateStore;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Decides which parts of teams' quota shares move: from one entity to another on request, back
 * where a limit was lowered, and out of the unclaimed part of a raised one.
 *
 * <p>Two properties keep a team within its limit. What an entity's tasks use never exceeds its
 * quota share: an owner takes a part of a share out of use before it asks for the write that gives
 * it away, and takes it back into use only once a read after the write's outcome shows that the
 * share still has it. And nothing is started while the shares add up to more than the limit in
 * force. More of a limit is claimed only on the condition that the revision which allows it is
 * still in force, so whoever knows a revision and the rows as of it knows the largest possible sum.
 *
 * <p>Called on the event loop's thread: by scheduling and scale out for what may start, by {@link
 * TransferRequests} for what moves. The shares are stored rows; the moves in flight are lost in a
 * crash.
 */
public final class QuotaTransfer {
  /** The fraction of a quota share that its entity is expected to have free. */
  private static final double EXPECTED_FREE_FRACTION = 0.5;

  private final EventLoop loop;
  private final Membership membership;
  private final Settings settings;
  private final Configuration configuration;
  private final TeamQuotaShares quotaShares;
  private final QuotaMoveExecutor moves;

  /**
   * Creates the quota transfers of one controller between the entities that share each team's
   * limit.
   */
  public QuotaTransfer(
      EventLoop loop,
      StateStore store,
      ClusterView clusterView,
      Membership membership,
      Settings settings,
      Configuration configuration) {
    this.loop = loop;
    this.membership = membership;
    this.settings = settings;
    this.configuration = configuration;
    this.quotaShares = new TeamQuotaShares(clusterView, settings, configuration);
    this.moves = new QuotaMoveExecutor(loop, store, clusterView, membership, quotaShares);
  }

  /**
   * What may be started of an owned entity's share of a team's quota: nothing while the shares add
   * up to more than the limit in force.
   */
  public Resources availableQuota(OwnedEntity entity, String teamName, double nowSeconds) {
    Team team = configuration.findTeam(teamName);
    if (team == null) {
      return Resources.NONE;
    }
    return quotaShares.isOvercommitted(team)
        ? QuotaAmounts.NO_QUOTA
        : moves.unusedShare(entity, teamName, nowSeconds);
  }

  /**
   * Splits a request between as few entities as may have enough, those with the largest shares
   * first. Where everybody is asked for all of it at once, all but one write the row in vain, and
   * the rest of what is lacking waits for the next request.
   */
  List<ResourceRequest> splitAmongDonors(ResourceRequest request, ControllerId recipient) {
    List<ControllerId> donors = new ArrayList<>(settings.controllers());
    donors.remove(recipient);
    donors.sort(
        Comparator.comparingDouble(
            (ControllerId donor) ->
                -fractionOfLimit(quotaShares.shareOf(donor, request.team()), request.team())));
    List<ResourceRequest> parts = new ArrayList<>();
    Resources remaining = new Resources(request.cpus(), request.gpus(), 0);
    for (ControllerId donor : donors) {
      Resources expected = quotaShares.shareOf(donor, request.team()).times(EXPECTED_FREE_FRACTION);
      boolean isLast = donor.equals(donors.get(donors.size() - 1));
      Resources part = isLast ? remaining : QuotaAmounts.min(remaining, expected);
      if (QuotaAmounts.isWorthWriting(part)) {
        parts.add(request.fromDonor(donor, part));
        remaining = remaining.minus(part);
      }
    }
    return parts;
  }

  /** How much of the team's limit an amount is. */
  private double fractionOfLimit(Resources amounts, String teamName) {
    Team team = configuration.findTeam(teamName);
    double cpuFraction =
        team == null || Double.isInfinite(team.maxCpus()) ? 0 : amounts.cpus() / team.maxCpus();
    double gpuFraction =
        team == null || Double.isInfinite(team.maxGpus()) ? 0 : amounts.gpus() / team.maxGpus();
    return Math.max(cpuFraction, gpuFraction);
  }

  /**
   * Gives what can be spared of an owned entity's share to another entity. Any part of it, not
   * whole tasks alone: a task that needs more than one entity's share, or a gang that needs all of
   * the limit, is put together from what each of the others can spare.
   */
  void grant(OwnedEntity entity, ControllerId recipient, ResourceRequest request) {
    Team team = configuration.findTeam(request.team());
    if (team == null || moves.isMoveInFlight(entity, request.team())) {
      return;
    }
    double nowSeconds = loop.monotonicSeconds();
    Resources spare =
        availableQuota(entity, request.team(), nowSeconds)
            .minus(demandAheadOf(entity, request, nowSeconds))
            .clampToZero();
    Resources amount =
        new Resources(
            QuotaAmounts.zeroIfUnlimited(Math.min(request.cpus(), spare.cpus()), team.maxCpus()),
            QuotaAmounts.zeroIfUnlimited(Math.min(request.gpus(), spare.gpus()), team.maxGpus()),
            0);
    if (!QuotaAmounts.isWorthWriting(amount)) {
      return;
    }
    Resources sufficientShare =
        request.isForAllDonors()
            ? quotaShares
                .shareOf(recipient, request.team())
                .plus(new Resources(request.cpus(), request.gpus(), 0))
            : QuotaAmounts.UNLIMITED;
    moves.start(new QuotaGrant(entity, team, amount, recipient, sufficientShare));
  }

  /** What jobs here that go before the request still wait for. */
  private static Resources demandAheadOf(
      OwnedEntity entity, ResourceRequest request, double nowSeconds) {
    Resources sum = Resources.NONE;
    for (Job job : entity.jobs().values()) {
      if (job.phase() == Job.Phase.OPEN
          && RequestOrder.isAheadOf(job, request)
          && job.spec().team().equals(request.team())
          && job.mayHoldReservations(nowSeconds)) {
        sum = sum.plus(job.spec().taskResources().times(job.startableCount(nowSeconds)));
      }
    }
    return QuotaAmounts.withoutMemory(sum);
  }

  /**
   * Takes what is lacking from the part of a raised limit that is in no entity's share.
   *
   * @return false if there is no such part
   */
  boolean claimUnclaimed(OwnedEntity entity, String teamName, Resources lacking) {
    Team team = configuration.findTeam(teamName);
    if (team == null || !configuration.canChange() || quotaShares.isOvercommitted(team)) {
      return false;
    }
    if (!QuotaAmounts.isWorthWriting(QuotaAmounts.min(lacking, quotaShares.unclaimedQuota(team)))) {
      return false;
    }
    if (!moves.isMoveInFlight(entity, teamName)) {
      moves.start(new QuotaClaim(entity, team, lacking, configuration.modRevision()));
    }
    return true;
  }

  /**
   * Gives back what owned entities have above even shares of lowered limits, as far as none of
   * their tasks uses it. What runs goes on to its end, and what becomes free is given back then.
   * The shares become even ones, whatever they were: in proportion to them, each write made the
   * next one due.
   */
  public void returnExcess(Collection<OwnedEntity> ownedEntities) {
    if (!configuration.canChange() || !membership.isLeaseValid() || !configuration.isFresh()) {
      return;
    }
    double nowSeconds = loop.monotonicSeconds();
    for (Team team : configuration.teams()) {
      if (quotaShares.isOvercommitted(team)) {
        for (OwnedEntity entity : ownedEntities) {
          if (entity.isActive() && !moves.isMoveInFlight(entity, team.name())) {
            returnExcess(entity, team, nowSeconds);
          }
        }
      }
    }
  }

  private void returnExcess(OwnedEntity entity, Team team, double nowSeconds) {
    Resources currentShare = quotaShares.shareOf(entity.id(), team.name());
    int controllerCount = settings.controllers().size();
    Resources evenShare =
        QuotaAmounts.min(
            currentShare,
            new Resources(team.maxCpus() / controllerCount, team.maxGpus() / controllerCount, 0));
    Resources retained = QuotaAmounts.max(evenShare, entity.usageOf(team.name(), nowSeconds));
    Resources excess =
        new Resources(
            currentShare.cpus() - retained.cpus(), currentShare.gpus() - retained.gpus(), 0);
    // Unlimited before and after: nothing of it is excess.
    excess = new Resources(zeroIfNaN(excess.cpus()), zeroIfNaN(excess.gpus()), 0).clampToZero();
    if (QuotaAmounts.isWorthWriting(excess)) {
      moves.start(new QuotaReturn(entity, team, excess, retained));
    }
  }

  private static double zeroIfNaN(double amount) {
    return Double.isNaN(amount) ? 0 : amount;
  }

  /**
   * Revokes placements that were not sent to a worker yet, of teams whose shares exceed their
   * limits: they were decided by the previous revision.
   */
  public void revokeUnsentPlacements(Collection<OwnedEntity> ownedEntities) {
    double nowSeconds = loop.monotonicSeconds();
    for (OwnedEntity entity : ownedEntities) {
      entity.machines().values().stream()
          .flatMap(machine -> List.copyOf(machine.placements().values()).stream())
          .filter(TaskPlacement::isRevocable)
          .filter(p -> isOvercommitted(p.job().spec().team()))
          .toList()
          .forEach(p -> entity.removePlacement(p, nowSeconds, TerminationEvidence.NEVER_SENT));
    }
  }

  private boolean isOvercommitted(String teamName) {
    Team team = configuration.findTeam(teamName);
    return team == null || quotaShares.isOvercommitted(team);
  }
}
