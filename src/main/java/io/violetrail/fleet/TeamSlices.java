package io.violetrail.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings;
import io.violetrail.config.Settings.Team;
import io.violetrail.configuration.Configuration;
import io.violetrail.model.Amounts;
import io.violetrail.model.ControllerId;
import io.violetrail.ownership.Directory;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateWire.Entry;
import java.util.function.BiFunction;

/**
 * The entities' slices of teams' limits as the state service has them, one row for each team.
 *
 * <p>An entity that a team's row does not name has an even part of the limit in the platform's
 * file. A slice does not follow the limit in force by itself: what an entity may use changes by
 * writes of the row alone. Where the limit was lowered, the slices add up to more than it until
 * their entities have given parts of them back, and nothing of the team is started meanwhile; where
 * it was raised, the rest can be claimed.
 */
final class TeamSlices {
  /** Less of a limit than this is not worth a write. */
  static final double LEAST = 1e-3;

  static final Amounts NOTHING = new Amounts(0, 0, Double.POSITIVE_INFINITY);

  /** An amount without a limit, in a row. */
  private static final double UNLIMITED = -1;

  /**
   * The third element of a slice whose row says by itself what is unlimited. Without it that
   * follows from the platform's file, where 0 means no limit.
   */
  private static final int EXPLICIT = 1;

  private final Directory directory;
  private final Settings settings;
  private final Configuration configuration;

  TeamSlices(Directory directory, Settings settings, Configuration configuration) {
    this.directory = directory;
    this.settings = settings;
    this.configuration = configuration;
  }

  /** An entity's slice. */
  Amounts of(ControllerId entity, String team) {
    Team initial = settings.teams().get(team);
    Entry row = directory.slice(team);
    if (row != null && row.value().has(entity.value())) {
      return decoded(row.value().get(entity.value()), initial);
    }
    if (initial == null) {
      return NOTHING;
    }
    int parts = settings.controllers().size();
    return new Amounts(
        initial.cpusMax() / parts, initial.gpusMax() / parts, Double.POSITIVE_INFINITY);
  }

  private static Amounts decoded(JsonNode slice, Team initial) {
    boolean byFile = slice.size() < 3 && initial != null;
    return new Amounts(
        decoded(slice.path(0).asDouble(), byFile && Double.isInfinite(initial.cpusMax())),
        decoded(slice.path(1).asDouble(), byFile && Double.isInfinite(initial.gpusMax())),
        Double.POSITIVE_INFINITY);
  }

  private static double decoded(double stored, boolean unlimited) {
    return unlimited || stored == UNLIMITED ? Double.POSITIVE_INFINITY : stored;
  }

  /** All entities' slices together. */
  Amounts sum(String team) {
    Amounts sum = Amounts.NONE;
    for (ControllerId e : settings.controllers()) {
      sum = sum.plus(of(e, team));
    }
    return sum;
  }

  /** Whether the slices add up to more than the limit in force. */
  boolean exceed(Team team) {
    if (!configuration.canChange()) {
      return false;
    }
    Amounts all = sum(team.name());
    return all.cpus() > team.cpusMax() + LEAST || all.gpus() > team.gpusMax() + LEAST;
  }

  /** What of the limit in force is in no entity's slice. */
  Amounts unclaimed(Team team) {
    Amounts all = sum(team.name());
    return new Amounts(
        difference(team.cpusMax(), all.cpus()), difference(team.gpusMax(), all.gpus()), 0);
  }

  private static double difference(double limit, double claimed) {
    return Double.isInfinite(claimed) ? 0 : Math.max(0, limit - claimed);
  }

  /** A team's row with each slice changed; its stamp is not part of it. */
  ObjectNode row(Team team, BiFunction<ControllerId, Amounts, Amounts> change) {
    ObjectNode row = Cbor.map();
    for (ControllerId e : settings.controllers()) {
      Amounts slice = change.apply(e, of(e, team.name()));
      var value = row.putArray(e.value());
      if (configuration.canChange()) {
        value.add(encoded(slice.cpus())).add(encoded(slice.gpus())).add(EXPLICIT);
      } else {
        value.add(finite(slice.cpus(), team.cpusMax())).add(finite(slice.gpus(), team.gpusMax()));
      }
    }
    return row;
  }

  private static double encoded(double amount) {
    return Double.isInfinite(amount) ? UNLIMITED : amount;
  }

  /** An amount of something that has a limit; 0 of what has none, since nobody lacks it. */
  static double finite(double amount, double limit) {
    return Double.isInfinite(limit) ? 0 : amount;
  }
}
