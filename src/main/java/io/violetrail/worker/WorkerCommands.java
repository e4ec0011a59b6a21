package io.violetrail.worker;

import io.violetrail.scheduling.TaskPlacement;
import io.violetrail.wire.HeartbeatMessages.TaskReport;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand;
import io.violetrail.wire.HeartbeatMessages.WorkerCommand.CommandType;

/** Creates commands to workers, each for a single attempt of a task. */
final class WorkerCommands {
  private WorkerCommands() {}

  static WorkerCommand launch(TaskPlacement placement) {
    return new WorkerCommand(CommandType.LAUNCH, placement.taskId(), placement.attempt(), 0);
  }

  /** Returns a stop with the grace period that was requested for the placement. */
  static WorkerCommand stop(TaskPlacement placement) {
    return new WorkerCommand(
        CommandType.STOP, placement.taskId(), placement.attempt(), placement.stopGraceSeconds());
  }

  /** Returns a stop without a grace period for a reported task. */
  static WorkerCommand stopAtOnce(TaskReport task) {
    return new WorkerCommand(CommandType.STOP, task.taskId(), task.attempt(), 0);
  }

  /** Returns a command that makes the worker omit an exited task from its later reports. */
  static WorkerCommand forget(TaskReport task) {
    return new WorkerCommand(CommandType.FORGET, task.taskId(), task.attempt(), 0);
  }
}
