package io.violetrail.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Team;
import io.violetrail.model.Resources;
import io.violetrail.ownership.OwnedEntity;
import java.util.Optional;

/** A part of a quota share that is given back, since the limit was lowered. */
final class QuotaReturn extends QuotaMove {
  private final Resources amount;
  private final Resources retained;

  /**
   * Creates a return.
   *
   * @param amount what is given back; infinite where the share had no limit before
   * @param retained the share that is left where {@code amount} is infinite
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
    return "gives back " + amount.cpus() + " cpus and " + amount.gpus() + " gpus";
  }
}
