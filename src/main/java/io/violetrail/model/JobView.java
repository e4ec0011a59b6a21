package io.violetrail.model;

/** What a user is told of a job; counts are of tasks. */
public record JobView(String id, JobStatus status, int doneCount, int runningCount) {
  /** A job's state as users see it. */
  public enum JobStatus {
    /** No task runs. */
    QUEUED,
    /** Some task runs. */
    RUNNING,
    /** All tasks are done; it remains so. */
    DONE,
    /** Its user has called it off; it remains so. */
    CANCELLED;

    /** Whether the state is an end, which never changes. */
    public boolean isTerminal() {
      return this == DONE || this == CANCELLED;
    }
  }
}
