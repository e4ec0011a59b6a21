package io.violetrail.model;

/** A user's job id; users choose it, in one fixed form. */
public record JobId(String value) implements Comparable<JobId> {
  private static final int MAX_LENGTH = 64;

  /** Whether the text has the only form that ids take: {@code job-} and digits. */
  public static boolean isWellFormed(String text) {
    if (text == null
        || !text.startsWith("job-")
        || text.length() < 5
        || text.length() > MAX_LENGTH) {
      return false;
    }
    return text.chars().skip(4).allMatch(c -> c >= '0' && c <= '9');
  }

  @Override
  public int compareTo(JobId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
