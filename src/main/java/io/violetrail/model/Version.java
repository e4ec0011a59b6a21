package io.violetrail.model;

/**
 * An entity's version, which is also the workers' fencing token. The remainder by the increment
 * names the owner, so a version says by itself who may act under it.
 *
 * <p>No version that is given out is below {@link #INCREMENT}. What is below stands for "none": 0
 * is the token of a worker that has seen none, and some workers read an answer without a token as
 * one with token 0. As long as 0 was also the first controller's first version, such an answer
 * renewed the lease of that controller's workers. Rows with versions below the increment, left by
 * programs of that time, are read as they are and lifted by the next move.
 */
public record Version(long value) implements Comparable<Version> {
  /** Leaves room for ten controllers, as in the paper's example. */
  public static final int INCREMENT = 10;

  /** What a worker has seen that has seen no token; lower than every version that is given out. */
  public static final Version NONE = new Version(0);

  /**
   * Checks the value.
   *
   * @throws IllegalArgumentException if the value is negative
   */
  public Version {
    if (value < 0) {
      throw new IllegalArgumentException("a version is not negative: " + value);
    }
  }

  /** The first version of the entity of the controller with that index. */
  public static Version firstOwnedBy(int ownerIndex) {
    return NONE.nextOwnedBy(ownerIndex);
  }

  /**
   * The first version above this one whose remainder is {@code ownerIndex}; it can serve as a
   * token.
   */
  public Version nextOwnedBy(int ownerIndex) {
    long lowerBound = Math.max(value, INCREMENT - 1);
    long candidate = lowerBound - Math.floorMod(lowerBound, (long) INCREMENT) + ownerIndex;
    return new Version(candidate > lowerBound ? candidate : candidate + INCREMENT);
  }

  /** The index of the controller that owns the entity under this version. */
  public int ownerIndex() {
    return (int) Math.floorMod(value, (long) INCREMENT);
  }

  /** Whether it can be told from "none", so that it may be given to workers as their token. */
  public boolean isToken() {
    return value >= INCREMENT;
  }

  /** This version if it can serve as a token; an error of the program otherwise. */
  public Version requireToken() {
    if (!isToken()) {
      throw new IllegalArgumentException("version " + value + " is no token");
    }
    return this;
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
