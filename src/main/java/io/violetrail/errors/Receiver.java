package io.violetrail.errors;

/** Who a request was sent to, as it is named in messages. */
public enum Receiver {
  STATE_STORE("state service"),
  PEER("peer"),
  CLOUD("cloud"),
  TASK_OWNER("owner");

  private final String label;

  Receiver(String label) {
    this.label = label;
  }

  String label() {
    return label;
  }
}
