package io.violetrail.model;

/** A job's id. The users of the API choose the ids of the jobs that they submit. */
public record JobId(String value) implements Comparable<JobId> {
  private static final int MAX_LENGTH = 64;

  /** Returns whether the text is {@code job-} and digits, with at most 64 characters in all. */
  public static boolean isWellFormed(String text) {
    if (text == null
        || !text.startsWith("job-")
        || text.length() < 5
        || text.length() > MAX_LENGTH) {
      return false;
    }
    return text.chars().skip(4).allMatch(character -> character >= '0' && character <= '9');
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
