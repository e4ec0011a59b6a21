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
 * The records of all machines as known here, by machine, by entity and by block. A machine's record
 * stands in a block of its entity, or in a row of its own once it has passed to another entity; of
 * two that are known at a time, the newer one counts.
 *
 * <p>Part of {@link ClusterView}, used on the event loop's thread.
 */
final class MachineRowIndex {
  private static final int MAX_TERMINATED_MACHINES = 5_000;

  private final Map<MachineId, MachineRow> rows = new HashMap<>();

  /** The same rows by entity, since owners go through theirs with every change. */
  private final Map<ControllerId, Map<MachineId, MachineRow>> rowsByEntity = new HashMap<>();

  private final Map<ControllerId, Map<Integer, MachineBlock>> blocks = new HashMap<>();

  /** Machines whose record was removed, which comes after the cloud has certainly deleted them. */
  private final Cache<MachineId, Boolean> terminatedMachines =
      CacheBuilder.newBuilder().maximumSize(MAX_TERMINATED_MACHINES).build();

  /** The machine's row; null if none is known. */
  MachineRow find(MachineId id) {
    return rows.get(id);
  }

  /** The revision of the machine's own row; 0 if it has none, or is recorded in a block. */
  long singleRowRevision(MachineId id) {
    MachineRow row = rows.get(id);
    return row == null || row.isInBlock() ? 0 : row.modRevision();
  }

  /** Whether the machine's record was removed, not long ago. */
  boolean wasTerminated(MachineId id) {
    return terminatedMachines.getIfPresent(id) != null;
  }

  /** A snapshot of the rows of an entity's machines. */
  List<MachineRow> rowsOf(ControllerId entity) {
    return List.copyOf(rowsByEntity.getOrDefault(entity, Map.of()).values());
  }

  /** An entity's blocks by number. */
  Map<Integer, MachineBlock> blocks(ControllerId entity) {
    return blocks.getOrDefault(entity, Map.of());
  }

  /** Adds the keys of all machines' own rows and of all blocks. */
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

  /** A machine is recorded by that row from now on. */
  void put(MachineRow row) {
    removeFromEntity(rows.put(row.id(), row));
    terminatedMachines.invalidate(row.id());
    rowsByEntity.computeIfAbsent(row.entity(), entity -> new HashMap<>()).put(row.id(), row);
  }

  /** The machine's record was removed. */
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

  /** A block of an entity was written, or emptied. */
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

  /** A machine that has passed on has a row of its own by now, maybe read before the block. */
  private boolean isRecordedIn(ControllerId entity, int number, MachineId id) {
    MachineRow known = rows.get(id);
    return known != null && known.block() == number && known.entity().equals(entity);
  }
}
