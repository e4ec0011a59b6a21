package io.violetrail.ownership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.model.ControllerId;
import io.violetrail.model.Version;
import io.violetrail.ownership.StateSchema.EntityRow;
import io.violetrail.ownership.StateSchema.OwnershipHistory;
import org.junit.jupiter.api.Test;

/** Tests what an {@link OwnedEntity} derives from its version. */
class OwnedEntityTest {
  /** Launches of two hours at 140 a second. */
  private static final int LAUNCH_COUNT = 1_008_000;

  private static OwnedEntity ownedUnder(long version) {
    EntityRow row =
        new EntityRow(
            new ControllerId("c0"), new Version(version), true, OwnershipHistory.NONE, version);
    return new OwnedEntity(row, true, 0);
  }

  // Guards against attempt numbers that come twice, under a version and under the next one.
  @Test
  void attemptNumbersOfOneVersionAreBelowThoseOfTheNext() {
    OwnedEntity entity = ownedUnder(20);
    long lastAttempt = 0;
    for (int launch = 0; launch < LAUNCH_COUNT; launch++) {
      lastAttempt = entity.nextAttemptId();
    }
    long firstAttemptOfNextVersion = ownedUnder(21).nextAttemptId();
    assertTrue(
        lastAttempt < firstAttemptOfNextVersion,
        lastAttempt + " of version 20 is not below " + firstAttemptOfNextVersion + " of 21");
  }
}
