package io.violetrail.api;

import com.fasterxml.jackson.databind.JsonNode;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.JobView.JobStatus;
import io.violetrail.net.Futures;
import io.violetrail.net.RequestHandler.HttpResponse;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.Cbor.MalformedMessageException;
import io.violetrail.wire.JobMessages;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles users' submissions. A submission is idempotent: a repeated submission of an accepted job
 * is answered with that job's state. An accepted job is stored before it is answered. Called on the
 * event loop's thread.
 */
public final class JobSubmission {
  private static final Logger LOG = LoggerFactory.getLogger(JobSubmission.class);
  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final String ID_FIELD = "name_id";

  private final int maxSpecBytes;
  private final KnownJobs knownJobs;
  private final JobLookup jobLookup;
  private final JobAdmission jobAdmission;
  private final JobQuery jobQuery;

  /**
   * Creates a handler that submits to the admission of this controller's home entity.
   *
   * @param maxValueBytes the size limit of a stored value; a job's description may take half of it
   */
  public JobSubmission(
      int maxValueBytes,
      KnownJobs knownJobs,
      JobLookup jobLookup,
      JobAdmission jobAdmission,
      JobQuery jobQuery) {
    this.maxSpecBytes = maxValueBytes / 2;
    this.knownJobs = knownJobs;
    this.jobLookup = jobLookup;
    this.jobAdmission = jobAdmission;
    this.jobQuery = jobQuery;
  }

  /**
   * Answers a submission: 201 if the job is accepted, 200 if it was accepted earlier, 400 if the
   * submission is malformed, 422 if the job can never run, 503 if the client is to retry later.
   */
  void handle(byte[] body, Consumer<HttpResponse> respond) {
    JobId id = null;
    JobSpec spec;
    try {
      JsonNode message = parseBody(body);
      id = findId(message);
      if (id != null && isKnown(id)) {
        jobQuery.answerKnown(id, respond);
        return;
      }
      spec = parseSpec(message);
    } catch (MalformedMessageException exception) {
      answerMalformed(id, exception.getMessage(), respond);
      return;
    }
    Futures.logFailure(
        jobAdmission
            .admit(spec, null)
            .thenAccept(decision -> answerDecision(spec.id(), decision, respond)),
        "admit a job");
  }

  private static JsonNode parseBody(byte[] body) throws MalformedMessageException {
    if (body.length > MAX_BODY_BYTES) {
      throw new MalformedMessageException(
          "the request body has " + body.length + " bytes; the limit is " + MAX_BODY_BYTES);
    }
    return Cbor.parse(body);
  }

  /** Returns the job id in the message, or null if it is missing or not well-formed. */
  private static JobId findId(JsonNode message) {
    String idText = message.path(ID_FIELD).asText(null);
    return JobId.isWellFormed(idText) ? new JobId(idText) : null;
  }

  private boolean isKnown(JobId id) {
    return knownJobs.findTerminalView(id) != null || knownJobs.findEntityOf(id) != null;
  }

  private JobSpec parseSpec(JsonNode message) throws MalformedMessageException {
    JobSpec spec = JobMessages.parseSubmission(message);
    if (Cbor.encode(JobMessages.submissionMessage(spec)).length > maxSpecBytes) {
      throw new MalformedMessageException(
          "the job's encoded description exceeds the limit of " + maxSpecBytes + " bytes");
    }
    return spec;
  }

  private void answerDecision(
      JobId id, JobAdmission.Decision decision, Consumer<HttpResponse> respond) {
    switch (decision.verdict()) {
      case ACCEPTED ->
          respond.accept(
              HttpResponse.of(
                  201, JobMessages.viewMessage(new JobView(id.value(), JobStatus.QUEUED, 0, 0))));
      case KNOWN -> jobQuery.answerKnown(id, respond);
      case IMPOSSIBLE -> respond.accept(HttpResponse.error(422, decision.reason()));
      default -> respond.accept(HttpResponse.unavailable(decision.reason()));
    }
  }

  /**
   * Answers a malformed submission. If its id is that of an accepted job, the answer is that job's
   * state, even if other fields are malformed: clients may resend only a part of the description.
   * Without a well-formed id there is no job to look up.
   */
  private void answerMalformed(JobId id, String reason, Consumer<HttpResponse> respond) {
    LOG.debug("malformed submission: {}", reason);
    if (id == null) {
      respond.accept(HttpResponse.error(400, reason));
      return;
    }
    Futures.logFailure(
        jobLookup
            .lookUp(id)
            .whenComplete(
                (lookupResult, failure) -> {
                  if (failure != null) {
                    respond.accept(JobResponses.stateServiceUnavailable());
                  } else if (lookupResult.isAbsent()) {
                    respond.accept(HttpResponse.error(400, reason));
                  } else {
                    jobQuery.answerKnown(id, respond);
                  }
                }),
        "answer a malformed submission");
  }
}
