package io.violetrail.model;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Derives job ids from the identity of the object that the job belongs to, such as a run of a
 * schedule. The same controller or the next owner derives the same id again when it repeats a
 * submission. An id can be claimed only once, so the job is stored only once.
 */
public final class DerivedJobId {
  private DerivedJobId() {}

  /**
   * Returns the id for an identity. It consists of the prefix and 19 digits of the identity's hash,
   * so it has 20 digits, which makes a collision with a user's id unlikely.
   *
   * @param prefix {@code job-} and one digit for the kind of identity
   */
  public static JobId of(String prefix, String identity) {
    long digest = Hashing.sha256().hashString(identity, StandardCharsets.UTF_8).asLong();
    return new JobId(prefix + "%019d".formatted(digest & Long.MAX_VALUE));
  }
}
