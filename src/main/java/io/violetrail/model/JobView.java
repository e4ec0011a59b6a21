package io.violetrail.model;

/** A job as the API shows it to users, with its numbers of completed and of running tasks. */
public record JobView(String id, JobStatus status, int doneCount, int runningCount) {
  /** A job's status as users see it. */
  public enum JobStatus {
    /** The job has not ended, and none of its tasks runs. */
    QUEUED,
    /** At least one task runs. */
    RUNNING,
    /** All tasks are done. This status is final. */
    DONE,
    /** The user has cancelled the job. This status is final. */
    CANCELLED;

    /** Returns whether the status is final. */
    public boolean isTerminal() {
      return this == DONE || this == CANCELLED;
    }
  }
}
