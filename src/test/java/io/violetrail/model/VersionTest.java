package io.violetrail.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class VersionTest {
  @Test
  void theNextVersionIsTheFirstAboveWithTheOwnersRemainder() {
    assertEquals(new Version(2), new Version(0).nextFor(2));
    assertEquals(new Version(10), new Version(0).nextFor(0));
    assertEquals(new Version(101), new Version(92).nextFor(1));
    assertEquals(2, new Version(102).owner());
  }
}
