package io.violetrail.configuration;

/**
 * What an operator asks for.
 *
 * @param expectedRevision the revision that it is to replace
 * @param requestId names the request: a repeat under the same name changes nothing more
 * @param content what is to be in force; null to go back to {@code rollbackRevision}
 * @param rollbackRevision a kept revision whose content is to be in force again
 */
public record ConfigurationChange(
    long expectedRevision,
    String requestId,
    String author,
    String reason,
    ClusterConfiguration content,
    long rollbackRevision) {

  /** What became of it. */
  public enum Outcome {
    /** It is in force, or was until a later change. */
    APPLIED,
    /** Nothing was changed: another revision than the expected one is in force. */
    CONFLICT,
    /** Nothing was changed: the change asks for what cannot be. */
    REFUSED,
    /** It may be in force or may come into force; a repeat under the same name tells. */
    UNKNOWN
  }

  /**
   * What became of a proposed change, with a message for the operator.
   *
   * @param revision the change's own if it was applied, else the one in force
   */
  public record Result(Outcome outcome, long revision, String message) {}

  /** Equal for repeats of the same request. */
  String requestDigest() {
    return content == null ? "rollback " + rollbackRevision : content.digest();
  }
}
