package io.violetrail.api;

import io.violetrail.net.EventLoop;
import io.violetrail.net.RequestHandler.HttpAnswer;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * Answers one request exactly once: with the first answer that it is given, or with "unavailable"
 * when the deadline passes first. Later answers are dropped.
 */
final class AnswerDeadline implements Consumer<HttpAnswer> {
  private final AtomicBoolean answered = new AtomicBoolean();
  private final Consumer<HttpAnswer> respond;
  private final EventLoop.Cancellable timer;

  /** Starts the timer of {@code seconds} at once. */
  AnswerDeadline(EventLoop loop, double seconds, Consumer<HttpAnswer> respond) {
    this.respond = respond;
    this.timer = loop.schedule(seconds, this::expire);
  }

  @Override
  public void accept(HttpAnswer answer) {
    if (answered.compareAndSet(false, true)) {
      timer.cancel();
      respond.accept(answer);
    }
  }

  private void expire() {
    if (answered.compareAndSet(false, true)) {
      respond.accept(HttpAnswer.unavailable("no decision in time"));
    }
  }
}
