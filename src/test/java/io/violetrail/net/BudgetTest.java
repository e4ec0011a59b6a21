package io.violetrail.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class BudgetTest {
  @Test
  void whatIsAddedAboveTheBurstStaysAndDoesNotGrow() {
    Budget b = new Budget(4, 4, 0);
    b.add(3, 0);
    assertEquals(7, b.spare(0, 100), 1e-9);
    assertTrue(b.take(4, 100));
    assertTrue(b.take(3, 100));
    assertFalse(b.take(1, 100));
    assertEquals(4, b.spare(0, 200), 1e-9);
  }

  @Test
  void whatIsLentIsMissingUntilItIsRefilled() {
    Budget b = new Budget(4, 4, 0);
    b.force(b.spare(2, 0), 0);
    assertEquals(0, b.spare(2, 0), 1e-9);
    assertEquals(3, b.lacking(5, 0), 1e-9);
    assertEquals(2, b.spare(2, 0.5), 1e-9);
  }

  @Test
  void aSmallerPartBeginsWithNoMoreThanItsOwn() {
    Budget b = new Budget(9, 9, 0);
    b.resize(4, 0);
    assertEquals(4, b.spare(0, 0), 1e-9);
    assertEquals(4, b.spare(0, 100), 1e-9);
  }
}
