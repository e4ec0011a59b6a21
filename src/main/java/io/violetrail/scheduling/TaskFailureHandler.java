package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.net.EventLoop;
import io.violetrail.wire.HeartbeatMessages.ExitCause;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides when a task that has ended without being done may be tried again. */
public final class TaskFailureHandler {
  private static final Logger LOG = LoggerFactory.getLogger(TaskFailureHandler.class);
  private static final double RETRY_AFTER_REFUSAL_SECONDS = 1.5;
  private static final double RETRY_AFTER_UNKNOWN_SECONDS = 5;

  private final EventLoop loop;

  /** Takes the time of failures from the loop. */
  public TaskFailureHandler(EventLoop loop) {
    this.loop = loop;
  }

  /** A task has ended on the machine without being done. */
  public void taskFailed(Machine machine, TaskPlacement placement, ExitCause cause) {
    double now = loop.monotonicSeconds();
    Job job = placement.job();
    int index = placement.taskIndex();
    switch (cause) {
      case ERROR -> {
        double ranSeconds =
            placement.runningSinceSeconds() > 0 ? now - placement.runningSinceSeconds() : 0;
        LOG.info(
            "task {}/{} failed on {} after {} s",
            job.spec().id(),
            index,
            machine.id(),
            Math.round(ranSeconds));
        job.countError();
        FailureAttribution.recordFailure(machine, job, ranSeconds, now);
        job.retryNotBefore(index, job.failureHistory().retryAtSeconds());
      }
      case INSUFFICIENT_RESOURCES, BUSY ->
          job.retryNotBefore(index, now + RETRY_AFTER_REFUSAL_SECONDS);
      case UNKNOWN -> job.retryNotBefore(index, now + RETRY_AFTER_UNKNOWN_SECONDS);
      default -> job.retryAtOnce(index);
    }
  }
}
