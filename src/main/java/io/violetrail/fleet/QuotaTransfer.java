package io.violetrail.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings;
import io.violetrail.config.Settings.Team;
import io.violetrail.configuration.Configuration;
import io.violetrail.errors.RequestFailedException;
import io.violetrail.evidence.TerminationEvidence;
import io.violetrail.model.ControllerId;
import io.violetrail.model.Resources;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.StateSchema;
import io.violetrail.peer.ResourceRequest;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.TaskPlacement;
import io.violetrail.state.StateStore;
import io.violetrail.wire.StateStoreMessages.Entry;
import io.violetrail.wire.StateStoreMessages.RowChange;
import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.StateStoreMessages.TransactionOutcome;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves slices of teams' limits: from one entity to another on demand, back where a limit was
 * lowered, and from what nobody has claimed of a raised one.
 *
 * <p>Two properties keep a team within its limit. What an entity's tasks use is never more than its
 * slice: an owner takes a part of a slice out of use before it asks for the write that gives it
 * away, and takes it back into use only once a reading after the write's outcome shows that it
 * still has it. And nothing is started while the slices add up to more than the limit in force.
 * More of a limit is claimed only on the condition that the revision which allows it is still in
 * force, so whoever knows a revision and the rows as of it knows the largest sum there can be.
 */
public final class QuotaTransfer {
  private static final Logger LOG = LoggerFactory.getLogger(QuotaTransfer.class);

  /** So often a move is drawn up anew when others have rewritten the row meanwhile. */
  private static final int MAX_ATTEMPTS = 4;

  private static final double RETRY_SECONDS = 0.3;

  /** The part of a slice that its entity is expected to have free. */
  private static final double EXPECTED_FREE_FRACTION = 0.5;

  private static final Resources UNBOUNDED =
      new Resources(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 0);

  private final EventLoop loop;
  private final StateStore store;
  private final ClusterView clusterView;
  private final Membership membership;
  private final Settings settings;
  private final Configuration configuration;
  private final TeamQuotaShares quotaShares;

  /**
   * Moves under way by entity and team, with the part of the entity's slice that is out of use
   * until their outcome is known.
   */
  private final Map<String, Resources> withheldByMove = new HashMap<>();

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
    this.store = store;
    this.clusterView = clusterView;
    this.membership = membership;
    this.settings = settings;
    this.configuration = configuration;
    this.quotaShares = new TeamQuotaShares(clusterView, settings, configuration);
  }

  /**
   * What may be started of a held entity's slice of a team's limit: nothing while the slices add up
   * to more than the limit in force.
   */
  public Resources availableQuota(OwnedEntity entity, String teamName, double nowSeconds) {
    Team team = configuration.findTeam(teamName);
    if (team == null) {
      return Resources.NONE;
    }
    return quotaShares.isOvercommitted(team)
        ? TeamQuotaShares.NO_QUOTA
        : unusedShare(entity, teamName, nowSeconds);
  }

  /** What is left of a held entity's slice, whatever the limit in force says. */
  private Resources unusedShare(OwnedEntity entity, String teamName, double nowSeconds) {
    Resources withheld = withheldByMove.getOrDefault(moveKey(entity, teamName), Resources.NONE);
    if (Double.isInfinite(withheld.cpus()) || Double.isInfinite(withheld.gpus())) {
      return TeamQuotaShares.NO_QUOTA;
    }
    return quotaShares
        .shareOf(entity.id(), teamName)
        .minus(withheld)
        .minus(entity.usageOf(teamName, nowSeconds));
  }

  private static String moveKey(OwnedEntity entity, String teamName) {
    return entity.id() + "/" + teamName;
  }

  /**
   * Splits a request between as few entities as may have enough, those with the largest slices
   * first. Where everybody is asked for all of it at once, all but one write the row in vain, and
   * the rest of what is lacking waits for the next asking.
   */
  List<ResourceRequest> splitAmongDonors(ResourceRequest request, ControllerId recipient) {
    List<ControllerId> donors = new ArrayList<>(settings.controllers());
    donors.remove(recipient);
    donors.sort(
        Comparator.comparingDouble(
            (ControllerId e) ->
                -fractionOfLimit(quotaShares.shareOf(e, request.team()), request.team())));
    List<ResourceRequest> parts = new ArrayList<>();
    Resources remaining = new Resources(request.cpus(), request.gpus(), 0);
    for (ControllerId donor : donors) {
      Resources expected = quotaShares.shareOf(donor, request.team()).times(EXPECTED_FREE_FRACTION);
      boolean isLast = donor.equals(donors.get(donors.size() - 1));
      Resources part = isLast ? remaining : elementwiseMin(remaining, expected);
      if (isWorthWriting(part)) {
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

  private static boolean isWorthWriting(Resources amounts) {
    return amounts.cpus() >= TeamQuotaShares.MIN_SHARE
        || amounts.gpus() >= TeamQuotaShares.MIN_SHARE;
  }

  private static Resources elementwiseMin(Resources left, Resources right) {
    return new Resources(
        Math.min(left.cpus(), right.cpus()), Math.min(left.gpus(), right.gpus()), 0);
  }

  private static Resources elementwiseMax(Resources left, Resources right) {
    return new Resources(
        Math.max(left.cpus(), right.cpus()), Math.max(left.gpus(), right.gpus()), 0);
  }

  /**
   * Gives what can be spared of a held entity's slice to another entity. Any part of it, not whole
   * tasks alone: a task that needs more than one entity's slice, or a gang that needs all of the
   * limit, is put together from what each of the others can spare.
   */
  void grant(OwnedEntity entity, ControllerId recipient, ResourceRequest request) {
    Team team = configuration.findTeam(request.team());
    if (team == null || withheldByMove.containsKey(moveKey(entity, request.team()))) {
      return;
    }
    double nowSeconds = loop.monotonicSeconds();
    Resources spare =
        availableQuota(entity, request.team(), nowSeconds)
            .minus(demandAheadOf(entity, request, nowSeconds))
            .clampToZero();
    Resources amount =
        new Resources(
            TeamQuotaShares.zeroIfUnlimited(Math.min(request.cpus(), spare.cpus()), team.maxCpus()),
            TeamQuotaShares.zeroIfUnlimited(Math.min(request.gpus(), spare.gpus()), team.maxGpus()),
            0);
    if (!isWorthWriting(amount)) {
      return;
    }
    Resources sufficientShare =
        request.isForAllDonors()
            ? quotaShares
                .shareOf(recipient, request.team())
                .plus(new Resources(request.cpus(), request.gpus(), 0))
            : UNBOUNDED;
    startMove(new QuotaGrant(entity, team, amount, recipient, sufficientShare), amount);
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
    return new Resources(sum.cpus(), sum.gpus(), 0);
  }

  /**
   * Takes what is lacking from the part of a raised limit that is in nobody's slice; false if there
   * is no such part.
   */
  boolean claimUnclaimed(OwnedEntity entity, String teamName, Resources lacking) {
    Team team = configuration.findTeam(teamName);
    if (team == null || !configuration.canChange() || quotaShares.isOvercommitted(team)) {
      return false;
    }
    if (!isWorthWriting(elementwiseMin(lacking, quotaShares.unclaimedQuota(team)))) {
      return false;
    }
    if (!withheldByMove.containsKey(moveKey(entity, teamName))) {
      startMove(new QuotaClaim(entity, team, lacking, configuration.modRevision()), Resources.NONE);
    }
    return true;
  }

  /**
   * Gives back what held entities have above even parts of lowered limits, as far as nothing of
   * theirs uses it. What runs goes on to its end, and what becomes free is given back then. The
   * parts are even ones, whatever the slices were: in proportion to them, each write made the next
   * one due.
   */
  public void returnExcess(Collection<OwnedEntity> ownedEntities) {
    if (!configuration.canChange() || !membership.isLeaseValid() || !configuration.isFresh()) {
      return;
    }
    double nowSeconds = loop.monotonicSeconds();
    for (Team team : configuration.teams()) {
      if (quotaShares.isOvercommitted(team)) {
        for (OwnedEntity entity : ownedEntities) {
          if (entity.isActive() && !withheldByMove.containsKey(moveKey(entity, team.name()))) {
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
        elementwiseMin(
            currentShare,
            new Resources(team.maxCpus() / controllerCount, team.maxGpus() / controllerCount, 0));
    Resources retained = elementwiseMax(evenShare, entity.usageOf(team.name(), nowSeconds));
    Resources excess =
        new Resources(
            currentShare.cpus() - retained.cpus(), currentShare.gpus() - retained.gpus(), 0);
    // Unlimited before and after: nothing of it is excess.
    excess = new Resources(zeroIfNaN(excess.cpus()), zeroIfNaN(excess.gpus()), 0).clampToZero();
    if (isWorthWriting(excess)) {
      startMove(new QuotaReturn(entity, team, excess, retained), excess);
    }
  }

  private static double zeroIfNaN(double amount) {
    return Double.isNaN(amount) ? 0 : amount;
  }

  /**
   * Takes back placements that no worker was told of, of teams whose slices exceed their limits:
   * they were decided on by the revision before.
   */
  public void revokeUnsentPlacements(Collection<OwnedEntity> ownedEntities) {
    double nowSeconds = loop.monotonicSeconds();
    for (OwnedEntity entity : ownedEntities) {
      entity.machines().values().stream()
          .flatMap(m -> List.copyOf(m.placements().values()).stream())
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

  /** A change of one held entity's slice. */
  private abstract static class QuotaMove {
    final OwnedEntity entity;
    final Team team;

    QuotaMove(OwnedEntity entity, Team team) {
      this.entity = entity;
      this.team = team;
    }

    String key() {
      return QuotaTransfer.moveKey(entity, team.name());
    }

    String rowKey() {
      return StateSchema.QUOTA_SHARE_PREFIX + team.name();
    }

    /** The team's row after the move, by the newest view of it; null if it is to be dropped. */
    abstract ObjectNode draftRow(TeamQuotaShares quotaShares);

    /** What else must hold when it is applied. */
    void addConditions(Transaction transaction) {}

    abstract String describe();
  }

  /**
   * A part of a slice for another entity. What the target has been given by others since the
   * request is not given once more.
   */
  private static final class QuotaGrant extends QuotaMove {
    private final Resources amount;
    private final ControllerId recipient;
    private final Resources sufficientShare;

    QuotaGrant(
        OwnedEntity entity,
        Team team,
        Resources amount,
        ControllerId recipient,
        Resources sufficientShare) {
      super(entity, team);
      this.amount = amount;
      this.recipient = recipient;
      this.sufficientShare = sufficientShare;
    }

    @Override
    ObjectNode draftRow(TeamQuotaShares quotaShares) {
      Resources currentShare = quotaShares.shareOf(recipient, team.name());
      Resources lacking =
          new Resources(
              missingAmount(sufficientShare.cpus(), currentShare.cpus()),
              missingAmount(sufficientShare.gpus(), currentShare.gpus()),
              0);
      Resources granted = elementwiseMin(amount, lacking);
      if (!isWorthWriting(granted)) {
        return null;
      }
      return quotaShares.buildRow(
          team,
          (e, s) ->
              e.equals(entity.id()) ? s.minus(granted) : e.equals(recipient) ? s.plus(granted) : s);
    }

    /** What is unlimited is never missing: its part of the gift is 0 anyway. */
    private static double missingAmount(double sufficient, double current) {
      return Double.isInfinite(sufficient) ? sufficient : Math.max(0, sufficient - current);
    }

    @Override
    String describe() {
      return "gives "
          + recipient
          + " up to "
          + amount.cpus()
          + " cpus and "
          + amount.gpus()
          + " gpus";
    }
  }

  /** A part of a slice given back, since the limit was lowered. */
  private static final class QuotaReturn extends QuotaMove {
    private final Resources amount;
    private final Resources retained;

    QuotaReturn(OwnedEntity entity, Team team, Resources amount, Resources retained) {
      super(entity, team);
      this.amount = amount;
      this.retained = retained;
    }

    @Override
    ObjectNode draftRow(TeamQuotaShares quotaShares) {
      return quotaShares.isOvercommitted(team)
          ? quotaShares.buildRow(team, (e, s) -> e.equals(entity.id()) ? remainingShare(s) : s)
          : null;
    }

    private Resources remainingShare(Resources share) {
      return new Resources(
          Double.isInfinite(amount.cpus()) ? retained.cpus() : share.cpus() - amount.cpus(),
          Double.isInfinite(amount.gpus()) ? retained.gpus() : share.gpus() - amount.gpus(),
          0);
    }

    @Override
    String describe() {
      return "gives back " + amount.cpus() + " cpus and " + amount.gpus() + " gpus";
    }
  }

  /** More of a raised limit, while the revision that allows it is in force. */
  private static final class QuotaClaim extends QuotaMove {
    private final Resources lacking;
    private final long configurationStamp;

    QuotaClaim(OwnedEntity entity, Team team, Resources lacking, long configurationStamp) {
      super(entity, team);
      this.lacking = lacking;
      this.configurationStamp = configurationStamp;
    }

    @Override
    ObjectNode draftRow(TeamQuotaShares quotaShares) {
      Resources claimed = elementwiseMin(lacking, quotaShares.unclaimedQuota(team));
      if (!isWorthWriting(claimed)) {
        return null;
      }
      return quotaShares.buildRow(team, (e, s) -> e.equals(entity.id()) ? s.plus(claimed) : s);
    }

    @Override
    void addConditions(Transaction transaction) {
      transaction.ifRevision(StateSchema.CONFIGURATION_KEY, configurationStamp);
    }

    @Override
    String describe() {
      return "claims up to " + lacking.cpus() + " cpus and " + lacking.gpus() + " gpus";
    }
  }

  private void startMove(QuotaMove move, Resources withheld) {
    withheldByMove.put(move.key(), withheld);
    attemptMove(move, 1);
  }

  private void attemptMove(QuotaMove move, int attemptNumber) {
    ObjectNode[] draftedRow = new ObjectNode[1];
    Futures.logFailure(
        store
            .commitDeferred(
                () -> {
                  draftedRow[0] = coversUsage(move) ? move.draftRow(quotaShares) : null;
                  return draftedRow[0] == null ? null : buildTransaction(move, draftedRow[0]);
                })
            .whenComplete(
                (outcome, failure) -> {
                  if (draftedRow[0] == null) {
                    withheldByMove.remove(move.key());
                  } else if (failure == null && outcome.applied()) {
                    completeMove(move, draftedRow[0], outcome);
                  } else {
                    retryOrAbandon(move, outcome, attemptNumber);
                  }
                }),
        "transfer quota");
  }

  /**
   * Whether the stored slice, without what is out of use, still covers what is used. A try whose
   * answer was lost may have been applied: then the part is missing from the slice already, and
   * giving it once more would take what runs.
   */
  private boolean coversUsage(QuotaMove move) {
    Resources remaining = unusedShare(move.entity, move.team.name(), loop.monotonicSeconds());
    return move.entity.isActive()
        && remaining.cpus() >= -TeamQuotaShares.MIN_SHARE
        && remaining.gpus() >= -TeamQuotaShares.MIN_SHARE;
  }

  private Transaction buildTransaction(QuotaMove move, ObjectNode row) {
    Entry currentRow = clusterView.findQuotaShare(move.team.name());
    Transaction transaction =
        move.entity
            .fencedTransaction()
            .ifRevision(move.rowKey(), currentRow == null ? 0 : currentRow.modRevision())
            .put(move.rowKey(), row);
    move.addConditions(transaction);
    return transaction;
  }

  private void completeMove(QuotaMove move, ObjectNode row, TransactionOutcome outcome) {
    clusterView.apply(new RowChange(move.rowKey(), row, outcome.revision()));
    withheldByMove.remove(move.key());
    LOG.info("entity {} {} of team {}", move.entity.id(), move.describe(), move.team.name());
  }

  /**
   * Somebody else has rewritten the row, an earlier try has been applied, or the entity has moved.
   * The part stays out of use until a reading shows which. That reading is of the one row: a
   * listing of all common rows after each refusal was most of what controllers read where teams are
   * many. No try can be applied after it, since its condition has failed for good.
   */
  private void retryOrAbandon(QuotaMove move, TransactionOutcome outcome, int attemptNumber) {
    boolean entityMoved =
        outcome == null || outcome.failedKeys().contains(StateSchema.entityKey(move.entity.id()));
    if (entityMoved) {
      membership.relistThen(() -> withheldByMove.remove(move.key()));
      return;
    }
    Futures.logFailure(
        store
            .get(move.rowKey())
            .whenComplete(
                (entry, failure) -> {
                  if (failure != null) {
                    RequestFailedException cause = RequestFailedException.from(failure);
                    LOG.debug(
                        "slices of team {} not read: {}", move.team.name(), cause.getMessage());
                    loop.schedule(
                        RETRY_SECONDS, () -> retryOrAbandon(move, outcome, attemptNumber));
                    return;
                  }
                  if (entry.value() != null) {
                    clusterView.apply(
                        new RowChange(move.rowKey(), entry.value(), entry.modRevision()));
                  }
                  boolean superseded = outcome.failedKeys().contains(StateSchema.CONFIGURATION_KEY);
                  if (attemptNumber < MAX_ATTEMPTS && !superseded) {
                    attemptMove(move, attemptNumber + 1);
                  } else {
                    withheldByMove.remove(move.key());
                  }
                }),
        "read a quota transfer's outcome");
  }
}
