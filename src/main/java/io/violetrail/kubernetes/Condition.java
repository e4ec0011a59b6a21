package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The condition in a stored object's status, in the format of the published API. An object has at
 * most one condition at a time.
 *
 * @param type such as {@code Complete} or {@code Available}
 * @param reason one word for programs, such as {@code DeadlineExceeded}
 * @param message a sentence for people
 * @param lastTransitionTime when the condition took its current status
 */
record Condition(
    String type, boolean status, String reason, String message, String lastTransitionTime) {
  static final String TRUE = "True";
  static final String FALSE = "False";

  /** Replaces all conditions of a status with this one. */
  void writeTo(ObjectNode objectStatus) {
    objectStatus
        .putArray("conditions")
        .addObject()
        .put("type", type)
        .put("status", status ? TRUE : FALSE)
        .put("reason", reason)
        .put("message", message)
        .put("lastTransitionTime", lastTransitionTime);
  }
}
