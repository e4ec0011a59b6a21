package io.violetrail.model;

/**
 * A controller's label. It is also the id of the controller's home entity, which this controller
 * leads unless another one has taken it over.
 */
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
