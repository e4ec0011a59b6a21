package io.violetrail.worker;

import io.violetrail.evidence.ReplyKind;
import io.violetrail.model.Version;
import io.violetrail.net.Service.Answer;
import io.violetrail.wire.HeartbeatMessages;
import io.violetrail.wire.HeartbeatMessages.Command;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.List;

/**
 * An answer to a worker's report. Only {@link #renewed} can renew the worker's lease, and it cannot
 * be made without a token.
 */
record HeartbeatReply(ReplyKind kind, Version token, Answer answer) {
  /** Renews the lease and carries commands. */
  static HeartbeatReply renewed(Version token, List<Command> commands) {
    return new HeartbeatReply(
        ReplyKind.RENEWED, token, Answer.of(200, HeartbeatMessages.reply(token, commands)));
  }

  /**
   * Lets a worker stay here while its lease runs on. The answer carries a token lower than the
   * worker's. There is none for a worker that has seen no token: with tasks, which only programs
   * that gave out version 0 can have started there, it is refused and tries the next controller.
   */
  static HeartbeatReply stay(WorkerReport report) {
    return report.token().equals(Version.NONE) && report.holdsTasks()
        ? refused("no owner is known")
        : new HeartbeatReply(
            ReplyKind.STAY, Version.NONE, Answer.of(200, HeartbeatMessages.stay()));
  }

  /** Sends a worker to a controller, or to whichever it tries next if {@code owner} is null. */
  static HeartbeatReply elsewhere(String owner) {
    return new HeartbeatReply(
        ReplyKind.SENT_ELSEWHERE, Version.NONE, Answer.of(421, HeartbeatMessages.elsewhere(owner)));
  }

  static HeartbeatReply refused(String why) {
    return new HeartbeatReply(ReplyKind.REFUSED, Version.NONE, Answer.later(why));
  }
}
