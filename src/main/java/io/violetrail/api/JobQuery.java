package io.violetrail.api;

import io.violetrail.model.JobId;
import io.violetrail.model.JobView;
import io.violetrail.net.Futures;
import io.violetrail.net.RequestHandler.HttpAnswer;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Answers users' questions about the state of a job. Called on the event loop's thread. */
public final class JobQuery {
  private final JobStateResolver resolver;

  /** Answers with what the resolver finds. */
  public JobQuery(JobStateResolver resolver) {
    this.resolver = resolver;
  }

  /** Answers a poll: 200 with the state, 404 if there is no such job, 503 if that is not known. */
  void handle(String idText, Consumer<HttpAnswer> respond) {
    if (!JobId.isWellFormed(idText)) {
      respond.accept(HttpAnswer.empty(404));
      return;
    }
    answer(new JobId(idText), () -> HttpAnswer.empty(404), respond);
  }

  /**
   * Answers a repeated submission of a job that was accepted before: 200 with its state, 503 if
   * that is not known now.
   */
  void answerKnown(JobId id, Consumer<HttpAnswer> respond) {
    answer(id, JobAnswers::stateUnknown, respond);
  }

  private void answer(JobId id, Supplier<HttpAnswer> ifAbsent, Consumer<HttpAnswer> respond) {
    Futures.logFailure(
        resolver
            .resolve(id)
            .whenComplete((view, failure) -> respond.accept(toAnswer(view, failure, ifAbsent))),
        "answer with a job's state");
  }

  private static HttpAnswer toAnswer(
      JobView view, Throwable failure, Supplier<HttpAnswer> ifAbsent) {
    if (failure != null) {
      return JobAnswers.stateUnknown();
    }
    return view == null ? ifAbsent.get() : JobAnswers.view(view);
  }
}
