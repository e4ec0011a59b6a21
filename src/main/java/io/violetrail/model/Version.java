package io.violetrail.model;

/**
 * An entity's version, which is also the workers' term. The remainder by the increment names the
 * owner, so a version says by itself who may act under it.
 */
public record Version(long value) implements Comparable<Version> {
  /** Leaves room for ten controllers, as in the paper's example. */
  public static final int INCREMENT = 10;

  /** The first version above this one whose remainder is {@code owner}. */
  public Version nextFor(int owner) {
    long base = value - Math.floorMod(value, (long) INCREMENT) + owner;
    return new Version(base > value ? base : base + INCREMENT);
  }

  public int owner() {
    return (int) Math.floorMod(value, (long) INCREMENT);
  }

  @Override
  public int compareTo(Version other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
