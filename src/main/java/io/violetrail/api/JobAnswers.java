package io.violetrail.api;

import io.violetrail.model.JobView;
import io.violetrail.net.RequestHandler.HttpAnswer;
import io.violetrail.wire.JobMessages;

/** The answers that several of the requests about jobs have in common. */
final class JobAnswers {
  private JobAnswers() {}

  /** The job's state, with status 200. */
  static HttpAnswer view(JobView view) {
    return HttpAnswer.of(200, JobMessages.viewMessage(view));
  }

  /** Neither the job's owner nor the state service has answered: the client is to retry. */
  static HttpAnswer stateUnknown() {
    return HttpAnswer.unavailable("the job's state is not known now");
  }

  /** The job's rows could not be read: the client is to retry. */
  static HttpAnswer stateServiceUnavailable() {
    return HttpAnswer.unavailable("the state service does not answer");
  }
}
