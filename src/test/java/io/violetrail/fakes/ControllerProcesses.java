package io.violetrail.fakes;

import io.violetrail.net.EventLoop;
import io.violetrail.net.RequestHandler;
import java.util.HashMap;
import java.util.Map;

/**
 * The processes of the simulated controllers. Each process has a number, its incarnation. Tasks for
 * a process that has ended are dropped; tasks for a frozen process wait, in their order.
 */
final class ControllerProcesses {
  private final VirtualTime time;
  private final Map<String, Integer> incarnations = new HashMap<>();
  private final Map<String, Double> frozenUntilSeconds = new HashMap<>();
  private final Map<String, Long> cpuNanos = new HashMap<>();

  ControllerProcesses(VirtualTime time) {
    this.time = time;
  }

  /** Starts a process on the controller's host and returns its incarnation. */
  int start(String name) {
    return incarnations.merge(name, 1, Integer::sum);
  }

  /** Ends the process at once; its outstanding tasks never run. */
  void end(String name) {
    incarnations.merge(name, 1, Integer::sum);
  }

  /** Returns whether the host has ever run a controller. */
  boolean isControllerHost(String host) {
    return incarnations.containsKey(host);
  }

  boolean isCurrent(String name, int incarnation) {
    return incarnations.get(name) == incarnation;
  }

  void freeze(String name, double seconds) {
    frozenUntilSeconds.put(name, time.nowSeconds() + seconds);
  }

  /** Runs the task in the process when it is not frozen; drops the task if the process ended. */
  void runWhenAwake(String name, int incarnation, Runnable task) {
    double untilSeconds = frozenUntilSeconds.getOrDefault(name, 0.0);
    if (time.nowSeconds() < untilSeconds) {
      time.runAfter(untilSeconds - time.nowSeconds(), () -> runWhenAwake(name, incarnation, task));
    } else if (isCurrent(name, incarnation)) {
      long startedAtNanos = System.nanoTime();
      task.run();
      cpuNanos.merge(name, System.nanoTime() - startedAtNanos, Long::sum);
    }
  }

  /** Returns the seconds of real time that the tasks of all of the controller's processes took. */
  double cpuSeconds(String name) {
    return cpuNanos.getOrDefault(name, 0L) / 1e9;
  }

  /** Returns a service that answers only while the process runs. */
  RequestHandler servedBy(String name, int incarnation, RequestHandler service) {
    return (method, path, body, done) ->
        runWhenAwake(name, incarnation, () -> service.handle(method, path, body, done));
  }

  EventLoop eventLoop(String name, int incarnation) {
    return new ProcessEventLoop(name, incarnation);
  }

  private final class ProcessEventLoop implements EventLoop {
    private final String name;
    private final int incarnation;

    ProcessEventLoop(String name, int incarnation) {
      this.name = name;
      this.incarnation = incarnation;
    }

    @Override
    public long monotonicNanos() {
      return (long) (time.nowSeconds() * 1e9);
    }

    @Override
    public long wallMillis() {
      return time.wallMillis();
    }

    @Override
    public void execute(Runnable task) {
      schedule(0, task);
    }

    @Override
    public Cancellable schedule(double seconds, Runnable task) {
      boolean[] cancelled = new boolean[1];
      time.runAfter(
          seconds,
          () ->
              runWhenAwake(
                  name,
                  incarnation,
                  () -> {
                    if (!cancelled[0]) {
                      task.run();
                    }
                  }));
      return () -> cancelled[0] = true;
    }
  }
}
