package io.violetrail.api;

import io.violetrail.net.EventLoop;
import io.violetrail.net.RequestHandler.HttpAnswer;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * Answers a request exactly once: with the first answer that is accepted, or with status 503 if the
 * deadline passes before. Later answers are dropped.
 */
final class AnswerDeadline implements Consumer<HttpAnswer> {
  private final AtomicBoolean answered = new AtomicBoolean();
  private final Consumer<HttpAnswer> respond;
  private final EventLoop.Cancellable timer;

  /** Creates the deadline and starts its timer of {@code seconds}. */
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
      respond.accept(
          HttpAnswer.unavailable(
              "no answer before the request's deadline; the outcome is unknown, retry later"));
    }
  }
}
