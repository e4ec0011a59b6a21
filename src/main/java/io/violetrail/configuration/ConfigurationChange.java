package io.violetrail.configuration;

/**
 * A change of the configuration that an operator requests.
 *
 * @param expectedRevision the revision that the change replaces; if another revision is in force,
 *     the change is refused as a conflict
 * @param requestId identifies the request, so that a repeat with the same id has no further effect
 * @param content the requested content; null for a rollback to {@code rollbackRevision}
 * @param rollbackRevision a kept revision whose content is restored; ignored unless {@code content}
 *     is null
 */
public record ConfigurationChange(
    long expectedRevision,
    String requestId,
    String author,
    String reason,
    ClusterConfiguration content,
    long rollbackRevision) {

  /** The outcome of a requested change. */
  public enum Outcome {
    /** The change is in force, or was in force until a later change. */
    APPLIED,
    /** Nothing was changed: another revision than the expected one is in force. */
    CONFLICT,
    /** Nothing was changed: the request cannot be fulfilled. */
    REFUSED,
    /** The change may be in force or come into force. A repeat with the same id shows which. */
    UNKNOWN
  }

  /**
   * The outcome of a requested change, with a message for the operator.
   *
   * @param revision the change's own revision if it was applied, the revision in force if it was
   *     rejected, 0 if the outcome is unknown
   * @param message empty if the change was applied
   */
  public record Result(Outcome outcome, long revision, String message) {}

  /** Returns a text that is equal for repeats of the same request. */
  String requestDigest() {
    return content == null ? "rollback " + rollbackRevision : content.digest();
  }
}
