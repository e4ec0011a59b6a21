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
 * A change of an owned entity's quota share of one team, made by one write of the team's row.
 * {@link QuotaMoveExecutor} drafts the write anew at each attempt, from the newest view of the row.
 */
abstract class QuotaMove {
  private final OwnedEntity entity;
  private final Team team;

  QuotaMove(OwnedEntity entity, Team team) {
    this.entity = entity;
    this.team = team;
  }

  /** Identifies the share that a move changes. At most one move of a share is in flight. */
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

  /** Returns the key of the team's row in the state store. */
  final String rowKey() {
    return StateSchema.QUOTA_SHARE_PREFIX + team.name();
  }

  /** Returns the part of the entity's share that is withheld until the move's outcome is known. */
  abstract Resources withheld();

  /**
   * Returns the team's row after the move, based on the newest view of it; empty if the move is no
   * longer needed or possible.
   */
  abstract Optional<ObjectNode> draftRow(TeamQuotaShares quotaShares);

  /** Adds further conditions to the move's write. */
  void addConditions(Transaction transaction) {}

  /** Describes the applied move for the log, as a predicate with the entity as its subject. */
  abstract String describe();
}
