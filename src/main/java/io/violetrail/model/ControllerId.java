package io.violetrail.model;

/** A controller's label. The controller's home entity has the same id. */
public record ControllerId(String value) implements Comparable<ControllerId> {
  @Override
  public int compareTo(ControllerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
