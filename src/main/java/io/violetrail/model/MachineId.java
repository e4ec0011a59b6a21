package io.violetrail.model;

/** The name that the cloud has given to a machine. */
public record MachineId(String value) {
  @Override
  public String toString() {
    return value;
  }
}
