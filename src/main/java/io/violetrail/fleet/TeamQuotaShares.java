package io.violetrail.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings;
import io.violetrail.config.Settings.Team;
import io.violetrail.configuration.Configuration;
import io.violetrail.model.ControllerId;
import io.violetrail.model.Resources;
import io.violetrail.ownership.ClusterView;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.Entry;
import java.util.function.BiFunction;

/**
 * The entities' shares of teams' quotas as the state service has them, one row for each team.
 *
 * <p>An entity that a team's row does not name has an even share of the limit in the settings file.
 * A share does not follow the limit in force by itself: what an entity may use changes by writes of
 * the row alone. Where the limit was lowered, the shares add up to more than it until their
 * entities have given parts of them back, and nothing of the team is started meanwhile; where it
 * was raised, the rest can be claimed.
 *
 * <p>A view without state of its own, used by the quota moves on the event loop's thread.
 */
final class TeamQuotaShares {
  /** An amount without a limit, in a row. */
  private static final double UNLIMITED = -1;

  /**
   * The third element of a share whose row says by itself what is unlimited. Without it that
   * follows from the settings file, where 0 means no limit.
   */
  private static final int EXPLICIT_LIMITS = 1;

  private final ClusterView clusterView;
  private final Settings settings;
  private final Configuration configuration;

  TeamQuotaShares(ClusterView clusterView, Settings settings, Configuration configuration) {
    this.clusterView = clusterView;
    this.settings = settings;
    this.configuration = configuration;
  }

  /** An entity's share of a team's quota; infinite where it is unlimited. */
  Resources shareOf(ControllerId entity, String team) {
    Team configuredTeam = settings.teams().get(team);
    Entry row = clusterView.findQuotaShare(team);
    if (row != null && row.value().has(entity.value())) {
      return decode(row.value().get(entity.value()), configuredTeam);
    }
    if (configuredTeam == null) {
      return QuotaAmounts.NO_QUOTA;
    }
    int controllerCount = settings.controllers().size();
    return new Resources(
        configuredTeam.maxCpus() / controllerCount,
        configuredTeam.maxGpus() / controllerCount,
        Double.POSITIVE_INFINITY);
  }

  private static Resources decode(JsonNode share, Team configuredTeam) {
    boolean limitsFromSettings = share.size() < 3 && configuredTeam != null;
    return new Resources(
        decode(
            share.path(0).asDouble(),
            limitsFromSettings && Double.isInfinite(configuredTeam.maxCpus())),
        decode(
            share.path(1).asDouble(),
            limitsFromSettings && Double.isInfinite(configuredTeam.maxGpus())),
        Double.POSITIVE_INFINITY);
  }

  private static double decode(double stored, boolean unlimited) {
    return unlimited || stored == UNLIMITED ? Double.POSITIVE_INFINITY : stored;
  }

  /** All entities' shares together. */
  Resources totalShares(String team) {
    Resources sum = Resources.NONE;
    for (ControllerId entity : settings.controllers()) {
      sum = sum.plus(shareOf(entity, team));
    }
    return sum;
  }

  /** Whether the shares add up to more than the limit in force. */
  boolean isOvercommitted(Team team) {
    if (!configuration.canChange()) {
      return false;
    }
    Resources total = totalShares(team.name());
    return total.cpus() > team.maxCpus() + QuotaAmounts.MIN_SHARE
        || total.gpus() > team.maxGpus() + QuotaAmounts.MIN_SHARE;
  }

  /** What of the limit in force is in no entity's share. */
  Resources unclaimedQuota(Team team) {
    Resources total = totalShares(team.name());
    return new Resources(
        unclaimedAmount(team.maxCpus(), total.cpus()),
        unclaimedAmount(team.maxGpus(), total.gpus()),
        0);
  }

  private static double unclaimedAmount(double limit, double claimed) {
    return Double.isInfinite(claimed) ? 0 : Math.max(0, limit - claimed);
  }

  /** A team's row with each entity's share changed; its revision is not part of it. */
  ObjectNode buildRow(Team team, BiFunction<ControllerId, Resources, Resources> change) {
    ObjectNode row = Cbor.newMap();
    for (ControllerId entity : settings.controllers()) {
      Resources share = change.apply(entity, shareOf(entity, team.name()));
      var value = row.putArray(entity.value());
      if (configuration.canChange()) {
        value.add(encode(share.cpus())).add(encode(share.gpus())).add(EXPLICIT_LIMITS);
      } else {
        value
            .add(QuotaAmounts.zeroIfUnlimited(share.cpus(), team.maxCpus()))
            .add(QuotaAmounts.zeroIfUnlimited(share.gpus(), team.maxGpus()));
      }
    }
    return row;
  }

  private static double encode(double amount) {
    return Double.isInfinite(amount) ? UNLIMITED : amount;
  }
}
