package io.violetrail.api;

import io.violetrail.model.JobView;
import io.violetrail.net.RequestHandler.HttpResponse;
import io.violetrail.wire.JobMessages;

/** Answers that several handlers of job requests share. */
final class JobResponses {
  private JobResponses() {}

  /** Returns status 200 with the job's state. */
  static HttpResponse view(JobView view) {
    return HttpResponse.of(200, JobMessages.viewMessage(view));
  }

  /**
   * Returns the answer for a job whose state is unknown because neither its owner nor the state
   * service answered. The client is to retry.
   */
  static HttpResponse stateUnknown() {
    return HttpResponse.unavailable(
        "neither the job's owner nor the state service answered; retry later");
  }

  /** Returns the answer for a job whose rows could not be read. The client is to retry. */
  static HttpResponse stateServiceUnavailable() {
    return HttpResponse.unavailable(
        "the job's rows could not be read from the state service; retry later");
  }
}
