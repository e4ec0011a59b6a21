package io.violetrail.worker;

import io.violetrail.scheduling.TaskPlacement;
import io.violetrail.wire.HeartbeatMessages.TaskReport;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand.CommandType;

/** Commands to workers, each for one attempt of one task. */
final class WorkerCommands {
  private WorkerCommands() {}

  /** Launches what is placed. */
  static WorkerCommand launch(TaskPlacement placement) {
    return new WorkerCommand(CommandType.LAUNCH, placement.taskId(), placement.attempt(), 0);
  }

  /** Stops what is placed, with the grace period that was requested for it. */
  static WorkerCommand stop(TaskPlacement placement) {
    return new WorkerCommand(
        CommandType.STOP, placement.taskId(), placement.attempt(), placement.stopGraceSeconds());
  }

  /** Stops a reported task without a grace period. */
  static WorkerCommand stopAtOnce(TaskReport task) {
    return new WorkerCommand(CommandType.STOP, task.taskId(), task.attempt(), 0);
  }

  /** Lets the worker leave an exited task out of its reports from now on. */
  static WorkerCommand forget(TaskReport task) {
    return new WorkerCommand(CommandType.FORGET, task.taskId(), task.attempt(), 0);
  }
}
