package io.violetrail.errors;

import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;

/** The controller that was asked about a job as its owner does not know it. */
public final class UnknownJobException extends RequestFailedException {
  private static final long serialVersionUID = 1L;

  private final transient ControllerId owner;
  private final transient JobId jobId;

  /** The controller that was asked, and the job. */
  public UnknownJobException(ControllerId owner, JobId jobId) {
    super("owner " + owner + " does not know job " + jobId);
    this.owner = owner;
    this.jobId = jobId;
  }

  public ControllerId owner() {
    return owner;
  }

  public JobId jobId() {
    return jobId;
  }
}
