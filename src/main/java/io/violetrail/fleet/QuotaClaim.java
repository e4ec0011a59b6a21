package io.violetrail.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Team;
import io.violetrail.model.Resources;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.StateSchema;
import io.violetrail.wire.StateStoreMessages.Transaction;
import java.util.Optional;

/**
 * Adds a part of a raised limit that is in no entity's share to an entity's quota share, on the
 * condition that the configuration revision which allows it is still in force.
 */
final class QuotaClaim extends QuotaMove {
  private final Resources lacking;
  private final long configurationModRevision;

  QuotaClaim(OwnedEntity entity, Team team, Resources lacking, long configurationModRevision) {
    super(entity, team);
    this.lacking = lacking;
    this.configurationModRevision = configurationModRevision;
  }

  @Override
  Resources withheld() {
    return Resources.NONE;
  }

  @Override
  Optional<ObjectNode> draftRow(TeamQuotaShares quotaShares) {
    Resources claimed = QuotaAmounts.min(lacking, quotaShares.unclaimedQuota(team()));
    return QuotaAmounts.isWorthWriting(claimed)
        ? Optional.of(
            quotaShares.buildRow(
                team(), (id, share) -> id.equals(entity().id()) ? share.plus(claimed) : share))
        : Optional.empty();
  }

  @Override
  void addConditions(Transaction transaction) {
    transaction.ifRevision(StateSchema.CONFIGURATION_KEY, configurationModRevision);
  }

  @Override
  String describe() {
    return "claimed up to " + lacking.cpus() + " cpus and " + lacking.gpus() + " gpus";
  }
}
