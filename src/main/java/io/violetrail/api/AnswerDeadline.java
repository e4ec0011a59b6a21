package io.violetrail.api;

import io.violetrail.net.EventLoop;
import io.violetrail.net.RequestHandler.HttpResponse;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * Answers a request exactly once: with the first answer that is accepted, or with status 503 if the
 * deadline passes before. Later answers are dropped.
 */
final class AnswerDeadline implements Consumer<HttpResponse> {
  private final AtomicBoolean answered = new AtomicBoolean();
  private final Consumer<HttpResponse> respond;
  private final EventLoop.Cancellable timer;

  /** Creates the deadline and starts its timer of {@code seconds}. */
  AnswerDeadline(EventLoop loop, double seconds, Consumer<HttpResponse> respond) {
    this.respond = respond;
    this.timer = loop.schedule(seconds, this::expire);
  }

  @Override
  public void accept(HttpResponse answer) {
    if (answered.compareAndSet(false, true)) {
      timer.cancel();
      respond.accept(answer);
    }
  }

  private void expire() {
    if (answered.compareAndSet(false, true)) {
      respond.accept(
          HttpResponse.unavailable(
              "no answer before the request's deadline; the outcome is unknown, retry later"));
    }
  }
}
