package io.violetrail.model;

/** Identifies a task by its job and its index in the job, which starts at 0. */
public record TaskId(JobId jobId, int index) {
  /** Parses a text like {@code job-000412/3}; returns null if it is malformed. */
  public static TaskId parse(String text) {
    int slash = text == null ? -1 : text.indexOf('/');
    if (slash < 0 || !JobId.isWellFormed(text.substring(0, slash))) {
      return null;
    }
    try {
      int index = Integer.parseInt(text.substring(slash + 1));
      return index < 0 ? null : new TaskId(new JobId(text.substring(0, slash)), index);
    } catch (NumberFormatException exception) {
      return null;
    }
  }

  @Override
  public String toString() {
    return jobId + "/" + index;
  }
}
