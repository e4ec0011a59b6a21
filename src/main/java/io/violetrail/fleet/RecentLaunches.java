package io.violetrail.fleet;

import io.violetrail.model.TaskId;
import io.violetrail.ownership.LeaseTiming;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

/**
 * The launches that were sent to one machine so recently that the network may deliver a copy of the
 * reply which carried them. The worker executes such a copy as long as it would accept the reply
 * itself. If it has a record of the attempt, the repeated launch does nothing; without one, as
 * after a FORGET command or a restart of the machine, it starts the task once more. Until a launch
 * is settled, its attempt must therefore not be forgotten, and nothing proves that it is over.
 *
 * <p>Copies of launches by former owners need no record: the worker rejects their fencing tokens
 * once it has seen the present one.
 *
 * <p>Used only by its {@link Machine}, on the event loop's thread; lost with the process.
 */
final class RecentLaunches {
  /** Covers clock drift, and the time for which the next report may be on its way. */
  private static final double MARGIN_SECONDS = 0.5;

  private record Attempt(TaskId taskId, long number) {}

  private record Launch(Attempt attempt, double sentAtSeconds) {}

  /** In the order in which they were sent. */
  private final ArrayDeque<Launch> launches = new ArrayDeque<>();

  private final Set<Attempt> unsettled = new HashSet<>();

  void record(TaskId taskId, long attemptNumber, double nowSeconds) {
    Attempt attempt = new Attempt(taskId, attemptNumber);
    removeSettled(nowSeconds);
    launches.addLast(new Launch(attempt, nowSeconds));
    unsettled.add(attempt);
  }

  /** Returns whether no copy of the attempt's launch can be executed any more. */
  boolean isSettled(TaskId taskId, long attemptNumber, double nowSeconds) {
    removeSettled(nowSeconds);
    return !unsettled.contains(new Attempt(taskId, attemptNumber));
  }

  /** Returns when the latest launch was sent; negative infinity if all are settled. */
  double latestSentAtSeconds() {
    return launches.isEmpty() ? Double.NEGATIVE_INFINITY : launches.peekLast().sentAtSeconds();
  }

  private void removeSettled(double nowSeconds) {
    while (!launches.isEmpty()
        && nowSeconds - launches.peekFirst().sentAtSeconds()
            > LeaseTiming.WORKER_REPLY_VALIDITY_SECONDS + MARGIN_SECONDS) {
      unsettled.remove(launches.removeFirst().attempt());
    }
  }
}
