package io.violetrail.ownership;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.violetrail.model.ControllerId;
import io.violetrail.model.MachineId;
import io.violetrail.ownership.ClusterView.MachineBlock;
import io.violetrail.ownership.StateSchema.MachineRow;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * An index of all known machine records by machine, by entity and by block. A machine's record is
 * in a block of its entity, or in a row of its own once the machine has been transferred to another
 * entity. If both are known at the same time, the newer one is used.
 *
 * <p>Part of {@link ClusterView}. Must be used on the event loop's thread.
 */
final class MachineRowIndex {
  private static final int MAX_TERMINATED_MACHINES = 5_000;

  private final Map<MachineId, MachineRow> rows = new HashMap<>();

  /** The same rows by entity, because owners iterate over their rows on every change. */
  private final Map<ControllerId, Map<MachineId, MachineRow>> rowsByEntity = new HashMap<>();

  private final Map<ControllerId, Map<Integer, MachineBlock>> blocks = new HashMap<>();

  /**
   * Machines whose record was removed recently. A record is removed only after the cloud has
   * certainly deleted the machine.
   */
  private final Cache<MachineId, Boolean> terminatedMachines =
      CacheBuilder.newBuilder().maximumSize(MAX_TERMINATED_MACHINES).build();

  /** Returns the machine's record; null if none is known. */
  MachineRow find(MachineId id) {
    return rows.get(id);
  }

  /** Returns the revision of the machine's own row; 0 if it has none or is recorded in a block. */
  long singleRowRevision(MachineId id) {
    MachineRow row = rows.get(id);
    return row == null || row.isInBlock() ? 0 : row.modRevision();
  }

  /** Returns whether the machine's record is among the most recently removed ones. */
  boolean wasTerminated(MachineId id) {
    return terminatedMachines.getIfPresent(id) != null;
  }

  /** Returns a snapshot of the records of an entity's machines. */
  List<MachineRow> rowsOf(ControllerId entity) {
    return List.copyOf(rowsByEntity.getOrDefault(entity, Map.of()).values());
  }

  Map<Integer, MachineBlock> blocks(ControllerId entity) {
    return blocks.getOrDefault(entity, Map.of());
  }

  /** Adds the keys of all own rows of machines and of all blocks to the set. */
  void addKeysTo(Set<String> keys) {
    for (MachineRow row : rows.values()) {
      if (!row.isInBlock()) {
        keys.add(StateSchema.machineKey(row.id()));
      }
    }
    blocks.forEach(
        (entity, blocksByNumber) ->
            blocksByNumber
                .keySet()
                .forEach(number -> keys.add(StateSchema.blockKey(entity, number))));
  }

  /** Sets the record of a machine, replacing a known one. */
  void put(MachineRow row) {
    removeFromEntity(rows.put(row.id(), row));
    terminatedMachines.invalidate(row.id());
    rowsByEntity.computeIfAbsent(row.entity(), entity -> new HashMap<>()).put(row.id(), row);
  }

  /** Removes the record of a machine and remembers the machine as terminated. */
  void remove(MachineId id) {
    MachineRow former = rows.remove(id);
    if (former != null) {
      removeFromEntity(former);
      terminatedMachines.put(id, true);
    }
  }

  private void removeFromEntity(MachineRow former) {
    if (former != null) {
      rowsByEntity.get(former.entity()).remove(former.id());
    }
  }

  /** Applies a written block. A deleted block is passed as one without rows. */
  void putBlock(ControllerId entity, int number, MachineBlock block) {
    MachineBlock former =
        blocks.computeIfAbsent(entity, absent -> new TreeMap<>()).put(number, block);
    if (former != null) {
      for (MachineId id : former.rows().keySet()) {
        if (!block.rows().containsKey(id) && isRecordedIn(entity, number, id)) {
          remove(id);
        }
      }
    }
    for (MachineRow row : block.rows().values()) {
      MachineRow known = rows.get(row.id());
      if (known == null || known.modRevision() < row.modRevision()) {
        put(row);
      }
    }
  }

  /**
   * Returns whether the machine's known record is in this block. A transferred machine has a row of
   * its own, which may have been read before the block's change.
   */
  private boolean isRecordedIn(ControllerId entity, int number, MachineId id) {
    MachineRow known = rows.get(id);
    return known != null && known.block() == number && known.entity().equals(entity);
  }
}
