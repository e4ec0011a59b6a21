package io.violetrail.ownership;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.violetrail.config.Settings;
import io.violetrail.model.ControllerId;
import io.violetrail.model.MachineId;
import io.violetrail.model.Version;
import io.violetrail.ownership.StateSchema.EntityRow;
import io.violetrail.ownership.StateSchema.LivenessRow;
import io.violetrail.ownership.StateSchema.MachineRow;
import io.violetrail.wire.StateStoreMessages.Entry;
import io.violetrail.wire.StateStoreMessages.RowChange;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What this controller knows of the common rows. It may lag; every write names the stamps it was
 * decided on, so a stale view costs a refused transaction and never a wrong one.
 */
public final class ClusterView {
  private final Settings settings;
  private final Map<ControllerId, LivenessRow> livenessRows = new HashMap<>();
  private final Map<ControllerId, EntityRow> entityRows = new HashMap<>();
  private final Map<ControllerId, Version> announcedVersions = new HashMap<>();
  private final Map<MachineId, MachineRow> machineRows = new HashMap<>();

  /** The same machines by entity, since owners go through theirs with every change. */
  private final Map<ControllerId, Map<MachineId, MachineRow>> machineRowsByEntity = new HashMap<>();

  private final Map<ControllerId, Map<Integer, MachineBlock>> blocks = new HashMap<>();
  private final Map<String, Entry> quotaShares = new HashMap<>();

  /** When each key was last dropped, so that an older change cannot bring it back. */
  private final Map<String, Long> deletionRevisions = new HashMap<>();

  /**
   * Machines whose record was removed, which comes after the cloud has taken them back for sure.
   */
  private final Cache<MachineId, Boolean> terminatedMachines =
      CacheBuilder.newBuilder().maximumSize(5_000).build();

  private JsonNode machineTypes;
  private Entry configurationEntry;
  private long machineAdditionsRevision;
  private long revision;

  /** A row that holds many machines of an entity. */
  public record MachineBlock(long modRevision, Map<MachineId, MachineRow> rows) {}

  public ClusterView(Settings settings) {
    this.settings = settings;
  }

  /** Takes a whole listing of the common rows. */
  public void replaceWithListing(List<Entry> entries, long asOfRevision) {
    Set<String> presentKeys = new HashSet<>();
    for (Entry entry : entries) {
      presentKeys.add(entry.key());
      apply(new RowChange(entry.key(), entry.value(), entry.modRevision()));
    }
    for (String key : knownKeys()) {
      if (!presentKeys.contains(key)) {
        apply(new RowChange(key, null, asOfRevision));
      }
    }
    revision = Math.max(revision, asOfRevision);
    deletionRevisions.values().removeIf(at -> at < asOfRevision);
  }

  public void advanceRevision(long upToRevision) {
    revision = Math.max(revision, upToRevision);
  }

  public long revision() {
    return revision;
  }

  /** Takes one change, unless something newer is known of its key. */
  public void apply(RowChange change) {
    if (change.modRevision() <= knownModRevision(change.key())
        || change.modRevision() <= deletionRevisions.getOrDefault(change.key(), 0L)) {
      return;
    }
    String key = change.key();
    boolean isSet = change.value() != null;
    if (!isSet) {
      deletionRevisions.put(key, change.modRevision());
    }
    if (key.startsWith(StateSchema.LIVENESS_PREFIX)) {
      put(
          livenessRows,
          new ControllerId(key.substring(StateSchema.LIVENESS_PREFIX.length())),
          isSet ? StateSchema.decodeLiveness(change.value(), change.modRevision()) : null);
    } else if (key.startsWith(StateSchema.ENTITY_PREFIX)) {
      put(
          entityRows,
          new ControllerId(key.substring(StateSchema.ENTITY_PREFIX.length())),
          isSet ? StateSchema.decodeEntity(key, change.value(), change.modRevision()) : null);
    } else if (key.startsWith(StateSchema.MACHINE_PREFIX)) {
      putMachineRow(
          new MachineId(key.substring(StateSchema.MACHINE_PREFIX.length())),
          isSet ? StateSchema.decodeMachine(key, change.value(), change.modRevision()) : null);
    } else if (key.startsWith(StateSchema.BLOCK_PREFIX)) {
      putBlock(
          key,
          isSet ? StateSchema.decodeBlock(key, change.value(), change.modRevision()) : Map.of(),
          change.modRevision());
    } else if (key.startsWith(StateSchema.QUOTA_SHARE_PREFIX)) {
      put(quotaShares, key, isSet ? new Entry(key, change.value(), change.modRevision()) : null);
    } else if (key.equals(StateSchema.MACHINE_ADDITIONS_KEY)) {
      machineAdditionsRevision = change.modRevision();
    } else if (key.equals(StateSchema.MACHINE_TYPES_KEY) && isSet) {
      machineTypes = change.value();
    } else if (key.equals(StateSchema.CONFIGURATION_KEY) && isSet) {
      // It is never dropped.
      configurationEntry = new Entry(key, change.value(), change.modRevision());
    }
  }

  private void putMachineRow(MachineId id, MachineRow row) {
    MachineRow former = machineRows.get(id);
    if (former != null) {
      machineRowsByEntity.get(former.entity()).remove(id);
    }
    put(machineRows, id, row);
    if (row == null && former != null) {
      terminatedMachines.put(id, true);
    }
    if (row != null) {
      terminatedMachines.invalidate(id);
      machineRowsByEntity.computeIfAbsent(row.entity(), e -> new HashMap<>()).put(id, row);
    }
  }

  private void putBlock(String key, Map<MachineId, MachineRow> rows, long modRevision) {
    ControllerId entity = StateSchema.entityOfBlock(key);
    int number = StateSchema.numberOfBlock(key);
    MachineBlock former =
        blocks
            .computeIfAbsent(entity, e -> new TreeMap<>())
            .put(number, new MachineBlock(modRevision, rows));
    if (former != null) {
      for (MachineId id : former.rows().keySet()) {
        MachineRow known = machineRows.get(id);
        // A machine that has passed on has a row of its own by now, maybe read before the block.
        boolean isStillInBlock =
            known != null && known.block() == number && known.entity().equals(entity);
        if (isStillInBlock && !rows.containsKey(id)) {
          putMachineRow(id, null);
        }
      }
    }
    for (MachineRow row : rows.values()) {
      MachineRow known = machineRows.get(row.id());
      if (known == null || known.modRevision() < row.modRevision()) {
        putMachineRow(row.id(), row);
      }
    }
  }

  private static <K, V> void put(Map<K, V> map, K key, V value) {
    if (value == null) {
      map.remove(key);
    } else {
      map.put(key, value);
    }
  }

  private long knownModRevision(String key) {
    if (key.startsWith(StateSchema.LIVENESS_PREFIX)) {
      return livenessRevision(
          new ControllerId(key.substring(StateSchema.LIVENESS_PREFIX.length())));
    } else if (key.startsWith(StateSchema.ENTITY_PREFIX)) {
      EntityRow row =
          entityRows.get(new ControllerId(key.substring(StateSchema.ENTITY_PREFIX.length())));
      return row == null ? 0 : row.modRevision();
    } else if (key.startsWith(StateSchema.MACHINE_PREFIX)) {
      MachineRow row =
          machineRows.get(new MachineId(key.substring(StateSchema.MACHINE_PREFIX.length())));
      return row == null || row.isInBlock() ? 0 : row.modRevision();
    } else if (key.startsWith(StateSchema.BLOCK_PREFIX)) {
      MachineBlock block =
          blocks(StateSchema.entityOfBlock(key)).get(StateSchema.numberOfBlock(key));
      return block == null ? 0 : block.modRevision();
    } else if (key.equals(StateSchema.MACHINE_ADDITIONS_KEY)) {
      return machineAdditionsRevision;
    } else if (key.equals(StateSchema.CONFIGURATION_KEY)) {
      return configurationEntry == null ? 0 : configurationEntry.modRevision();
    }
    Entry quotaShare = quotaShares.get(key);
    return quotaShare == null ? 0 : quotaShare.modRevision();
  }

  private List<String> knownKeys() {
    Set<String> keys = new HashSet<>(quotaShares.keySet());
    livenessRows.keySet().forEach(c -> keys.add(StateSchema.livenessKey(c)));
    entityRows.keySet().forEach(e -> keys.add(StateSchema.entityKey(e)));
    for (MachineRow row : machineRows.values()) {
      if (!row.isInBlock()) {
        keys.add(StateSchema.machineKey(row.id()));
      }
    }
    blocks.forEach(
        (e, blocksByNumber) ->
            blocksByNumber.keySet().forEach(k -> keys.add(StateSchema.blockKey(e, k))));
    return List.copyOf(keys);
  }

  public boolean isAlive(ControllerId controller) {
    return livenessRows.containsKey(controller);
  }

  public long livenessRevision(ControllerId controller) {
    LivenessRow row = livenessRows.get(controller);
    return row == null ? 0 : row.modRevision();
  }

  /**
   * Whether some controller's program may answer workers without a token, as during an upgrade from
   * one of before. The lease of a worker that has seen no token above "none" may be kept by that,
   * whoever owns its machine.
   */
  public boolean anyControllerRepliesWithoutToken() {
    return livenessRows.values().stream().anyMatch(row -> !row.tokenInEveryReply());
  }

  public EntityRow findEntityRow(ControllerId entity) {
    return entityRows.get(entity);
  }

  public Collection<EntityRow> entityRows() {
    return List.copyOf(entityRows.values());
  }

  /**
   * A peer holds an entity under that version. Its row may not be readable here, or not yet; where
   * workers and questions go follows the highest version known, what is taken or written the row.
   */
  public void recordAnnouncement(ControllerId entity, Version version) {
    announcedVersions.merge(entity, version, (a, b) -> a.compareTo(b) >= 0 ? a : b);
  }

  /** The owner by the highest version known; null if there is none. */
  public ControllerId findLatestOwner(ControllerId entity) {
    EntityRow row = entityRows.get(entity);
    Version announcedVersion = announcedVersions.get(entity);
    boolean isAnnouncementNewer =
        announcedVersion != null && (row == null || announcedVersion.compareTo(row.version()) > 0);
    return isAnnouncementNewer
        ? findOwnerIn(announcedVersion)
        : row == null ? null : findOwnerIn(row);
  }

  public ControllerId findOwnerIn(EntityRow row) {
    return findOwnerIn(row.version());
  }

  private ControllerId findOwnerIn(Version version) {
    List<ControllerId> controllers = settings.controllers();
    return version.ownerIndex() < controllers.size() ? controllers.get(version.ownerIndex()) : null;
  }

  public MachineRow findMachineRow(MachineId id) {
    return machineRows.get(id);
  }

  /**
   * Whether the machine is known to be no more. Its reports that come later were held back in the
   * network: machines that were gone were taken into an entity for them, and fell silent again.
   */
  public boolean wasTerminated(MachineId id) {
    return terminatedMachines.getIfPresent(id) != null;
  }

  public List<MachineRow> machineRowsOf(ControllerId entity) {
    return List.copyOf(machineRowsByEntity.getOrDefault(entity, Map.of()).values());
  }

  /** An entity's blocks by number. */
  public Map<Integer, MachineBlock> blocks(ControllerId entity) {
    return blocks.getOrDefault(entity, Map.of());
  }

  /** The stamp of the row that every new record of a machine rewrites. */
  public long machineAdditionsRevision() {
    return machineAdditionsRevision;
  }

  public int aliveControllerCount() {
    return livenessRows.size();
  }

  public Entry findQuotaShare(String team) {
    return quotaShares.get(StateSchema.QUOTA_SHARE_PREFIX + team);
  }

  /** The row that says which configuration is in force; null if there is none. */
  public Entry configurationEntry() {
    return configurationEntry;
  }

  public JsonNode machineTypes() {
    return machineTypes;
  }
}
