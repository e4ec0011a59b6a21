package io.violetrail.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Team;
import io.violetrail.model.ControllerId;
import io.violetrail.model.Resources;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.StateSchema;
import io.violetrail.wire.StateStoreMessages.Transaction;
import java.util.Optional;

/**
 * A change of one owned entity's quota share of a team, as one write of the team's row. Drafted by
 * {@link QuotaMoveExecutor} at each attempt, from the newest view of the row.
 */
abstract class QuotaMove {
  private final OwnedEntity entity;
  private final Team team;

  QuotaMove(OwnedEntity entity, Team team) {
    this.entity = entity;
    this.team = team;
  }

  /** The share that a move changes; at most one move of it is in flight. */
  record Key(ControllerId entity, String team) {}

  final OwnedEntity entity() {
    return entity;
  }

  final Team team() {
    return team;
  }

  final Key key() {
    return new Key(entity.id(), team.name());
  }

  /** The state store's key of the team's row. */
  final String rowKey() {
    return StateSchema.QUOTA_SHARE_PREFIX + team.name();
  }

  /** The part of the entity's share that is out of use until the move's outcome is known. */
  abstract Resources withheld();

  /**
   * The team's row after the move, by the newest view of it; empty if the move is to be dropped.
   */
  abstract Optional<ObjectNode> draftRow(TeamQuotaShares quotaShares);

  /** Adds what else must be true when the move is applied. */
  void addConditions(Transaction transaction) {}

  /** What the move does, for the log, with the entity as the subject. */
  abstract String describe();
}
