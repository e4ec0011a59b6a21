package io.violetrail.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class VersionTest {
  @Test
  void nextVersionIsTheSmallestGreaterOneOfTheOwner() {
    assertEquals(new Version(22), new Version(12).nextOwnedBy(2));
    assertEquals(new Version(10), new Version(0).nextOwnedBy(0));
    assertEquals(new Version(101), new Version(92).nextOwnedBy(1));
    assertEquals(2, new Version(102).ownerIndex());
  }

  @Test
  void everyIssuedVersionIsValidFencingToken() {
    for (int owner = 0; owner < Version.INCREMENT; owner++) {
      assertEquals(Version.INCREMENT + owner, Version.firstOwnedBy(owner).value());
      assertTrue(Version.firstOwnedBy(owner).isFencingToken());
      for (int reserved = 0; reserved < Version.INCREMENT; reserved++) {
        Version next = new Version(reserved).nextOwnedBy(owner);
        assertTrue(next.isFencingToken());
        assertEquals(owner, next.ownerIndex());
      }
    }
    assertFalse(Version.NONE.isFencingToken());
    assertThrows(IllegalArgumentException.class, () -> new Version(9).requireFencingToken());
    assertThrows(IllegalArgumentException.class, () -> new Version(-1));
  }
}
