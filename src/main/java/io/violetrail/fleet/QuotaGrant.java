package io.violetrail.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Team;
import io.violetrail.model.ControllerId;
import io.violetrail.model.Resources;
import io.violetrail.ownership.OwnedEntity;
import java.util.Optional;

/**
 * Moves a part of an entity's quota share to another entity. The grant is reduced by what the
 * recipient has received from other donors since its request.
 */
final class QuotaGrant extends QuotaMove {
  private final Resources amount;
  private final ControllerId recipient;
  private final Resources sufficientShare;

  /**
   * Creates a grant.
   *
   * @param amount the most that is granted
   * @param sufficientShare the recipient's share is not raised above this; infinite for no bound
   */
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
  Resources withheld() {
    return amount;
  }

  @Override
  Optional<ObjectNode> draftRow(TeamQuotaShares quotaShares) {
    Resources currentShare = quotaShares.shareOf(recipient, team().name());
    Resources lacking =
        new Resources(
            missingAmount(sufficientShare.cpus(), currentShare.cpus()),
            missingAmount(sufficientShare.gpus(), currentShare.gpus()),
            0);
    Resources granted = QuotaAmounts.min(amount, lacking);
    return QuotaAmounts.isWorthWriting(granted)
        ? Optional.of(
            quotaShares.buildRow(team(), (id, share) -> shareAfterGrant(id, share, granted)))
        : Optional.empty();
  }

  private Resources shareAfterGrant(ControllerId id, Resources share, Resources granted) {
    if (id.equals(entity().id())) {
      return share.minus(granted);
    }
    return id.equals(recipient) ? share.plus(granted) : share;
  }

  /**
   * Returns how much is missing up to the sufficient share; infinite if that is infinite. For an
   * unlimited resource the result does not matter: {@code amount} is 0 for it.
   */
  private static double missingAmount(double sufficient, double current) {
    return Double.isInfinite(sufficient) ? sufficient : Math.max(0, sufficient - current);
  }

  @Override
  String describe() {
    return "granted "
        + recipient
        + " up to "
        + amount.cpus()
        + " cpus and "
        + amount.gpus()
        + " gpus";
  }
}
