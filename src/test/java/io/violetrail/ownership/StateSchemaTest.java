package io.violetrail.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.WorkerTiming;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.model.ControllerId;
import io.violetrail.model.MachineId;
import io.violetrail.model.Version;
import io.violetrail.ownership.StateSchema.EntityRow;
import io.violetrail.ownership.StateSchema.MachineRow;
import io.violetrail.ownership.StateSchema.OwnershipHistory;
import io.violetrail.wire.Cbor;
import org.junit.jupiter.api.Test;

/** Decoding of rows that earlier releases wrote, and of rows with missing fields. */
class StateSchemaTest {
  private static final String KEY = StateSchema.ENTITY_PREFIX + "c0";
  private static final long NOW_MS = 1_700_000_000_000L;

  private static EntityRow entityRow(ObjectNode value) {
    return StateSchema.decodeEntity(KEY, value, 3);
  }

  @Test
  void rowsWithVersionsBelowFirstFencingTokenCannotBeOwned() {
    EntityRow withoutVersion = entityRow(Cbor.newMap().put("owner", "c0"));
    EntityRow firstVersionOfEarlierRelease =
        entityRow(Cbor.newMap().put("owner", "c0").put("version", 0));
    EntityRow handedOver = entityRow(Cbor.newMap().put("owner", "c2").put("version", 2));
    assertEquals(Version.NONE, withoutVersion.version());
    for (EntityRow row :
        new EntityRow[] {withoutVersion, firstVersionOfEarlierRelease, handedOver}) {
      assertThrows(IllegalArgumentException.class, () -> new OwnedEntity(row, true, 0));
      assertTrue(row.version().nextOwnedBy(0).isFencingToken());
    }
  }

  @Test
  void firstAttemptAndScaleOutRequestIdsAreUnusedByPreviousReleases() {
    EntityRow first =
        new EntityRow(
            new ControllerId("c0"), Version.firstOwnedBy(0), true, OwnershipHistory.NONE, 1);
    OwnedEntity entity = new OwnedEntity(first, true, 0);
    long firstAttempt = entity.nextAttemptId();
    assertEquals((10L << 36) + 1, firstAttempt);
    // Up to the release before, attempt numbers were the version times a million and a count.
    long firstAttemptOfPreviousRelease = 10_000_001;
    assertTrue(firstAttempt > firstAttemptOfPreviousRelease);
    assertEquals("c0-10-1", entity.nextScaleOutRequestId());
  }

  @Test
  void livenessRowWithoutTheFlagMeansRepliesMayLackTheToken() {
    assertFalse(StateSchema.decodeLiveness(Cbor.newMap().put("zone", "z"), 1).tokenInEveryReply());
    assertTrue(StateSchema.decodeLiveness(StateSchema.encodeLiveness("z"), 1).tokenInEveryReply());
  }

  @Test
  void absentLivenessRowHasRevisionZeroAndBlockZeroIsValid() {
    ClusterView clusterView = new ClusterView(new ClusterSimulation(3, 1).settings("c0"));
    ControllerId c1 = new ControllerId("c1");
    assertEquals(
        0,
        clusterView.livenessRevision(c1),
        "revision 0 is the condition that the key does not exist");
    assertFalse(clusterView.isAlive(c1));
    MachineId id = new MachineId("vm-1");
    MachineRow row = new MachineRow(id, c1, "plain", "a", false, false, Version.NONE, NOW_MS);
    assertFalse(row.isInBlock());
    assertTrue(row.withBlock(0).isInBlock());
  }

  @Test
  void emptyOwnershipHistoryCausesNoWaitAndStartsWithTheFirstMove() {
    ClusterSimulation simulation = new ClusterSimulation(3, 1);
    simulation.setWorkerSettings(new WorkerTiming(2.5, 16, 50, 6, 36));
    LeaseTiming leaseTiming = LeaseTiming.from(simulation.settings("c0"), null);
    assertTrue(leaseTiming.secondsUntilTasksGone(OwnershipHistory.NONE, NOW_MS) < 0);
    assertEquals(
        new OwnershipHistory(NOW_MS, 0),
        leaseTiming.historyAfterMove(OwnershipHistory.NONE, NOW_MS, false));
  }
}
