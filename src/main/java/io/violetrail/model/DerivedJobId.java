package io.violetrail.model;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Ids of jobs that follow from what the jobs belong to. A step that is repeated, by the same
 * controller or by the next owner, names the same job, whose id can be claimed once; so it is
 * stored once.
 */
public final class DerivedJobId {
  private DerivedJobId() {}

  /**
   * The id for an identity: a prefix and 19 digits of the identity's hash, twenty digits in all, so
   * that no user's id is met by chance.
   *
   * @param prefix {@code job-} with a digit for the kind of identity
   */
  public static JobId of(String prefix, String identity) {
    long digest = Hashing.sha256().hashString(identity, StandardCharsets.UTF_8).asLong();
    return new JobId(prefix + "%019d".formatted(digest & Long.MAX_VALUE));
  }
}
