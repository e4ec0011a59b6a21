package io.violetrail.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Team;
import io.violetrail.model.Resources;
import io.violetrail.ownership.OwnedEntity;
import java.util.Optional;

/** Reduces an entity's quota share because the team's limit was lowered. */
final class QuotaReturn extends QuotaMove {
  private final Resources amount;
  private final Resources retained;

  /**
   * Creates a return.
   *
   * @param amount the amount to return; infinite where the share was unlimited before
   * @param retained the share that remains where {@code amount} is infinite
   */
  QuotaReturn(OwnedEntity entity, Team team, Resources amount, Resources retained) {
    super(entity, team);
    this.amount = amount;
    this.retained = retained;
  }

  @Override
  Resources withheld() {
    return amount;
  }

  @Override
  Optional<ObjectNode> draftRow(TeamQuotaShares quotaShares) {
    return quotaShares.isOvercommitted(team())
        ? Optional.of(
            quotaShares.buildRow(
                team(), (id, share) -> id.equals(entity().id()) ? remainingShare(share) : share))
        : Optional.empty();
  }

  private Resources remainingShare(Resources share) {
    return new Resources(
        Double.isInfinite(amount.cpus()) ? retained.cpus() : share.cpus() - amount.cpus(),
        Double.isInfinite(amount.gpus()) ? retained.gpus() : share.gpus() - amount.gpus(),
        0);
  }

  @Override
  String describe() {
    return "returned " + amount.cpus() + " cpus and " + amount.gpus() + " gpus";
  }
}
