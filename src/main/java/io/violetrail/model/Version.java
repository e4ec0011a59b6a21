package io.violetrail.model;

/**
 * An entity's version, which is also the fencing token for its workers. The version modulo {@link
 * #INCREMENT} is the index of the owner, so the version alone determines which controller may act
 * under it.
 *
 * <p>Every version that is issued is at least {@link #INCREMENT}. Lower values stand for "none": 0
 * is the token of a worker that has seen no token, and some workers read a reply without a token as
 * a reply with token 0. Earlier releases issued 0 as the first version of the first controller, so
 * that such a reply renewed the leases of that controller's workers. Rows with a lower version that
 * those releases have stored are read unchanged. The version is raised when a controller next
 * acquires the entity.
 */
public record Version(long value) implements Comparable<Version> {
  /** Limits a cluster to ten controllers, as in the paper's example. */
  public static final int INCREMENT = 10;

  /** The token of a worker that has seen no token; lower than every version that is issued. */
  public static final Version NONE = new Version(0);

  /**
   * Creates a version, which need not be a valid fencing token.
   *
   * @throws IllegalArgumentException if the value is negative
   */
  public Version {
    if (value < 0) {
      throw new IllegalArgumentException("version must not be negative: " + value);
    }
  }

  /** Returns the first version of an entity whose first owner has the given index. */
  public static Version firstOwnedBy(int ownerIndex) {
    return NONE.nextOwnedBy(ownerIndex);
  }

  /**
   * Returns the lowest version above this one that belongs to the owner with the given index and is
   * a valid fencing token.
   */
  public Version nextOwnedBy(int ownerIndex) {
    long lowerBound = Math.max(value, INCREMENT - 1);
    long candidate = lowerBound - Math.floorMod(lowerBound, (long) INCREMENT) + ownerIndex;
    return new Version(candidate > lowerBound ? candidate : candidate + INCREMENT);
  }

  /** Returns the index of the controller that owns the entity under this version. */
  public int ownerIndex() {
    return (int) Math.floorMod(value, (long) INCREMENT);
  }

  /** Returns whether this version is distinct from "none" and so may be sent to workers. */
  public boolean isFencingToken() {
    return value >= INCREMENT;
  }

  /**
   * Returns this version.
   *
   * @throws IllegalArgumentException if this version is not a valid fencing token, which is a fault
   *     of the program
   */
  public Version requireFencingToken() {
    if (!isFencingToken()) {
      throw new IllegalArgumentException(
          "version " + value + " is not a fencing token: must be at least " + INCREMENT);
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
