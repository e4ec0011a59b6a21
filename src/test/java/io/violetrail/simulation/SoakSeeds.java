package io.violetrail.simulation;

import java.util.stream.LongStream;

/** The seeds of tests that run a few seeds in CI and many when they are started by hand. */
final class SoakSeeds {
  private SoakSeeds() {}

  /**
   * Returns the formerly failing seeds and those from 1 to the value of a system property.
   *
   * @param property set by a soak by hand, as in {@code mvn -Dtest=LateCopiesTest
   *     -DargLine=-Dlate.copies.seeds=400 test}
   * @param defaultCount the value without the property
   */
  static LongStream of(String property, long defaultCount, long... formerlyFailingSeeds) {
    long seedCount = Long.getLong(property, defaultCount);
    return LongStream.concat(
            LongStream.of(formerlyFailingSeeds), LongStream.rangeClosed(1, seedCount))
        .distinct();
  }
}
