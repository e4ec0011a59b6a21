package io.violetrail.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Workers;
import io.violetrail.fakes.World;
import io.violetrail.model.ControllerId;
import io.violetrail.model.MachineId;
import io.violetrail.model.Version;
import io.violetrail.ownership.Rows.EntityRow;
import io.violetrail.ownership.Rows.MachineRow;
import io.violetrail.ownership.Rows.OwnershipHistory;
import io.violetrail.wire.Cbor;
import org.junit.jupiter.api.Test;

/** Rows of earlier programs, and rows that say less than they should. */
class RowsTest {
  private static final String KEY = Rows.ENTITY + "c0";
  private static final long NOW_MS = 1_700_000_000_000L;

  private static EntityRow row(ObjectNode value) {
    return Rows.entity(KEY, value, 3);
  }

  @Test
  void noEntityIsHeldUnderAVersionThatIsNoToken() {
    EntityRow absent = row(Cbor.map().put("owner", "c0"));
    EntityRow earlier = row(Cbor.map().put("owner", "c0").put("version", 0));
    EntityRow taken = row(Cbor.map().put("owner", "c2").put("version", 2));
    assertEquals(Version.NONE, absent.version());
    for (EntityRow row : new EntityRow[] {absent, earlier, taken}) {
      assertThrows(IllegalArgumentException.class, () -> new OwnedEntity(row, true, 0));
      assertTrue(row.version().nextFor(0).isToken());
    }
  }

  @Test
  void attemptsAndRentalNamesAreAboveThoseOfEarlierPrograms() {
    EntityRow first =
        new EntityRow(new ControllerId("c0"), Version.first(0), true, OwnershipHistory.NONE, 1);
    OwnedEntity entity = new OwnedEntity(first, true, 0);
    assertEquals(10_000_001, entity.newAttempt());
    assertEquals("c0-10-1", entity.newHire());
  }

  @Test
  void aControllerThatDoesNotSaySoMayAnswerWithoutToken() {
    assertFalse(Rows.alive(Cbor.map().put("zone", "z"), 1).tokenInEveryAnswer());
    assertTrue(Rows.alive(Rows.aliveValue("z"), 1).tokenInEveryAnswer());
  }

  @Test
  void anAbsentRowHasStampZeroAndTheFirstBlockIsABlock() {
    Directory directory = new Directory(new World(3, 1).settings("c0"));
    ControllerId c1 = new ControllerId("c1");
    assertEquals(0, directory.aliveStamp(c1), "the condition that the key does not exist");
    assertFalse(directory.isAlive(c1));
    MachineId id = new MachineId("vm-1");
    MachineRow row = new MachineRow(id, c1, "plain", "a", false, false, Version.NONE, NOW_MS);
    assertFalse(row.inBlock());
    assertTrue(row.inBlock(0).inBlock());
  }

  @Test
  void aHistoryThatSaysNothingMakesNobodyWaitAndBeginsWithTheFirstMove() {
    World world = new World(3, 1);
    world.workers = new Workers(2.5, 16, 50, 6, 36);
    Timing timing = Timing.of(world.settings("c0"), null);
    assertTrue(timing.goneAfterLastSeizureS(OwnershipHistory.NONE, NOW_MS) < 0);
    assertEquals(
        new OwnershipHistory(NOW_MS, 0), timing.afterMove(OwnershipHistory.NONE, NOW_MS, false));
  }
}
