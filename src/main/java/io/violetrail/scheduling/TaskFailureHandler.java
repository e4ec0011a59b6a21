package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.net.EventLoop;
import io.violetrail.wire.HeartbeatMessages.ExitCause;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides when a task that has exited without being done may be retried, and records failures that
 * are errors of the task.
 *
 * <p>Called on the event loop's thread; has no state.
 */
public final class TaskFailureHandler {
  private static final Logger LOG = LoggerFactory.getLogger(TaskFailureHandler.class);
  private static final double RETRY_AFTER_REJECTION_SECONDS = 1.5;
  private static final double RETRY_AFTER_UNKNOWN_SECONDS = 5;

  private final EventLoop loop;

  /** Creates a handler that reads the time of failures from the loop's clock. */
  public TaskFailureHandler(EventLoop loop) {
    this.loop = loop;
  }

  /** Handles the exit of a task that is not done. */
  public void handleFailure(Machine machine, TaskPlacement placement, ExitCause cause) {
    double nowSeconds = loop.monotonicSeconds();
    Job job = placement.job();
    int index = placement.taskIndex();
    switch (cause) {
      case ERROR -> {
        double runSeconds = placement.hasRun() ? placement.runSeconds(nowSeconds) : 0;
        LOG.info(
            "task {}/{} failed on machine {} after {} s",
            job.spec().id(),
            index,
            machine.id(),
            Math.round(runSeconds));
        FailureAttribution.recordFailure(machine, job, runSeconds, nowSeconds);
        job.retries().retryNotBefore(index, job.failureHistory().retryAtSeconds());
      }
      case INSUFFICIENT_RESOURCES, BUSY ->
          job.retries().retryNotBefore(index, nowSeconds + RETRY_AFTER_REJECTION_SECONDS);
      case UNKNOWN -> job.retries().retryNotBefore(index, nowSeconds + RETRY_AFTER_UNKNOWN_SECONDS);
      default -> job.retries().retryAtOnce(index);
    }
  }
}
