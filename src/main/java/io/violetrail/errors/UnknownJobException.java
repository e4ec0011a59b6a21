package io.violetrail.errors;

import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;

/** The controller that was queried as the owner of a job does not know the job. */
public final class UnknownJobException extends RequestFailedException {
  private static final long serialVersionUID = 1L;

  private final transient ControllerId owner;
  private final transient JobId jobId;

  /** Creates a failure that names the queried controller and the job. */
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
