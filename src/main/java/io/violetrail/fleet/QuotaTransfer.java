package io.violetrail.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings;
import io.violetrail.config.Settings.Team;
import io.violetrail.configuration.Configuration;
import io.violetrail.evidence.GoneProof;
import io.violetrail.model.Amounts;
import io.violetrail.model.ControllerId;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.ownership.Directory;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.Rows;
import io.violetrail.peer.ResourceRequest;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.Placement;
import io.violetrail.state.StateStore;
import io.violetrail.state.StateStore.Unavailable;
import io.violetrail.wire.StateWire.Change;
import io.violetrail.wire.StateWire.Entry;
import io.violetrail.wire.StateWire.Outcome;
import io.violetrail.wire.StateWire.Txn;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves slices of teams' limits: from one entity to another on demand, back where a limit was
 * lowered, and from what nobody has claimed of a raised one.
 *
 * <p>Two properties keep a team within its limit. What an entity's tasks use is never more than its
 * slice: an owner takes a part of a slice out of use before it asks for the write that gives it
 * away, and takes it back into use only once a reading after the write's outcome shows that it
 * still has it. And nothing is started while the slices add up to more than the limit in force.
 * More of a limit is claimed only on the condition that the revision which allows it is still in
 * force, so whoever knows a revision and the rows as of it knows the largest sum there can be.
 */
public final class QuotaTransfer {
  private static final Logger LOG = LoggerFactory.getLogger(QuotaTransfer.class);

  /** So often a move is drawn up anew when others have rewritten the row meanwhile. */
  private static final int MAX_TRIES = 4;

  private static final double AGAIN_S = 0.3;

  /** The part of a slice that its entity is expected to have free. */
  private static final double EXPECTED_FREE = 0.5;

  private static final Amounts UNBOUNDED =
      new Amounts(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 0);

  private final Loop loop;
  private final StateStore store;
  private final Directory directory;
  private final Membership membership;
  private final Settings settings;
  private final Configuration configuration;
  private final TeamSlices slices;

  /**
   * Moves under way by entity and team, with the part of the entity's slice that is out of use
   * until their outcome is known.
   */
  private final Map<String, Amounts> underWay = new HashMap<>();

  /**
   * Creates the quota transfers of one controller between the entities that share each team's
   * limit.
   */
  public QuotaTransfer(
      Loop loop,
      StateStore store,
      Directory directory,
      Membership membership,
      Settings settings,
      Configuration configuration) {
    this.loop = loop;
    this.store = store;
    this.directory = directory;
    this.membership = membership;
    this.settings = settings;
    this.configuration = configuration;
    this.slices = new TeamSlices(directory, settings, configuration);
  }

  /**
   * What may be started of a held entity's slice of a team's limit: nothing while the slices add up
   * to more than the limit in force.
   */
  public Amounts free(OwnedEntity h, String team, double now) {
    Team t = configuration.team(team);
    if (t == null) {
      return Amounts.NONE;
    }
    return slices.exceed(t) ? TeamSlices.NOTHING : unused(h, team, now);
  }

  /** What is left of a held entity's slice, whatever the limit in force says. */
  private Amounts unused(OwnedEntity h, String team, double now) {
    Amounts outOfUse = underWay.getOrDefault(key(h, team), Amounts.NONE);
    if (Double.isInfinite(outOfUse.cpus()) || Double.isInfinite(outOfUse.gpus())) {
      return TeamSlices.NOTHING;
    }
    return slices.of(h.entity(), team).minus(outOfUse).minus(h.used(team, now));
  }

  private static String key(OwnedEntity h, String team) {
    return h.entity() + "/" + team;
  }

  /**
   * Splits a request between as few entities as may have enough, those with the largest slices
   * first. Where everybody is asked for all of it at once, all but one write the row in vain, and
   * the rest of what is lacking waits for the next asking.
   */
  List<ResourceRequest> split(ResourceRequest request, ControllerId to) {
    List<ControllerId> donors = new ArrayList<>(settings.controllers());
    donors.remove(to);
    donors.sort(
        Comparator.comparingDouble(
            (ControllerId e) -> -share(slices.of(e, request.team()), request.team())));
    List<ResourceRequest> parts = new ArrayList<>();
    Amounts rest = new Amounts(request.cpus(), request.gpus(), 0);
    for (ControllerId donor : donors) {
      Amounts expected = slices.of(donor, request.team()).times(EXPECTED_FREE);
      boolean last = donor.equals(donors.get(donors.size() - 1));
      Amounts part = last ? rest : smaller(rest, expected);
      if (worthAWrite(part)) {
        parts.add(request.from(donor, part));
        rest = rest.minus(part);
      }
    }
    return parts;
  }

  /** How much of the team's limit an amount is. */
  private double share(Amounts a, String team) {
    Team t = configuration.team(team);
    double cpus = t == null || Double.isInfinite(t.cpusMax()) ? 0 : a.cpus() / t.cpusMax();
    double gpus = t == null || Double.isInfinite(t.gpusMax()) ? 0 : a.gpus() / t.gpusMax();
    return Math.max(cpus, gpus);
  }

  private static boolean worthAWrite(Amounts a) {
    return a.cpus() >= TeamSlices.LEAST || a.gpus() >= TeamSlices.LEAST;
  }

  private static Amounts smaller(Amounts a, Amounts b) {
    return new Amounts(Math.min(a.cpus(), b.cpus()), Math.min(a.gpus(), b.gpus()), 0);
  }

  private static Amounts larger(Amounts a, Amounts b) {
    return new Amounts(Math.max(a.cpus(), b.cpus()), Math.max(a.gpus(), b.gpus()), 0);
  }

  /**
   * Gives what can be spared of a held entity's slice to another entity. Any part of it, not whole
   * tasks alone: a task that needs more than one entity's slice, or a gang that needs all of the
   * limit, is put together from what each of the others can spare.
   */
  void give(OwnedEntity h, ControllerId to, ResourceRequest request) {
    Team team = configuration.team(request.team());
    if (team == null || underWay.containsKey(key(h, request.team()))) {
      return;
    }
    double now = loop.seconds();
    Amounts spare = free(h, request.team(), now).minus(waiting(h, request, now)).notNegative();
    Amounts part =
        new Amounts(
            TeamSlices.finite(Math.min(request.cpus(), spare.cpus()), team.cpusMax()),
            TeamSlices.finite(Math.min(request.gpus(), spare.gpus()), team.gpusMax()),
            0);
    if (!worthAWrite(part)) {
      return;
    }
    Amounts enough =
        request.asksAll()
            ? slices.of(to, request.team()).plus(new Amounts(request.cpus(), request.gpus(), 0))
            : UNBOUNDED;
    start(new Gift(h, team, part, to, enough), part);
  }

  /** What jobs here that go before the request still wait for. */
  private static Amounts waiting(OwnedEntity h, ResourceRequest request, double now) {
    Amounts sum = Amounts.NONE;
    for (Job job : h.jobs().values()) {
      if (job.phase() == Job.Phase.OPEN
          && RequestOrder.before(job, request)
          && job.spec().team().equals(request.team())
          && job.gathers(now)) {
        sum = sum.plus(job.spec().task().times(job.mayStart(now)));
      }
    }
    return new Amounts(sum.cpus(), sum.gpus(), 0);
  }

  /**
   * Takes what is lacking from the part of a raised limit that is in nobody's slice; false if there
   * is no such part.
   */
  boolean claim(OwnedEntity h, String team, Amounts lacking) {
    Team t = configuration.team(team);
    if (t == null || !configuration.canChange() || slices.exceed(t)) {
      return false;
    }
    if (!worthAWrite(smaller(lacking, slices.unclaimed(t)))) {
      return false;
    }
    if (!underWay.containsKey(key(h, team))) {
      start(new Claim(h, t, lacking, configuration.stamp()), Amounts.NONE);
    }
    return true;
  }

  /**
   * Gives back what held entities have above even parts of lowered limits, as far as nothing of
   * theirs uses it. What runs goes on to its end, and what becomes free is given back then. The
   * parts are even ones, whatever the slices were: in proportion to them, each write made the next
   * one due.
   */
  public void returnExcess(Collection<OwnedEntity> holdings) {
    if (!configuration.canChange() || !membership.valid() || !configuration.fresh()) {
      return;
    }
    double now = loop.seconds();
    for (Team team : configuration.teams()) {
      if (slices.exceed(team)) {
        for (OwnedEntity h : holdings) {
          if (h.active() && !underWay.containsKey(key(h, team.name()))) {
            returnExcess(h, team, now);
          }
        }
      }
    }
  }

  private void returnExcess(OwnedEntity h, Team team, double now) {
    Amounts slice = slices.of(h.entity(), team.name());
    int parts = settings.controllers().size();
    Amounts due = smaller(slice, new Amounts(team.cpusMax() / parts, team.gpusMax() / parts, 0));
    Amounts keep = larger(due, h.used(team.name(), now));
    Amounts excess = new Amounts(slice.cpus() - keep.cpus(), slice.gpus() - keep.gpus(), 0);
    // Unlimited before and after: nothing of it is excess.
    excess = new Amounts(number(excess.cpus()), number(excess.gpus()), 0).notNegative();
    if (worthAWrite(excess)) {
      start(new Return(h, team, excess, keep), excess);
    }
  }

  private static double number(double amount) {
    return Double.isNaN(amount) ? 0 : amount;
  }

  /**
   * Takes back placements that no worker was told of, of teams whose slices exceed their limits:
   * they were decided on by the revision before.
   */
  public void dropUnsent(Collection<OwnedEntity> holdings) {
    double now = loop.seconds();
    for (OwnedEntity h : holdings) {
      h.machines().values().stream()
          .flatMap(m -> List.copyOf(m.tasks().values()).stream())
          .filter(Placement::revocable)
          .filter(p -> exceeded(p.job().spec().team()))
          .toList()
          .forEach(p -> h.unplace(p, now, GoneProof.NEVER_SENT));
    }
  }

  private boolean exceeded(String team) {
    Team t = configuration.team(team);
    return t == null || slices.exceed(t);
  }

  /** A change of one held entity's slice. */
  private abstract static class Move {
    final OwnedEntity holder;
    final Team team;

    Move(OwnedEntity holder, Team team) {
      this.holder = holder;
      this.team = team;
    }

    String key() {
      return QuotaTransfer.key(holder, team.name());
    }

    String row() {
      return Rows.SLICE + team.name();
    }

    /** The team's row after the move, by the newest view of it; null if it is to be dropped. */
    abstract ObjectNode draft(TeamSlices slices);

    /** What else must hold when it is applied. */
    void conditions(Txn txn) {}

    abstract String what();
  }

  /**
   * A part of a slice for another entity. What the target has been given by others since the
   * request is not given once more.
   */
  private static final class Gift extends Move {
    private final Amounts part;
    private final ControllerId to;
    private final Amounts enough;

    Gift(OwnedEntity holder, Team team, Amounts part, ControllerId to, Amounts enough) {
      super(holder, team);
      this.part = part;
      this.to = to;
      this.enough = enough;
    }

    @Override
    ObjectNode draft(TeamSlices slices) {
      Amounts has = slices.of(to, team.name());
      Amounts lacking =
          new Amounts(missing(enough.cpus(), has.cpus()), missing(enough.gpus(), has.gpus()), 0);
      Amounts now = smaller(part, lacking);
      if (!worthAWrite(now)) {
        return null;
      }
      return slices.row(
          team,
          (e, s) -> e.equals(holder.entity()) ? s.minus(now) : e.equals(to) ? s.plus(now) : s);
    }

    /** What is unlimited is never missing: its part of the gift is 0 anyway. */
    private static double missing(double enough, double has) {
      return Double.isInfinite(enough) ? enough : Math.max(0, enough - has);
    }

    @Override
    String what() {
      return "gives " + to + " up to " + part.cpus() + " cpus and " + part.gpus() + " gpus";
    }
  }

  /** A part of a slice given back, since the limit was lowered. */
  private static final class Return extends Move {
    private final Amounts part;
    private final Amounts keep;

    Return(OwnedEntity holder, Team team, Amounts part, Amounts keep) {
      super(holder, team);
      this.part = part;
      this.keep = keep;
    }

    @Override
    ObjectNode draft(TeamSlices slices) {
      return slices.exceed(team)
          ? slices.row(team, (e, s) -> e.equals(holder.entity()) ? rest(s) : s)
          : null;
    }

    private Amounts rest(Amounts slice) {
      return new Amounts(
          Double.isInfinite(part.cpus()) ? keep.cpus() : slice.cpus() - part.cpus(),
          Double.isInfinite(part.gpus()) ? keep.gpus() : slice.gpus() - part.gpus(),
          0);
    }

    @Override
    String what() {
      return "gives back " + part.cpus() + " cpus and " + part.gpus() + " gpus";
    }
  }

  /** More of a raised limit, while the revision that allows it is in force. */
  private static final class Claim extends Move {
    private final Amounts lacking;
    private final long configurationStamp;

    Claim(OwnedEntity holder, Team team, Amounts lacking, long configurationStamp) {
      super(holder, team);
      this.lacking = lacking;
      this.configurationStamp = configurationStamp;
    }

    @Override
    ObjectNode draft(TeamSlices slices) {
      Amounts part = smaller(lacking, slices.unclaimed(team));
      if (!worthAWrite(part)) {
        return null;
      }
      return slices.row(team, (e, s) -> e.equals(holder.entity()) ? s.plus(part) : s);
    }

    @Override
    void conditions(Txn txn) {
      txn.when(Rows.CONFIGURATION, configurationStamp);
    }

    @Override
    String what() {
      return "claims up to " + lacking.cpus() + " cpus and " + lacking.gpus() + " gpus";
    }
  }

  private void start(Move move, Amounts outOfUse) {
    underWay.put(move.key(), outOfUse);
    attempt(move, 1);
  }

  private void attempt(Move move, int tries) {
    ObjectNode[] drawn = new ObjectNode[1];
    Futures.logFailure(
        store
            .settleLate(
                () -> {
                  drawn[0] = covered(move) ? move.draft(slices) : null;
                  return drawn[0] == null ? null : transaction(move, drawn[0]);
                })
            .whenComplete(
                (outcome, failure) -> {
                  if (drawn[0] == null) {
                    underWay.remove(move.key());
                  } else if (failure == null && outcome.applied()) {
                    applied(move, drawn[0], outcome);
                  } else {
                    refused(move, outcome, tries);
                  }
                }),
        "transfer quota");
  }

  /**
   * Whether the stored slice, without what is out of use, still covers what is used. A try whose
   * answer was lost may have been applied: then the part is missing from the slice already, and
   * giving it once more would take what runs.
   */
  private boolean covered(Move move) {
    Amounts rest = unused(move.holder, move.team.name(), loop.seconds());
    return move.holder.active()
        && rest.cpus() >= -TeamSlices.LEAST
        && rest.gpus() >= -TeamSlices.LEAST;
  }

  private Txn transaction(Move move, ObjectNode row) {
    Entry before = directory.slice(move.team.name());
    Txn txn =
        move.holder
            .fenced()
            .when(move.row(), before == null ? 0 : before.stamp())
            .set(move.row(), row);
    move.conditions(txn);
    return txn;
  }

  private void applied(Move move, ObjectNode row, Outcome outcome) {
    directory.apply(new Change(move.row(), row, outcome.revision()));
    underWay.remove(move.key());
    LOG.info("entity {} {} of team {}", move.holder.entity(), move.what(), move.team.name());
  }

  /**
   * Somebody else has rewritten the row, an earlier try has been applied, or the entity has moved.
   * The part stays out of use until a reading shows which. That reading is of the one row: a
   * listing of all common rows after each refusal was most of what controllers read where teams are
   * many. No try can be applied after it, since its condition has failed for good.
   */
  private void refused(Move move, Outcome outcome, int tries) {
    boolean moved = outcome == null || outcome.failed().contains(Rows.entity(move.holder.entity()));
    if (moved) {
      membership.relistThen(() -> underWay.remove(move.key()));
      return;
    }
    Futures.logFailure(
        store
            .get(move.row())
            .whenComplete(
                (entry, failure) -> {
                  if (failure != null) {
                    Unavailable why = Unavailable.of(failure);
                    LOG.debug("slices of team {} not read: {}", move.team.name(), why.getMessage());
                    loop.after(AGAIN_S, () -> refused(move, outcome, tries));
                    return;
                  }
                  if (entry.value() != null) {
                    directory.apply(new Change(move.row(), entry.value(), entry.stamp()));
                  }
                  boolean superseded = outcome.failed().contains(Rows.CONFIGURATION);
                  if (tries < MAX_TRIES && !superseded) {
                    attempt(move, tries + 1);
                  } else {
                    underWay.remove(move.key());
                  }
                }),
        "read a quota transfer's outcome");
  }
}
