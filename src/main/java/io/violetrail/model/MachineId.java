package io.violetrail.model;

/** The cloud's name of a machine. */
public record MachineId(String value) {
  @Override
  public String toString() {
    return value;
  }
}
