package io.violetrail.model;

/** What a user is told of a job. */
public record JobView(String id, JobStatus status, int doneCount, int runningCount) {
  /** A job's state as users see it. */
  public enum JobStatus {
    QUEUED,
    RUNNING,
    DONE,
    CANCELLED;

    public boolean isTerminal() {
      return this == DONE || this == CANCELLED;
    }
  }
}
