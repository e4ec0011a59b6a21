package io.violetrail.errors;

/** The receiver of a request, as named in error messages. */
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
