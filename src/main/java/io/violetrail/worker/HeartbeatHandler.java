package io.violetrail.worker;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.violetrail.api.Jobs;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.evidence.Departure;
import io.violetrail.fleet.Machine;
import io.violetrail.model.ControllerId;
import io.violetrail.model.MachineId;
import io.violetrail.model.Version;
import io.violetrail.net.Futures;
import io.violetrail.net.Service.Answer;
import io.violetrail.node.Node;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.Rows.MachineRow;
import io.violetrail.ownership.Timing;
import io.violetrail.scheduling.Placement;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.Cbor.Malformed;
import io.violetrail.wire.HeartbeatMessages;
import io.violetrail.wire.HeartbeatMessages.Command;
import io.violetrail.wire.HeartbeatMessages.Command.Verb;
import io.violetrail.wire.HeartbeatMessages.State;
import io.violetrail.wire.HeartbeatMessages.TaskReport;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes the workers' reports and answers with commands.
 *
 * <p>Launches travel in answers only. A worker has one report in flight and drops late answers, so
 * its next report always shows whether a launch was taken: nothing is launched late.
 */
public final class HeartbeatHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);

  /** Keeps an answer below the protocol's 64 KiB. */
  private static final int MAX_ORDERS = 400;

  /** From a lapse until it is known everywhere. */
  private static final double LAPSE_SHOWS_S = 0.5;

  private static final int MAX_SENT_AWAY = 2_000;

  /** A rental's answer and its record take this long when the services are slow. */
  private static final double RECORDED_S = 2.5;

  /** Before that, workers without a record are those that were there before the controllers. */
  private static final double SETTLED_S = 10;

  private final Node node;
  private final Jobs jobs;

  /** When each worker was last told to report to its owner. */
  private final Map<MachineId, Double> sentAwayS = new HashMap<>();

  /** When each worker without a record was first heard. */
  private final Cache<MachineId, Double> firstSeenS =
      CacheBuilder.newBuilder().maximumSize(MAX_SENT_AWAY).build();

  private final double startedS;
  private final LongPolls parked;
  private final WorkerContacts contacts;
  private final ReportReconciler reconciler;

  /** Creates the handler of the heartbeats that reach one controller. */
  public HeartbeatHandler(Node node, Jobs jobs) {
    this.node = node;
    this.jobs = jobs;
    this.startedS = node.loop.seconds();
    this.parked = new LongPolls(node.loop, node.settings.workers().reportS());
    this.contacts = new WorkerContacts(node.loop, node.evidence, node.settings.workers().reportS());
    this.reconciler = new ReportReconciler(node, jobs);
  }

  /**
   * Handles a heartbeat and answers it at once or when there are instructions for the worker; a
   * malformed one is answered with status 400.
   */
  public void handle(byte[] body, Consumer<Answer> answered) {
    WorkerReport report;
    try {
      report = HeartbeatMessages.report(Cbor.parse(body));
    } catch (Malformed e) {
      answered.accept(Answer.error(400, e.getMessage()));
      return;
    }
    WorkerContacts.Contact contact = contacts.take(report);
    if (contact == null) {
      answered.accept(HeartbeatReply.stay(report).answer());
      return;
    }
    handle(
        report,
        reply -> {
          contacts.replied(report.machine(), contact, reply);
          answered.accept(reply.answer());
        });
  }

  private void handle(WorkerReport report, Consumer<HeartbeatReply> done) {
    node.reachability.heard(report);
    LongPolls.Report before = parked.take(report.machine());
    if (before != null) {
      // Its worker has given that one up.
      before.done().accept(HeartbeatReply.refused("a newer report is here"));
    }
    if (node.gone.contains(report.machine())) {
      // Taken back for certain, though its record still stands: a report that was held back brought
      // the machine into use again, with tasks that had been started elsewhere since.
      done.accept(HeartbeatReply.elsewhere(null));
      return;
    }
    MachineRow row = node.directory.machine(report.machine());
    if (row == null) {
      adopt(report, done);
      return;
    }
    OwnedEntity holding = node.membership.holding(row.entity());
    if (holding == null || holding.phase == OwnedEntity.Phase.RELEASING) {
      done.accept(elsewhere(row, holding, report));
      return;
    }
    if (!node.membership.mayKeepAlive()) {
      done.accept(HeartbeatReply.refused("not entitled"));
      return;
    }
    Machine machine = holding.active() ? node.machine(holding, row) : null;
    if (machine == null) {
      Version token =
          holding.row.version().compareTo(row.term()) >= 0 ? holding.row.version() : row.term();
      done.accept(renew(holding, token, report, List.of()));
      return;
    }
    List<Command> orders = new ArrayList<>();
    HeartbeatReply now = report(holding, machine, report, orders);
    if (mayWait(holding, machine, report, orders)) {
      parked.park(machine, report, orders, done, () -> answer(machine.id()));
    } else {
      done.accept(now);
    }
  }

  /**
   * Renews a worker's lease, which is done here and nowhere else: with the same answer it is told
   * to halt what its report shows of jobs that are over. It takes both or neither, so no lease is
   * kept for a task whose end this owner knows, whether its own lease stands or is in doubt.
   *
   * <p>An owner that has not read its entity's rows yet knows no ends. Then only workers without
   * tasks are sure of their lease; the others are for {@link Timing#unknowingS} at most, and stay
   * here while theirs run on.
   */
  private HeartbeatReply renew(
      OwnedEntity h, Version token, WorkerReport report, List<Command> orders) {
    if (!h.active()) {
      return report.holdsTasks() && !node.membership.mayRenewUnknowing(h)
          ? HeartbeatReply.stay(report)
          : HeartbeatReply.renewed(token, List.of());
    }
    Set<Command> all = new LinkedHashSet<>();
    for (TaskReport p : report.pieces()) {
      if (p.state() != State.EXITED && jobs.over(h, p.task().job())) {
        all.add(new Command(Verb.HALT, p.task(), p.attempt(), 0));
      }
    }
    all.addAll(orders);
    return HeartbeatReply.renewed(
        token, List.copyOf(all).subList(0, Math.min(MAX_ORDERS, all.size())));
  }

  /**
   * Whether the worker has nothing to run and nothing to learn but what it may forget, or room was
   * made there for a job that waits for other machines: then the answer waits for what is to start.
   */
  private boolean mayWait(
      OwnedEntity holding, Machine m, WorkerReport report, List<Command> orders) {
    return holding.active()
        && node.membership.valid()
        && m.open()
        && (m.empty() || roomWasMade(m))
        && m.session == report.session()
        && m.sequence == report.sequence()
        && report.token().equals(holding.token(m))
        && orders.size() < MAX_ORDERS
        && orders.stream().allMatch(o -> o.verb() == Verb.FORGET);
  }

  private boolean roomWasMade(Machine m) {
    return m.reservedFor != null
        && node.loop.seconds() <= m.reservedUntilS
        && m.reservedFor.unplaced() > 0
        && m.room().count(m.reservedFor.spec.task()) > 0;
  }

  /** Answers a report that was kept open, if there is one, with what there is to do by now. */
  public void answer(MachineId id) {
    LongPolls.Report r = parked.take(id);
    if (r == null) {
      return;
    }
    MachineRow row = node.directory.machine(id);
    OwnedEntity holding = row == null ? null : node.membership.holding(row.entity());
    Machine m = r.machine();
    if (row != null && (holding == null || holding.phase == OwnedEntity.Phase.RELEASING)) {
      r.done().accept(elsewhere(row, holding, r.report()));
    } else if (holding == null
        || holding.machines.get(id) != m
        || !node.membership.mayKeepAlive()) {
      r.done().accept(HeartbeatReply.refused("the machine has passed on"));
    } else {
      // The worker counts its lease from the report's sending; this is later, so on the safe side.
      double now = node.loop.seconds();
      m.answeredS = now;
      List<Command> orders = new ArrayList<>(r.first());
      boolean newest = m.session == r.report().session() && m.sequence == r.report().sequence();
      if (newest && node.membership.valid() && holding.active()) {
        command(m, orders);
      }
      r.done().accept(renew(holding, holding.token(m), r.report(), orders));
    }
  }

  /** Sends a worker to its machine's owner, or lets it stay until there is one. */
  private HeartbeatReply elsewhere(MachineRow row, OwnedEntity holding, WorkerReport report) {
    ControllerId owner = node.directory.ownerOf(row.entity());
    boolean elsewhere =
        owner != null && !owner.equals(node.settings.self()) && node.directory.isAlive(owner);
    // While the entity has no owner, its workers stay here, where the next one is soon known.
    // Sent away, each came back only after all dead controllers, and a second failure soon after
    // the first then ended the leases of a whole fleet.
    boolean orphan =
        holding == null && node.membership.valid() && (!elsewhere || backSoon(row.id()));
    return orphan
        ? HeartbeatReply.stay(report)
        : HeartbeatReply.elsewhere(elsewhere ? owner.value() : null);
  }

  /**
   * Whether the worker was sent to its owner just now and is here again: the owner may be dead,
   * which shows only when its lease lapses.
   */
  private boolean backSoon(MachineId machine) {
    double now = node.loop.seconds();
    Double before = sentAwayS.get(machine);
    if (before != null && now - before < node.timing.ttlS() + LAPSE_SHOWS_S) {
      return true;
    }
    if (sentAwayS.size() >= MAX_SENT_AWAY) {
      sentAwayS.clear();
    }
    sentAwayS.put(machine, now);
    return false;
  }

  /** A machine that no entity knows: taken into this controller's entity by a conditional write. */
  private void adopt(WorkerReport report, Consumer<HeartbeatReply> done) {
    OwnedEntity own = node.membership.own();
    if (own == null
        || !own.active()
        || !node.membership.valid()
        || node.directory.wasReturned(report.machine())
        || node.type(report.type()) == null) {
      done.accept(HeartbeatReply.elsewhere(null));
      return;
    }
    if (justBooted(report)) {
      done.accept(HeartbeatReply.stay(report));
      return;
    }
    // Strictly above what its worker has seen: a report held back for minutes then shows its age.
    Version seen =
        report.token().compareTo(own.row.version()) > 0 ? report.token() : own.row.version();
    Version term = seen.nextFor(own.row.version().owner());
    MachineRow row =
        new MachineRow(
            report.machine(),
            own.entity(),
            report.type(),
            report.zone(),
            report.spot(),
            true,
            term,
            node.loop.wallMillis());
    Futures.logFailure(
        own.register
            .add(row)
            .whenComplete(
                (stored, failure) -> {
                  if (failure != null) {
                    done.accept(HeartbeatReply.elsewhere(null));
                    return;
                  }
                  LOG.info(
                      "machine {} adopted by entity {} version {}", row.id(), own.entity(), term);
                  handleAgain(own, stored, report, done);
                }),
        "add a machine that reported");
  }

  /**
   * Whether the worker may be of a rental request whose answer or record is still under way: some
   * are up within a second or two. Adopted at once by whoever heard it first, it was missing where
   * it had been rented, and another was rented in its place.
   */
  private boolean justBooted(WorkerReport report) {
    double now = node.loop.seconds();
    if (report.session() > 1 || !report.pieces().isEmpty() || now - startedS < SETTLED_S) {
      return false;
    }
    Double first = firstSeenS.getIfPresent(report.machine());
    if (first == null) {
      firstSeenS.put(report.machine(), (Double) now);
      return true;
    }
    return now - first < RECORDED_S;
  }

  private void handleAgain(
      OwnedEntity holding, MachineRow row, WorkerReport report, Consumer<HeartbeatReply> done) {
    Machine machine =
        holding.active() && node.membership.valid() ? node.machine(holding, row) : null;
    done.accept(
        machine == null
            ? HeartbeatReply.elsewhere(null)
            : report(holding, machine, report, new ArrayList<>()));
  }

  private HeartbeatReply report(
      OwnedEntity holding, Machine m, WorkerReport report, List<Command> orders) {
    Version token = holding.token(m);
    if (report.token().compareTo(token) > 0) {
      node.raiseTerm(holding, m, report.token());
      return HeartbeatReply.elsewhere(null);
    }
    if (!report.newerThan(m.session, m.sequence)) {
      return HeartbeatReply.stay(report);
    }
    double now = node.loop.seconds();
    m.heardS = now;
    m.answeredS = now;
    m.endpoint = HostPort.parse(report.endpoint());
    if (!m.row.up()) {
      node.markUp(holding, m);
    }
    // A report may have been held back in the network for minutes. It is as old as it may be,
    // unless
    // its worker has seen our term, or its session has begun after a lease that is surely over.
    if (report.session() < m.firstSession) {
      return endOutlived(holding, token, report);
    }
    if (report.token().compareTo(m.since) < 0) {
      if (!m.heard && m.uncertain(now)) {
        m.unheardGoneS = Math.max(m.unheardGoneS, now + node.timing.goneAfterAnswerS());
      }
      List<Command> first = new ArrayList<>();
      if (m.heard && m.session == 0 && node.membership.valid() && holding.active()) {
        // Passed over empty: it can be given its first tasks before it has seen its new term.
        m.session = report.session();
        m.sequence = report.sequence();
        command(m, first);
      }
      return renew(holding, token, report, first);
    }
    final int before = m.tasks().size();
    final boolean wasOpen = m.open();
    reconciler.take(holding, m, report, now, orders);
    m.session = report.session();
    m.sequence = report.sequence();
    m.noticeS = report.noticeS();
    m.heard = true;
    m.silent = false;
    if (!node.membership.valid() || !holding.active()) {
      return renew(holding, token, report, List.of());
    }
    node.dispatcher.drain(m);
    if (m.tasks().size() < before) {
      // What has ended makes room that this very answer can fill; the next one is a report away.
      // Only this machine is looked at: a pass over all of them for each ended task left a small
      // processor nothing for the reports of hundreds of machines.
      node.dispatcher.fill(holding, m);
      node.dispatcher.wake();
    } else if (!wasOpen && m.open()) {
      node.dispatcher.wake();
    }
    command(m, orders);
    return renew(holding, token, report, orders);
  }

  /**
   * A report in a session whose lease was counted as over: its tasks may have started elsewhere. It
   * was held back, and its answer is nobody's, or another controller has kept the lease: then all
   * of its tasks are halted by the same answer that renews. Once it has none its lease is left to
   * run out, since the machine is used again in a later session only.
   */
  private HeartbeatReply endOutlived(OwnedEntity holding, Version token, WorkerReport report) {
    if (!report.holdsTasks()) {
      return HeartbeatReply.stay(report);
    }
    List<Command> halts =
        report.pieces().stream()
            .filter(task -> task.state() != State.EXITED)
            .map(task -> new Command(Verb.HALT, task.task(), task.attempt(), 0))
            .toList();
    node.evidence.leaseOutlived(report.machine(), report.session(), halts.size());
    return renew(holding, token, report, halts);
  }

  private void command(Machine m, List<Command> orders) {
    for (Placement p : m.tasks().values()) {
      if (p.revocable()) {
        if (m.open() && orders.size() < MAX_ORDERS && node.configuration.fresh()) {
          orders.add(new Command(Verb.LAUNCH, p.task(), p.attempt, 0));
          p.sent = new Placement.Sent(m.session, m.sequence);
          LOG.debug("task {} try {} launched on {}", p.task(), p.attempt, m.id());
          node.traces.launched(p.job.spec.id(), m.id());
          Departure from = p.job.takeDeparture(p.index);
          if (from != null) {
            node.evidence.startsElsewhere(p.task(), p.attempt, m.id(), from);
          }
        }
      } else if (p.haltGraceS >= 0 && (p.state != State.SAVING || p.haltGraceS == 0)) {
        orders.add(new Command(Verb.HALT, p.task(), p.attempt, p.haltGraceS));
      }
    }
  }
}
