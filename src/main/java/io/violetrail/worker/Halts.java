package io.violetrail.worker;

import io.violetrail.fleet.Machine;
import io.violetrail.net.Http;
import io.violetrail.node.Node;
import io.violetrail.ownership.Holding;
import io.violetrail.scheduling.Placement;
import io.violetrail.wire.BeatWire;
import io.violetrail.wire.BeatWire.Order;
import io.violetrail.wire.BeatWire.Order.Verb;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells workers at once to stop tasks whose room a more urgent job waits for; the answer to their
 * next report, which says so too, may be seconds away.
 *
 * <p>Nothing is concluded from the answers. Such a command may overtake a launch that is on its way
 * in the answer to a report, and be executed minutes late; but it names the attempt, which was to
 * end anyway, so a late one stops nothing else. Launches never travel this way.
 */
public final class Halts {
  private static final double TIMEOUT_S = 2;

  /** Commands under way; beyond that the answers to reports must do. */
  private static final int MOST_UNDER_WAY = 64;

  private final Node node;
  private final Http http;
  private final Map<Machine, List<Placement>> pending = new LinkedHashMap<>();
  private int underWay;

  public Halts(Node node, Http http) {
    this.node = node;
    this.http = http;
  }

  /** A placement is to be halted; what is halted in the same moment goes together. */
  public void halted(Placement p) {
    if (p.revocable() || p.haltGraceS < 0) {
      return;
    }
    if (pending.isEmpty()) {
      node.loop.execute(this::flush);
    }
    pending.computeIfAbsent(p.machine, m -> new ArrayList<>()).add(p);
  }

  private void flush() {
    Map<Machine, List<Placement>> now = new LinkedHashMap<>(pending);
    pending.clear();
    now.forEach(this::send);
  }

  private void send(Machine m, List<Placement> stopped) {
    Holding h = node.membership.holding(m.row.entity());
    boolean mine = h != null && h.active() && h.machines.get(m.id()) == m;
    if (!mine
        || !node.membership.valid()
        || m.endpoint == null
        || m.silent
        || m.session == 0
        || underWay >= MOST_UNDER_WAY) {
      return;
    }
    List<Order> orders = new ArrayList<>();
    for (Placement p : stopped) {
      if (m.task(p.task()) == p) {
        orders.add(new Order(Verb.HALT, p.task(), p.attempt, p.haltGraceS));
      }
    }
    if (orders.isEmpty()) {
      return;
    }
    underWay++;
    byte[] body = Cbor.bytes(BeatWire.reply(h.token(m), orders).put("tenure", m.session));
    http.callOnce(m.endpoint, "POST", "/orders", body, TIMEOUT_S)
        .whenComplete((r, failure) -> underWay--);
  }
}
