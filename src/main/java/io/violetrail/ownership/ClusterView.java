package io.violetrail.ownership;

import com.fasterxml.jackson.databind.JsonNode;
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

/**
 * This controller's cached copy of the common rows in the state service: liveness of controllers,
 * entities and their owners, machines, quota shares, machine types and the active configuration.
 *
 * <p>The view may lag behind the state service. Every write is conditional on the revisions of the
 * rows that its decision was based on. An outdated view can therefore cause a refused transaction,
 * but never a wrong one. Changes arrive in any order from the watch, from listings and from this
 * controller's own writes; for each key the view keeps the newest state that it has seen.
 *
 * <p>Must be used on the event loop's thread. After a crash the rows are read again.
 */
public final class ClusterView {
  private final Settings settings;
  private final Map<ControllerId, LivenessRow> livenessRows = new HashMap<>();
  private final Map<ControllerId, EntityRow> entityRows = new HashMap<>();
  private final Map<ControllerId, Version> announcedVersions = new HashMap<>();
  private final MachineRowIndex machineRows = new MachineRowIndex();
  private final Map<String, Entry> quotaShares = new HashMap<>();

  /** The revision of each key's latest deletion, so that an older change cannot restore the row. */
  private final Map<String, Long> deletionRevisions = new HashMap<>();

  private JsonNode machineTypes;
  private Entry configurationEntry;
  private long machineAdditionsRevision;
  private long revision;

  /** A row that holds the records of many machines of one entity. */
  public record MachineBlock(long modRevision, Map<MachineId, MachineRow> rows) {}

  public ClusterView(Settings settings) {
    this.settings = settings;
  }

  /** Applies a complete listing of the common rows. Known rows that it lacks were deleted. */
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
    advanceRevision(asOfRevision);
    deletionRevisions.values().removeIf(deletedAt -> deletedAt < asOfRevision);
  }

  /** Records that all changes up to the given revision have been applied. */
  public void advanceRevision(long upToRevision) {
    revision = Math.max(revision, upToRevision);
  }

  /** Returns the revision up to which all changes are known. Some later ones may be known too. */
  public long revision() {
    return revision;
  }

  /** Applies one change, unless a newer state of its key is already known. */
  public void apply(RowChange change) {
    if (change.modRevision() <= knownModRevision(change.key())
        || change.modRevision() <= deletionRevisions.getOrDefault(change.key(), 0L)) {
      return;
    }
    if (change.value() == null) {
      deletionRevisions.put(change.key(), change.modRevision());
      delete(change.key(), change.modRevision());
    } else {
      put(change.key(), change.value(), change.modRevision());
    }
  }

  private void put(String key, JsonNode value, long modRevision) {
    switch (CommonRowKind.of(key)) {
      case LIVENESS ->
          livenessRows.put(
              StateSchema.controllerOfLiveness(key),
              StateSchema.decodeLiveness(value, modRevision));
      case ENTITY ->
          entityRows.put(
              StateSchema.entityOf(key), StateSchema.decodeEntity(key, value, modRevision));
      case MACHINE -> machineRows.put(StateSchema.decodeMachine(key, value, modRevision));
      case BLOCK ->
          machineRows.putBlock(
              StateSchema.entityOfBlock(key),
              StateSchema.numberOfBlock(key),
              new MachineBlock(modRevision, StateSchema.decodeBlock(key, value, modRevision)));
      case QUOTA_SHARE -> quotaShares.put(key, new Entry(key, value, modRevision));
      case MACHINE_ADDITIONS -> machineAdditionsRevision = modRevision;
      case MACHINE_TYPES -> machineTypes = value;
      case CONFIGURATION -> configurationEntry = new Entry(key, value, modRevision);
      default -> {
        // A row of another release, which this release does not use.
      }
    }
  }

  private void delete(String key, long modRevision) {
    switch (CommonRowKind.of(key)) {
      case LIVENESS -> livenessRows.remove(StateSchema.controllerOfLiveness(key));
      case ENTITY -> entityRows.remove(StateSchema.entityOf(key));
      case MACHINE -> machineRows.remove(StateSchema.machineOf(key));
      case BLOCK ->
          machineRows.putBlock(
              StateSchema.entityOfBlock(key),
              StateSchema.numberOfBlock(key),
              new MachineBlock(modRevision, Map.of()));
      case QUOTA_SHARE -> quotaShares.remove(key);
      case MACHINE_ADDITIONS -> machineAdditionsRevision = modRevision;
      default -> {
        // The machine types and the configuration are never deleted.
      }
    }
  }

  /** Returns the revision of the key's known row; 0 if there is none or changes always apply. */
  private long knownModRevision(String key) {
    return switch (CommonRowKind.of(key)) {
      case LIVENESS -> livenessRevision(StateSchema.controllerOfLiveness(key));
      case ENTITY -> {
        EntityRow row = entityRows.get(StateSchema.entityOf(key));
        yield row == null ? 0 : row.modRevision();
      }
      case MACHINE -> machineRows.singleRowRevision(StateSchema.machineOf(key));
      case BLOCK -> {
        MachineBlock block =
            blocks(StateSchema.entityOfBlock(key)).get(StateSchema.numberOfBlock(key));
        yield block == null ? 0 : block.modRevision();
      }
      case QUOTA_SHARE -> revisionOf(quotaShares.get(key));
      case MACHINE_ADDITIONS -> machineAdditionsRevision;
      case CONFIGURATION -> revisionOf(configurationEntry);
      case MACHINE_TYPES, UNKNOWN -> 0;
    };
  }

  private static long revisionOf(Entry entry) {
    return entry == null ? 0 : entry.modRevision();
  }

  /** Returns the keys of all known rows of the kinds that can be deleted. */
  private List<String> knownKeys() {
    Set<String> keys = new HashSet<>(quotaShares.keySet());
    livenessRows.keySet().forEach(controller -> keys.add(StateSchema.livenessKey(controller)));
    entityRows.keySet().forEach(entity -> keys.add(StateSchema.entityKey(entity)));
    machineRows.addKeysTo(keys);
    return List.copyOf(keys);
  }

  /**
   * Returns whether the controller has a known liveness row. The state service removes that row
   * when the controller's lease expires.
   */
  public boolean isAlive(ControllerId controller) {
    return livenessRows.containsKey(controller);
  }

  /** Returns the revision of the controller's liveness row; 0 if it has none. */
  public long livenessRevision(ControllerId controller) {
    LivenessRow row = livenessRows.get(controller);
    return row == null ? 0 : row.modRevision();
  }

  /**
   * Returns whether any controller that is alive may reply to workers without a fencing token, as
   * earlier releases do during an upgrade. Such a reply may renew the lease of a worker that has
   * not yet seen a token above "none", even if another controller owns its machine.
   */
  public boolean anyControllerRepliesWithoutToken() {
    return livenessRows.values().stream().anyMatch(row -> !row.tokenInEveryReply());
  }

  /** Returns the entity's row; null if none is known. */
  public EntityRow findEntityRow(ControllerId entity) {
    return entityRows.get(entity);
  }

  /** Returns a snapshot of all entity rows. */
  public Collection<EntityRow> entityRows() {
    return List.copyOf(entityRows.values());
  }

  /**
   * Records a peer's announcement that it owns an entity under the given version. The entity's row
   * may not be readable from here, or not yet. Routing of workers and queries follows the highest
   * known version, read or announced. Failover and writes rely on the row alone.
   */
  public void recordAnnouncement(ControllerId entity, Version version) {
    announcedVersions.merge(
        entity, version, (known, announced) -> known.compareTo(announced) >= 0 ? known : announced);
  }

  /** Returns the owner by the highest version announced or read; null if it is not known. */
  public ControllerId findLatestOwner(ControllerId entity) {
    EntityRow row = entityRows.get(entity);
    Version announcedVersion = announcedVersions.get(entity);
    if (announcedVersion != null
        && (row == null || announcedVersion.compareTo(row.version()) > 0)) {
      return findOwnerIn(announcedVersion);
    }
    return row == null ? null : findOwnerIn(row);
  }

  /** Returns the owner that the row's version names; null if the settings do not list it. */
  public ControllerId findOwnerIn(EntityRow row) {
    return findOwnerIn(row.version());
  }

  private ControllerId findOwnerIn(Version version) {
    List<ControllerId> controllers = settings.controllers();
    return version.ownerIndex() < controllers.size() ? controllers.get(version.ownerIndex()) : null;
  }

  /** Returns the machine's record, from its own row or from a block; null if none is known. */
  public MachineRow findMachineRow(MachineId id) {
    return machineRows.find(id);
  }

  /**
   * Returns whether the machine's record was removed recently, which happens only after the cloud
   * has certainly deleted the machine. Heartbeats that still arrive from it were delayed in the
   * network. A machine that was adopted because of such a heartbeat would never report again.
   */
  public boolean wasTerminated(MachineId id) {
    return machineRows.wasTerminated(id);
  }

  /** Returns a snapshot of the records of an entity's machines. */
  public List<MachineRow> machineRowsOf(ControllerId entity) {
    return machineRows.rowsOf(entity);
  }

  /**
   * Returns an entity's blocks by number. The map reflects later changes of the view, unless no
   * block of the entity was known at the time of the call. Callers must not modify it.
   */
  public Map<Integer, MachineBlock> blocks(ControllerId entity) {
    return machineRows.blocks(entity);
  }

  /** Returns the revision of the row that every addition of a machine rewrites. */
  public long machineAdditionsRevision() {
    return machineAdditionsRevision;
  }

  /** Returns the number of controllers with a known liveness row. */
  public int aliveControllerCount() {
    return livenessRows.size();
  }

  /** Returns the row of a team's quota shares; null if none is known. */
  public Entry findQuotaShare(String team) {
    return quotaShares.get(StateSchema.QUOTA_SHARE_PREFIX + team);
  }

  /** Returns the row that names the active configuration revision; null if there is none. */
  public Entry configurationEntry() {
    return configurationEntry;
  }

  /** Returns the value of the row of machine types; null if none is known. */
  public JsonNode machineTypes() {
    return machineTypes;
  }
}
