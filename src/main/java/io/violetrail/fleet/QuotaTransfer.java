package io.violetrail.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings;
import io.violetrail.config.Settings.Team;
import io.violetrail.model.Amounts;
import io.violetrail.model.ControllerId;
import io.violetrail.net.Loop;
import io.violetrail.ownership.Directory;
import io.violetrail.ownership.Holding;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.Rows;
import io.violetrail.peer.ResourceRequest;
import io.violetrail.scheduling.Job;
import io.violetrail.state.StateStore;
import io.violetrail.state.StateStore.Unavailable;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateWire.Change;
import io.violetrail.wire.StateWire.Entry;
import io.violetrail.wire.StateWire.Outcome;
import io.violetrail.wire.StateWire.Txn;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The entities' slices of teams' limits, and their transfer from one entity to another.
 *
 * <p>All slices of a team stand in one row, so their sum is kept by every write of it. An entity's
 * owner takes a part of its own slice out of use before it asks for the write that gives it away,
 * and takes it back into use only once a reading after the write's outcome shows that it still has
 * it.
 */
public final class QuotaTransfer {
  private static final Logger LOG = LoggerFactory.getLogger(QuotaTransfer.class);

  /** Less of a limit than this is not worth a write. */
  private static final double LEAST = 1e-3;

  /** So often a transfer is drawn up anew when others have rewritten the row meanwhile. */
  private static final int MAX_TRIES = 4;

  private static final double AGAIN_S = 0.3;

  private static final Amounts UNBOUNDED =
      new Amounts(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 0);

  /** The part of a slice that its entity is expected to have free. */
  private static final double EXPECTED_FREE = 0.5;

  private final Loop loop;
  private final StateStore store;
  private final Directory directory;
  private final Membership membership;
  private final Settings settings;

  /** Parts of own slices that are on their way to another entity: no longer used, not yet gone. */
  private final Map<String, Amounts> leaving = new HashMap<>();

  public QuotaTransfer(
      Loop loop, StateStore store, Directory directory, Membership membership, Settings settings) {
    this.loop = loop;
    this.store = store;
    this.directory = directory;
    this.membership = membership;
    this.settings = settings;
  }

  /** What is left of a held entity's slice of a team's limit. */
  public Amounts free(Holding h, String team, double now) {
    return stored(h.entity(), team)
        .minus(leaving.getOrDefault(key(h, team), Amounts.NONE))
        .minus(h.used(team, now));
  }

  private static String key(Holding h, String team) {
    return h.entity() + "/" + team;
  }

  private Amounts stored(ControllerId entity, String team) {
    Team t = settings.teams().get(team);
    if (t == null) {
      return Amounts.NONE;
    }
    Entry row = directory.slice(team);
    if (row != null && row.value().has(entity.value())) {
      var v = row.value().get(entity.value());
      return new Amounts(
          amount(v.path(0).asDouble(), t.cpusMax()),
          amount(v.path(1).asDouble(), t.gpusMax()),
          Double.POSITIVE_INFINITY);
    }
    int parts = settings.controllers().size();
    return new Amounts(t.cpusMax() / parts, t.gpusMax() / parts, Double.POSITIVE_INFINITY);
  }

  private static double amount(double stored, double max) {
    return Double.isInfinite(max) ? max : stored;
  }

  /**
   * Splits a request between as few entities as may have enough, those with the largest slices
   * first. Where everybody is asked for all of it at once, all but one write the row in vain, and
   * the rest of what is lacking waits for the next asking.
   */
  List<ResourceRequest> split(ResourceRequest request, ControllerId to) {
    List<ControllerId> donors = new ArrayList<>(settings.controllers());
    donors.remove(to);
    if (donors.isEmpty()) {
      return List.of();
    }
    donors.sort(
        Comparator.comparingDouble(
            (ControllerId e) -> -share(stored(e, request.team()), request.team())));
    List<ResourceRequest> parts = new ArrayList<>();
    Amounts rest = new Amounts(request.cpus(), request.gpus(), 0);
    for (ControllerId donor : donors) {
      Amounts expected = stored(donor, request.team()).times(EXPECTED_FREE);
      boolean last = donor.equals(donors.get(donors.size() - 1));
      Amounts part = last ? rest : smaller(rest, expected);
      if (part.cpus() >= LEAST || part.gpus() >= LEAST) {
        parts.add(request.from(donor, part));
        rest = rest.minus(part);
      }
    }
    return parts;
  }

  /** How much of the team's limit an amount is. */
  private double share(Amounts a, String team) {
    Team t = settings.teams().get(team);
    double cpus = t == null || Double.isInfinite(t.cpusMax()) ? 0 : a.cpus() / t.cpusMax();
    double gpus = t == null || Double.isInfinite(t.gpusMax()) ? 0 : a.gpus() / t.gpusMax();
    return Math.max(cpus, gpus);
  }

  private static Amounts smaller(Amounts a, Amounts b) {
    return new Amounts(Math.min(a.cpus(), b.cpus()), Math.min(a.gpus(), b.gpus()), 0);
  }

  /**
   * Gives what can be spared of a held entity's slice to another entity. Any part of it, not whole
   * tasks alone: a task that needs more than one entity's slice, or a gang that needs all of the
   * limit, is put together from what each of the others can spare.
   */
  void give(Holding h, ControllerId to, ResourceRequest request) {
    Team team = settings.teams().get(request.team());
    if (team == null || leaving.containsKey(key(h, request.team()))) {
      return;
    }
    double now = loop.seconds();
    Amounts spare = free(h, request.team(), now).minus(waiting(h, request, now)).notNegative();
    Amounts moved =
        new Amounts(
            finite(Math.min(request.cpus(), spare.cpus()), team.cpusMax()),
            finite(Math.min(request.gpus(), spare.gpus()), team.gpusMax()),
            0);
    if (moved.cpus() < LEAST && moved.gpus() < LEAST) {
      return;
    }
    leaving.put(key(h, request.team()), moved);
    Amounts enough =
        request.asksAll()
            ? stored(to, request.team()).plus(new Amounts(request.cpus(), request.gpus(), 0))
            : UNBOUNDED;
    transfer(new Transfer(h, to, team, moved, enough), 1);
  }

  private static double finite(double amount, double max) {
    return Double.isInfinite(max) ? 0 : amount;
  }

  /** What jobs here that go before the request still wait for. */
  private static Amounts waiting(Holding h, ResourceRequest request, double now) {
    Amounts sum = Amounts.NONE;
    for (Job job : h.jobs.values()) {
      if (job.phase == Job.Phase.OPEN
          && RequestOrder.before(job, request)
          && job.spec.team().equals(request.team())
          && job.gathers(now)) {
        sum = sum.plus(job.spec.task().times(job.mayStart(now)));
      }
    }
    return new Amounts(sum.cpus(), sum.gpus(), 0);
  }

  /**
   * A part of a slice on its way.
   *
   * @param enough what the target's slice need not exceed: what others have given it since the
   *     request is not given once more
   */
  private record Transfer(Holding from, ControllerId to, Team team, Amounts moved, Amounts enough) {
    String key() {
      return QuotaTransfer.key(from, team.name());
    }

    String row() {
      return Rows.SLICE + team.name();
    }
  }

  private void transfer(Transfer t, int tries) {
    ObjectNode[] drawn = new ObjectNode[1];
    store
        .settleLate(
            () -> {
              drawn[0] = draft(t);
              return drawn[0] == null ? null : transaction(t, drawn[0]);
            })
        .whenComplete(
            (outcome, failure) -> {
              if (drawn[0] == null) {
                leaving.remove(t.key());
              } else if (failure == null && outcome.applied()) {
                applied(t, drawn[0], outcome);
              } else {
                refused(t, outcome, tries);
              }
            });
  }

  /**
   * The team's row after the transfer, by the newest view of it; null if the entity cannot spare
   * the part any more. A try whose answer was lost may have been applied: then the part is missing
   * from the stored slice already, and giving it once more would take what is in use.
   */
  private ObjectNode draft(Transfer t) {
    Amounts rest = free(t.from(), t.team().name(), loop.seconds());
    if (!t.from().active() || rest.cpus() < -LEAST || rest.gpus() < -LEAST) {
      return null;
    }
    Amounts lacking = t.enough().minus(stored(t.to(), t.team().name())).notNegative();
    Amounts part = smaller(t.moved(), lacking);
    if (part.cpus() < LEAST && part.gpus() < LEAST) {
      return null;
    }
    ObjectNode value = Cbor.map();
    for (ControllerId e : settings.controllers()) {
      Amounts s = stored(e, t.team().name());
      s = e.equals(t.from().entity()) ? s.minus(part) : e.equals(t.to()) ? s.plus(part) : s;
      value
          .putArray(e.value())
          .add(finite(s.cpus(), t.team().cpusMax()))
          .add(finite(s.gpus(), t.team().gpusMax()));
    }
    return value;
  }

  private Txn transaction(Transfer t, ObjectNode value) {
    Entry before = directory.slice(t.team().name());
    return t.from().fenced().when(t.row(), before == null ? 0 : before.stamp()).set(t.row(), value);
  }

  private void applied(Transfer t, ObjectNode value, Outcome outcome) {
    directory.apply(new Change(t.row(), value, outcome.revision()));
    leaving.remove(t.key());
    LOG.info(
        "entity {} gives {} up to {} cpus and {} gpus of team {}",
        t.from().entity(),
        t.to(),
        t.moved().cpus(),
        t.moved().gpus(),
        t.team().name());
  }

  /**
   * Somebody else has rewritten the row, an earlier try has been applied, or the entity has moved.
   * The part stays out of use until a reading shows which. That reading is of the one row: a
   * listing of all common rows after each refusal was most of what controllers read where teams are
   * many. No try can be applied after it, since its condition has failed for good.
   */
  private void refused(Transfer t, Outcome outcome, int tries) {
    if (outcome == null || outcome.failed().contains(Rows.entity(t.from().entity()))) {
      membership.relistThen(() -> leaving.remove(t.key()));
      return;
    }
    store
        .get(t.row())
        .whenComplete(
            (entry, failure) -> {
              if (failure != null) {
                Unavailable why = Unavailable.of(failure);
                LOG.debug("slices of team {} not read: {}", t.team().name(), why.getMessage());
                loop.after(AGAIN_S, () -> refused(t, outcome, tries));
                return;
              }
              if (entry.value() != null) {
                directory.apply(new Change(t.row(), entry.value(), entry.stamp()));
              }
              if (tries < MAX_TRIES) {
                transfer(t, tries + 1);
              } else {
                leaving.remove(t.key());
              }
            });
  }
}
