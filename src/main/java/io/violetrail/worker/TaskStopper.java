package io.violetrail.worker;

import io.violetrail.fleet.Machine;
import io.violetrail.net.Futures;
import io.violetrail.net.Http;
import io.violetrail.net.Loop;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.Placement;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.HeartbeatMessages;
import io.violetrail.wire.HeartbeatMessages.Command;
import io.violetrail.wire.HeartbeatMessages.Command.Verb;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tells workers at once to stop tasks whose room a more urgent job waits for, or whose job was
 * cancelled; the answer to their next report, which says so too, may be seconds away.
 *
 * <p>Nothing is concluded from the answers. Such a command may overtake a launch that is on its way
 * in the answer to a report, and be executed minutes late; but it names the attempt, which was to
 * end anyway, so a late one stops nothing else. Launches never travel this way.
 */
public final class TaskStopper {
  private static final double TIMEOUT_S = 2;

  /** Commands under way; beyond that the answers to reports must do. */
  private static final int MOST_UNDER_WAY = 64;

  private final Loop loop;
  private final Membership membership;
  private final Http http;

  /** Commands under way to machines that are silent, most of which are gone. */
  private static final int MOST_TO_SILENT = 16;

  private static final double REPEAT_S = 1;

  /** Cancelled tasks that are remembered for repeats; the others' leases must do. */
  private static final int MOST_OWED = 4_000;

  private final Map<Machine, List<Placement>> pending = new LinkedHashMap<>();

  /** Cancelled tasks of which it is not known yet that they are gone. */
  private final Set<Placement> owed = new LinkedHashSet<>();

  private int underWay;
  private int underWayToSilent;

  /** Sends commands to the machines of the entities owned here. */
  public TaskStopper(Loop loop, Membership membership, Http http) {
    this.loop = loop;
    this.membership = membership;
    this.http = http;
  }

  public void start() {
    loop.every(REPEAT_S, this::repeat);
  }

  /**
   * A cancelled job's placement is to be halted. Until its machine is known to be rid of it this is
   * repeated where no reports come: a worker may reach no controller and still be reached. Told
   * with the next report alone, tasks whose image was being fetched began after their user had been
   * told that the job was cancelled.
   */
  public void cancelled(Placement p) {
    halted(p);
    if (owed.size() < MOST_OWED) {
      owed.add(p);
    }
  }

  private void repeat() {
    owed.removeIf(p -> p.machine().task(p.task()) != p);
    Map<Machine, List<Placement>> silent = new LinkedHashMap<>();
    for (Placement p : owed) {
      if (p.machine().silent()
          && (silent.containsKey(p.machine()) || silent.size() < MOST_TO_SILENT)) {
        silent.computeIfAbsent(p.machine(), m -> new ArrayList<>()).add(p);
      }
    }
    silent.forEach(
        (m, tasks) -> {
          // To the end of the line, so that all have their turn.
          tasks.forEach(owed::remove);
          owed.addAll(tasks);
          if (underWayToSilent < MOST_TO_SILENT) {
            underWayToSilent++;
            send(m, tasks, () -> underWayToSilent--);
          }
        });
  }

  /** A placement is to be halted; what is halted in the same moment goes together. */
  public void halted(Placement p) {
    if (p.revocable() || p.haltGraceS() < 0) {
      return;
    }
    if (pending.isEmpty()) {
      loop.execute(this::flush);
    }
    pending.computeIfAbsent(p.machine(), m -> new ArrayList<>()).add(p);
  }

  private void flush() {
    Map<Machine, List<Placement>> now = new LinkedHashMap<>(pending);
    pending.clear();
    now.forEach(
        (m, stopped) -> {
          if (!m.silent() && underWay < MOST_UNDER_WAY) {
            underWay++;
            send(m, stopped, () -> underWay--);
          }
        });
  }

  /** {@code done} is run in any case. */
  private void send(Machine m, List<Placement> stopped, Runnable done) {
    OwnedEntity h = membership.holding(m.row().entity());
    boolean mine = h != null && h.active() && h.machines().get(m.id()) == m;
    List<Command> orders = new ArrayList<>();
    for (Placement p : stopped) {
      if (m.task(p.task()) == p) {
        orders.add(new Command(Verb.HALT, p.task(), p.attempt(), p.haltGraceS()));
      }
    }
    if (!mine
        || !membership.valid()
        || m.endpoint() == null
        || m.session() == 0
        || orders.isEmpty()) {
      done.run();
      return;
    }
    byte[] body =
        Cbor.bytes(HeartbeatMessages.reply(h.token(m), orders).put("tenure", m.session()));
    Futures.logFailure(
        http.callOnce(m.endpoint(), "POST", "/orders", body, TIMEOUT_S)
            .whenComplete((r, failure) -> done.run()),
        "send commands to a worker");
  }
}
