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
 * The entities' shares of team quotas as stored in the state service, in one row per team.
 *
 * <p>An entity that is missing from a team's row has an even share of the limit in the settings
 * file. A share does not follow a change of the limit: it changes only by a write of the row. After
 * the limit was lowered, the sum of the shares exceeds it until the entities have returned parts of
 * their shares, and no task of the team is started meanwhile. After the limit was raised, the
 * difference can be claimed.
 *
 * <p>A stateless view of the rows as last read, used on the event loop's thread.
 */
final class TeamQuotaShares {
  /** The stored value of an unlimited amount. */
  private static final double UNLIMITED = -1;

  /**
   * The third element of a stored share whose unlimited amounts are stored as {@link #UNLIMITED}.
   * In a share without this element, an amount is unlimited if the settings file sets no limit for
   * it, and 0 is stored for it.
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

  /**
   * Returns an entity's share of a team's quota. Unlimited amounts are infinite; what quotas do not
   * limit always is.
   */
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
    return QuotaAmounts.quota(
        configuredTeam.maxCpus() / controllerCount, configuredTeam.maxGpus() / controllerCount);
  }

  private static Resources decode(JsonNode share, Team configuredTeam) {
    boolean limitsFromSettings = share.size() < 3 && configuredTeam != null;
    return QuotaAmounts.quota(
        decode(
            share.path(0).asDouble(),
            limitsFromSettings && Double.isInfinite(configuredTeam.maxCpus())),
        decode(
            share.path(1).asDouble(),
            limitsFromSettings && Double.isInfinite(configuredTeam.maxGpus())));
  }

  private static double decode(double stored, boolean unlimited) {
    return unlimited || stored == UNLIMITED ? Double.POSITIVE_INFINITY : stored;
  }

  /** Returns the sum of all entities' shares. */
  Resources totalShares(String team) {
    Resources sum = Resources.NONE;
    for (ControllerId entity : settings.controllers()) {
      sum = sum.plus(shareOf(entity, team));
    }
    return sum;
  }

  /**
   * Returns whether the sum of the shares exceeds the limit in force; always false if limits cannot
   * change.
   */
  boolean isOvercommitted(Team team) {
    if (!configuration.canChange()) {
      return false;
    }
    Resources total = totalShares(team.name());
    return total.cpus() > team.maxCpus() + QuotaAmounts.MIN_SHARE
        || total.gpus() > team.maxGpus() + QuotaAmounts.MIN_SHARE;
  }

  /** Returns the part of the limit in force that is in no entity's share. */
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

  /**
   * Returns a team's row with {@code change} applied to each entity's share. The row's revision is
   * not part of it.
   */
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
