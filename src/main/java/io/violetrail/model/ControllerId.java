package io.violetrail.model;

/** A controller's label; also names the entity that is at home there. */
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
