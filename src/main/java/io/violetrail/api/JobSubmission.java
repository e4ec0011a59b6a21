package io.violetrail.api;

import com.fasterxml.jackson.databind.JsonNode;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.JobView.JobStatus;
import io.violetrail.net.Futures;
import io.violetrail.net.RequestHandler.HttpAnswer;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.Cbor.MalformedMessageException;
import io.violetrail.wire.JobMessages;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes users' submissions, which are idempotent: a repeat of an accepted job is answered with that
 * job's state. Called on the event loop's thread; what it accepts is stored before it answers.
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
   * Submits to the admission of this controller's own entity.
   *
   * @param maxValueBytes the size limit of a stored row; a job's description may take half of it
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
   * Answers a submission: 201 if it is accepted, 200 if it was before, 400 if it is malformed, 422
   * if the job can never run, 503 if it is to be repeated later.
   */
  void handle(byte[] body, Consumer<HttpAnswer> respond) {
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
      throw new MalformedMessageException("the body is too long");
    }
    return Cbor.parse(body);
  }

  /** The id that the message names; null if it names none that is well-formed. */
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
      throw new MalformedMessageException("the job's description is too long");
    }
    return spec;
  }

  private void answerDecision(
      JobId id, JobAdmission.Decision decision, Consumer<HttpAnswer> respond) {
    switch (decision.verdict()) {
      case ACCEPTED ->
          respond.accept(
              HttpAnswer.of(
                  201, JobMessages.viewMessage(new JobView(id.value(), JobStatus.QUEUED, 0, 0))));
      case KNOWN -> jobQuery.answerKnown(id, respond);
      case IMPOSSIBLE -> respond.accept(HttpAnswer.error(422, decision.reason()));
      default -> respond.accept(HttpAnswer.unavailable(decision.reason()));
    }
  }

  /**
   * A repeat of an accepted job is never refused, even if its other fields are malformed: clients
   * may resend only a part of the description. Without a well-formed id there is no job to look up.
   */
  private void answerMalformed(JobId id, String reason, Consumer<HttpAnswer> respond) {
    LOG.debug("submission refused: {}", reason);
    if (id == null) {
      respond.accept(HttpAnswer.error(400, reason));
      return;
    }
    Futures.logFailure(
        jobLookup
            .lookUp(id)
            .whenComplete(
                (found, failure) -> {
                  if (failure != null) {
                    respond.accept(JobAnswers.stateServiceUnavailable());
                  } else if (found.isAbsent()) {
                    respond.accept(HttpAnswer.error(400, reason));
                  } else {
                    jobQuery.answerKnown(id, respond);
                  }
                }),
        "answer a question about a job");
  }
}
