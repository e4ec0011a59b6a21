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
 * Decides how much of a team's quota each entity may use, and when quota moves between entities.
 *
 * <p>A team's limit on processors and accelerators is divided among the entities (the shards of
 * jobs and machines). An entity's part is its <i>quota share</i>, and the entity's owner starts
 * tasks of the team only within that share. All shares of a team are stored in one row of the state
 * service. Every change of shares, a <i>move</i>, is one compare-and-swap write of that row. There
 * are three kinds of moves:
 *
 * <ul>
 *   <li>{@link QuotaGrant}: an entity gives a part of its share that it can spare to another entity
 *       that has requested it. The sum of the shares stays the same.
 *   <li>{@link QuotaReturn}: after the limit was lowered, an entity reduces its share towards an
 *       even share of the new limit, but not below what its tasks use. The sum of the shares
 *       decreases.
 *   <li>{@link QuotaClaim}: after the limit was raised, an entity adds to its share a part of the
 *       limit that is in no entity's share. Only claims increase the sum of the shares, at most to
 *       the limit.
 * </ul>
 *
 * <p>Two invariants keep a team within its limit:
 *
 * <ul>
 *   <li>The tasks of an entity never use more than its share. Before an owner sends a write that
 *       reduces a share, it withholds the amount by which the share is reduced: no task is started
 *       within that amount. If the write is not confirmed, the owner uses the amount again only
 *       after a read, made after the write has ended, shows that the share still contains it.
 *   <li>No task of a team is started while the sum of the team's shares exceeds the limit in force.
 *       That is the case after the limit was lowered, until enough is returned. Running tasks
 *       continue to their end.
 * </ul>
 *
 * <p>A claim's write is conditional on the configuration revision whose limit allows the claim, so
 * it is refused once a later revision is stored. A controller that has read a revision, and the
 * shares as of that revision, therefore knows the largest sum that the shares can have while the
 * revision is in force: the sum that it has read or the revision's limit, whichever is larger.
 *
 * <p>Called on the event loop's thread: by scheduling and scale out to find out how much quota is
 * available, by {@link TransferRequests} to grant and claim quota, and by the controller to return
 * it. The shares are stored and survive a crash; moves in flight are lost.
 */
public final class QuotaTransfer {
  /** The fraction of a quota share that its entity is expected to have unused. */
  private static final double EXPECTED_FREE_FRACTION = 0.5;

  private final EventLoop loop;
  private final Membership membership;
  private final Settings settings;
  private final Configuration configuration;
  private final TeamQuotaShares quotaShares;
  private final QuotaMoveExecutor moves;

  /** Creates the quota transfer of one controller. */
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
   * Returns the amount of a team's quota in which an owned entity may start tasks now: its share
   * without what a move in flight withholds and what its tasks use. Returns no quota for an unknown
   * team, and while the sum of the team's shares exceeds the limit in force.
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
   * Splits a quota request among as few donors as are expected to cover it, those with the largest
   * shares first. If every entity were asked for the whole amount at once, all but one of their
   * writes of the team's row would fail, and the rest of the missing amount would have to wait for
   * the next request.
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

  /**
   * Returns the larger of the fractions of the team's processor and accelerator limits that the
   * amounts make up; 0 for what is unlimited.
   */
  private double fractionOfLimit(Resources amounts, String teamName) {
    Team team = configuration.findTeam(teamName);
    double cpuFraction =
        team == null || Double.isInfinite(team.maxCpus()) ? 0 : amounts.cpus() / team.maxCpus();
    double gpuFraction =
        team == null || Double.isInfinite(team.maxGpus()) ? 0 : amounts.gpus() / team.maxGpus();
    return Math.max(cpuFraction, gpuFraction);
  }

  /**
   * Starts a grant of the requested amount to {@code recipient}, as far as an owned entity can
   * spare it from its share, unless a move of this share is in flight. The amount need not be
   * enough for whole tasks: a task that needs more than one entity's share, or a gang that needs
   * the whole limit, collects its quota from what each of the other entities can spare.
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

  /**
   * Returns the resources that the entity's jobs of the same team that are ordered before the
   * request still need. Only jobs that may hold reservations now count.
   */
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
   * Starts a claim of the lacking amount from the part of a raised limit that is in no entity's
   * share, unless a move of this entity's share is in flight.
   *
   * @return whether there is an unclaimed part of what is lacking, even if no claim was started
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
   * Starts returns of what owned entities have above an even share of a lowered limit, as far as
   * their tasks do not use it. Running tasks continue to their end; what they free is returned by a
   * later call. Shares shrink to even shares, whatever they were before: when they were reduced in
   * proportion to their former sizes, each write made another one necessary.
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
    // Infinity minus infinity is NaN: the share is unlimited before and after, without excess.
    excess = new Resources(zeroIfNaN(excess.cpus()), zeroIfNaN(excess.gpus()), 0).clampToZero();
    if (QuotaAmounts.isWorthWriting(excess)) {
      moves.start(new QuotaReturn(entity, team, excess, retained));
    }
  }

  private static double zeroIfNaN(double amount) {
    return Double.isNaN(amount) ? 0 : amount;
  }

  /**
   * Revokes placements that have not been sent to a worker yet, if the sum of their team's shares
   * exceeds its limit: they were decided under the previous configuration revision.
   */
  public void revokeUnsentPlacements(Collection<OwnedEntity> ownedEntities) {
    double nowSeconds = loop.monotonicSeconds();
    for (OwnedEntity entity : ownedEntities) {
      entity.machines().values().stream()
          .flatMap(machine -> List.copyOf(machine.placements().values()).stream())
          .filter(TaskPlacement::isRevocable)
          .filter(placement -> isOvercommitted(placement.job().spec().team()))
          .toList()
          .forEach(
              placement ->
                  entity.removePlacement(placement, nowSeconds, TerminationEvidence.NEVER_SENT));
    }
  }

  private boolean isOvercommitted(String teamName) {
    Team team = configuration.findTeam(teamName);
    return team == null || quotaShares.isOvercommitted(team);
  }
}
