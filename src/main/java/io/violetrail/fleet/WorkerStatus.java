package io.violetrail.fleet;

import io.violetrail.config.Settings.HostPort;

/**
 * The status of one machine's worker according to its heartbeats: the newest heartbeat, the
 * worker's endpoint, whether its tasks are known, and which of its sessions have certainly ended.
 *
 * <p>Used only by its {@link Machine}, on the event loop's thread. Nothing here survives a crash:
 * the next owner waits for a heartbeat under its own fencing token, or until unreported tasks are
 * certainly gone.
 */
final class WorkerStatus {
  private long lastSession;
  private long lastSequence;

  /** Heartbeats of earlier sessions are outdated, as the leases of those sessions have expired. */
  private long firstValidSession;

  /**
   * Whether a heartbeat under this controller's fencing token has shown the machine's tasks, or the
   * machine had none when it joined.
   */
  private boolean tasksKnown;

  /** Until when a machine whose tasks are not known may hold any task. */
  private double unreportedTasksGoneAtSeconds;

  private double lastHeartbeatAtSeconds;
  private double latestRenewalAtSeconds;

  /** Null while the provider has not announced a preemption. */
  private Double preemptionNoticeSeconds;

  private boolean unresponsive;

  /** Null before the first heartbeat. */
  private HostPort endpoint;

  WorkerStatus(boolean tasksKnown, double unreportedTasksGoneAtSeconds, double nowSeconds) {
    this.tasksKnown = tasksKnown;
    this.unreportedTasksGoneAtSeconds = unreportedTasksGoneAtSeconds;
    this.lastHeartbeatAtSeconds = nowSeconds;
    this.latestRenewalAtSeconds = nowSeconds;
  }

  void recordHeartbeat(HostPort workerEndpoint, double nowSeconds) {
    lastHeartbeatAtSeconds = nowSeconds;
    latestRenewalAtSeconds = nowSeconds;
    endpoint = workerEndpoint;
  }

  void recordReply(double nowSeconds) {
    latestRenewalAtSeconds = nowSeconds;
  }

  void recordNewestReport(long session, long sequence) {
    lastSession = session;
    lastSequence = sequence;
  }

  void recordStatus(Double newPreemptionNoticeSeconds) {
    preemptionNoticeSeconds = newPreemptionNoticeSeconds;
    tasksKnown = true;
    unresponsive = false;
  }

  void markTasksKnown() {
    tasksKnown = true;
  }

  void markUnresponsive() {
    unresponsive = true;
  }

  void expireLease() {
    firstValidSession = lastSession + 1;
  }

  void extendUnreportedTasksUntil(double untilSeconds) {
    unreportedTasksGoneAtSeconds = Math.max(unreportedTasksGoneAtSeconds, untilSeconds);
  }

  /**
   * Returns whether the worker can take new tasks: its tasks are known, it is responsive, and the
   * provider has not announced a preemption.
   */
  boolean isReadyForTasks() {
    return tasksKnown && !unresponsive && preemptionNoticeSeconds == null;
  }

  boolean mayHoldUnreportedTasks(double nowSeconds) {
    return !tasksKnown && nowSeconds < unreportedTasksGoneAtSeconds;
  }

  long lastSession() {
    return lastSession;
  }

  long lastSequence() {
    return lastSequence;
  }

  long firstValidSession() {
    return firstValidSession;
  }

  boolean tasksKnown() {
    return tasksKnown;
  }

  double unreportedTasksGoneAtSeconds() {
    return unreportedTasksGoneAtSeconds;
  }

  double lastHeartbeatAtSeconds() {
    return lastHeartbeatAtSeconds;
  }

  double latestRenewalAtSeconds() {
    return latestRenewalAtSeconds;
  }

  Double preemptionNoticeSeconds() {
    return preemptionNoticeSeconds;
  }

  boolean isUnresponsive() {
    return unresponsive;
  }

  HostPort endpoint() {
    return endpoint;
  }
}
