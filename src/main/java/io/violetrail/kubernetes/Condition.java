package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The condition of a kept object's status, in the published form. An object has one at a time.
 *
 * @param type such as {@code Complete} or {@code Available}
 * @param reason one word for programs
 * @param message a sentence for people
 * @param lastTransitionTime since when the condition is as it is
 */
record Condition(
    String type, boolean status, String reason, String message, String lastTransitionTime) {
  static final String TRUE = "True";
  static final String FALSE = "False";

  /** Makes this the only condition of a status. */
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
