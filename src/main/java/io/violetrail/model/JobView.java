package io.violetrail.model;

/** What a user is told of a job. */
public record JobView(String id, Status status, int done, int running) {
  /** A job's state as users see it. */
  public enum Status {
    QUEUED,
    RUNNING,
    DONE,
    CANCELLED;

    public boolean terminal() {
      return this == DONE || this == CANCELLED;
    }
  }
}
