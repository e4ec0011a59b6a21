package io.violetrail.worker;

import io.violetrail.fleet.Machine;
import io.violetrail.model.MachineId;
import io.violetrail.net.Loop;
import io.violetrail.wire.HeartbeatMessages.Command;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Reports of idle workers that wait for something to do. A launch may travel only in the answer to
 * a report, and an idle worker reports once an interval: a gang waited for the slowest of its
 * machines. So the answer to a worker that has nothing is kept open for most of the interval, and
 * given the moment that there is something to start, or that the machine passes on.
 */
final class LongPolls {
  /** Part of the interval; the rest is left for the next report to come in time. */
  private static final double PART = 0.8;

  /** Well below the 4 s that a worker waits for an answer. */
  private static final double MOST_S = 2;

  /** A report whose answer is kept open. {@code first}: commands that it carries in any case. */
  record Report(
      Machine machine,
      WorkerReport report,
      List<Command> first,
      Consumer<HeartbeatReply> done,
      Loop.Cancellable timer) {}

  private final Loop loop;
  private final double waitS;
  private final Map<MachineId, Report> reports = new HashMap<>();

  LongPolls(Loop loop, double reportSeconds) {
    this.loop = loop;
    this.waitS = Math.min(MOST_S, PART * reportSeconds);
  }

  /** Keeps the answer open; {@code answer} is run when the time is over. */
  void park(
      Machine m,
      WorkerReport report,
      List<Command> first,
      Consumer<HeartbeatReply> done,
      Runnable answer) {
    reports.put(m.id(), new Report(m, report, first, done, loop.after(waitS, answer)));
  }

  /** Takes the open report of a machine out; null if there is none. */
  Report take(MachineId id) {
    Report r = reports.remove(id);
    if (r != null) {
      r.timer().cancel();
    }
    return r;
  }
}
