package io.violetrail.worker;

import io.violetrail.fleet.Machine;
import io.violetrail.net.Http;
import io.violetrail.node.Node;
import io.violetrail.ownership.Holding;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Machines whose reports arrive while nothing reaches them. What was launched on one is seen not to
 * have been taken, and free again; but the machine looks idle and as good as any, so the same tasks
 * went there time and again until its lease was over. One launch that was not taken is enough for
 * doubt, since the worker itself is asked at once: nothing more is started there until it answers.
 * Reports count as before; they prove what runs there.
 */
public final class Unreached {
  private static final Logger LOG = LoggerFactory.getLogger(Unreached.class);
  private static final double TICK_S = 1;
  private static final double PROBE_S = 0.9;

  /** Questions a second; a zone's machines may all be unreached. */
  private static final int MOST = 32;

  private final Node node;
  private final Http http;
  private final Set<Machine> machines = new LinkedHashSet<>();

  public Unreached(Node node, Http http) {
    this.node = node;
    this.http = http;
  }

  public void start() {
    node.loop.every(TICK_S, this::tick);
  }

  /** A launch in the answer to a report was not taken. */
  void doubt(Machine m) {
    if (!m.unreached && m.endpoint != null) {
      m.unreached = true;
      machines.add(m);
      probe(m);
    }
  }

  private void tick() {
    machines.removeIf(m -> !held(m));
    List<Machine> next = machines.stream().limit(MOST).toList();
    next.forEach(
        m -> {
          // To the end of the line, so that all have their turn.
          machines.remove(m);
          machines.add(m);
          probe(m);
        });
  }

  private boolean held(Machine m) {
    Holding h = node.membership.holding(m.row.entity());
    return h != null && h.machines.get(m.id()) == m;
  }

  private void probe(Machine m) {
    http.callOnce(m.endpoint, "GET", "/status", null, PROBE_S)
        .whenComplete(
            (r, failure) -> {
              if (failure == null && r.ok() && machines.remove(m)) {
                m.unreached = false;
                node.dispatcher.wake();
              } else if (failure != null && machines.contains(m)) {
                LOG.debug("machine {} reports and cannot be reached", m.id());
              }
            });
  }
}
