package io.violetrail.api;

import io.violetrail.model.JobId;
import io.violetrail.model.JobView;
import io.violetrail.net.Futures;
import io.violetrail.net.RequestHandler.HttpResponse;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Answers users' queries for the state of a job. Called on the event loop's thread. */
public final class JobQuery {
  private final JobStateResolver resolver;

  /** Creates a query handler that answers with the state found by the resolver. */
  public JobQuery(JobStateResolver resolver) {
    this.resolver = resolver;
  }

  /**
   * Answers a poll: 200 with the job's state, 404 if the job does not exist, 503 if that cannot be
   * determined now.
   */
  void handle(String idText, Consumer<HttpResponse> respond) {
    if (!JobId.isWellFormed(idText)) {
      respond.accept(HttpResponse.empty(404));
      return;
    }
    answer(new JobId(idText), () -> HttpResponse.empty(404), respond);
  }

  /**
   * Answers a repeated submission of an accepted job: 200 with the job's state, 503 if the state is
   * not known now.
   */
  void answerKnown(JobId id, Consumer<HttpResponse> respond) {
    answer(id, JobResponses::stateUnknown, respond);
  }

  private void answer(JobId id, Supplier<HttpResponse> ifAbsent, Consumer<HttpResponse> respond) {
    Futures.logFailure(
        resolver
            .resolve(id)
            .whenComplete((view, failure) -> respond.accept(toAnswer(view, failure, ifAbsent))),
        "answer with a job's state");
  }

  private static HttpResponse toAnswer(
      JobView view, Throwable failure, Supplier<HttpResponse> ifAbsent) {
    if (failure != null) {
      return JobResponses.stateUnknown();
    }
    return view == null ? ifAbsent.get() : JobResponses.view(view);
  }
}
