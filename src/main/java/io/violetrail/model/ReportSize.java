package io.violetrail.model;

/**
 * Bounds the length of a worker's report, which lists all tasks on its machine. Controllers refuse
 * reports that are longer than a request body may be. A worker whose reports are refused loses its
 * lease, and with it all of its tasks. Therefore the room in the report is one of the {@link
 * Resources} that a task takes of its machine.
 *
 * <p>Sizes are those of the JSON form of a report, as in the protocol; its CBOR form is shorter.
 */
public final class ReportSize {
  /** The maximum length of a request body, and so of a report, in bytes. */
  public static final int MAX_REPORT_BYTES = 64 * 1024;

  /** Upper bound, in bytes, for all parts of a report but its tasks. */
  static final int HEADER_BYTES = 1024;

  /**
   * Upper bound, in bytes, for one task without the job's id: field names and punctuation, the
   * longest task index and attempt number, state and exit cause.
   */
  static final int TASK_BYTES = 110;

  private ReportSize() {}

  /** Returns how many bytes of a report are available for its tasks. */
  public static int bytesForTasks() {
    return MAX_REPORT_BYTES - HEADER_BYTES;
  }

  /** Returns the most bytes that a task of the job takes in a report, in whatever state it is. */
  public static int bytesOfTask(JobId job) {
    return TASK_BYTES + job.value().length();
  }
}
