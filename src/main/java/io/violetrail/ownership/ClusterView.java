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
 * What this controller knows of the common rows: controllers that are alive, entities and their
 * owners, machines, quota shares, machine types and the configuration in force.
 *
 * <p>It may lag. Every write names the revisions of the rows it was decided on, so a view that is
 * out of date costs a refused transaction and never a wrong one. Of each key the newest state known
 * stands: changes come from the watch, from listings and from this controller's own writes, in any
 * order.
 *
 * <p>Used on the event loop's thread. Nothing of it survives a crash: it is read afresh.
 */
public final class ClusterView {
  private final Settings settings;
  private final Map<ControllerId, LivenessRow> livenessRows = new HashMap<>();
  private final Map<ControllerId, EntityRow> entityRows = new HashMap<>();
  private final Map<ControllerId, Version> announcedVersions = new HashMap<>();
  private final MachineRowIndex machineRows = new MachineRowIndex();
  private final Map<String, Entry> quotaShares = new HashMap<>();

  /** When each key was last deleted, so that an older change cannot bring it back. */
  private final Map<String, Long> deletionRevisions = new HashMap<>();

  private JsonNode machineTypes;
  private Entry configurationEntry;
  private long machineAdditionsRevision;
  private long revision;

  /** A row that records many machines of an entity. */
  public record MachineBlock(long modRevision, Map<MachineId, MachineRow> rows) {}

  /** Creates a view in which no row is known. */
  public ClusterView(Settings settings) {
    this.settings = settings;
  }

  /** Applies a whole listing of the common rows: what it lacks was deleted. */
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

  /** All changes up to that revision were applied. */
  public void advanceRevision(long upToRevision) {
    revision = Math.max(revision, upToRevision);
  }

  /** All changes up to this revision are known here; some later ones may be. */
  public long revision() {
    return revision;
  }

  /** Applies one change, unless something newer is known of its key. */
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
      case UNKNOWN -> {
        // Written by another release, and of no use to this one.
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
      case MACHINE_TYPES, CONFIGURATION, UNKNOWN -> {
        // The machine types and the configuration are never deleted.
      }
    }
  }

  /** The revision of what is known of the key; 0 if nothing is, or if that does not matter. */
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

  /** The keys of all rows known that may be deleted. */
  private List<String> knownKeys() {
    Set<String> keys = new HashSet<>(quotaShares.keySet());
    livenessRows.keySet().forEach(controller -> keys.add(StateSchema.livenessKey(controller)));
    entityRows.keySet().forEach(entity -> keys.add(StateSchema.entityKey(entity)));
    machineRows.addKeysTo(keys);
    return List.copyOf(keys);
  }

  /** Whether the controller's lease stands, as far as is known. */
  public boolean isAlive(ControllerId controller) {
    return livenessRows.containsKey(controller);
  }

  /** The revision of the controller's liveness row; 0 if it has none. */
  public long livenessRevision(ControllerId controller) {
    LivenessRow row = livenessRows.get(controller);
    return row == null ? 0 : row.modRevision();
  }

  /**
   * Whether some controller's program may answer workers without a token, as during an upgrade from
   * an earlier release. The lease of a worker that has seen no token above "none" may be renewed by
   * that, whoever owns its machine.
   */
  public boolean anyControllerRepliesWithoutToken() {
    return livenessRows.values().stream().anyMatch(row -> !row.tokenInEveryReply());
  }

  /** The entity's row; null if none is known. */
  public EntityRow findEntityRow(ControllerId entity) {
    return entityRows.get(entity);
  }

  /** A snapshot of all entities' rows. */
  public Collection<EntityRow> entityRows() {
    return List.copyOf(entityRows.values());
  }

  /**
   * A peer owns an entity under that version. Its row may not be readable here, or not yet. Where
   * workers and questions are routed follows the highest version known; what is taken over or
   * written follows the row alone.
   */
  public void recordAnnouncement(ControllerId entity, Version version) {
    announcedVersions.merge(
        entity, version, (known, announced) -> known.compareTo(announced) >= 0 ? known : announced);
  }

  /** The owner by the highest version known, announced or read; null if there is none. */
  public ControllerId findLatestOwner(ControllerId entity) {
    EntityRow row = entityRows.get(entity);
    Version announcedVersion = announcedVersions.get(entity);
    if (announcedVersion != null
        && (row == null || announcedVersion.compareTo(row.version()) > 0)) {
      return findOwnerIn(announcedVersion);
    }
    return row == null ? null : findOwnerIn(row);
  }

  /** The owner that the row names; null if the settings have no such controller. */
  public ControllerId findOwnerIn(EntityRow row) {
    return findOwnerIn(row.version());
  }

  private ControllerId findOwnerIn(Version version) {
    List<ControllerId> controllers = settings.controllers();
    return version.ownerIndex() < controllers.size() ? controllers.get(version.ownerIndex()) : null;
  }

  /** The machine's row, its own or in a block; null if none is known. */
  public MachineRow findMachineRow(MachineId id) {
    return machineRows.find(id);
  }

  /**
   * Whether the machine is known to be gone for good. Heartbeats of it that still come were held
   * back in the network: a machine adopted because of them would never be heard of again.
   */
  public boolean wasTerminated(MachineId id) {
    return machineRows.wasTerminated(id);
  }

  /** A snapshot of the rows of an entity's machines. */
  public List<MachineRow> machineRowsOf(ControllerId entity) {
    return machineRows.rowsOf(entity);
  }

  /** An entity's blocks by number, as they are and will be known; not to be changed. */
  public Map<Integer, MachineBlock> blocks(ControllerId entity) {
    return machineRows.blocks(entity);
  }

  /** The revision of the row that every addition of a machine rewrites. */
  public long machineAdditionsRevision() {
    return machineAdditionsRevision;
  }

  /** How many controllers' leases stand, as far as is known. */
  public int aliveControllerCount() {
    return livenessRows.size();
  }

  /** The row of a team's quota shares; null if none is known. */
  public Entry findQuotaShare(String team) {
    return quotaShares.get(StateSchema.QUOTA_SHARE_PREFIX + team);
  }

  /** The row that says which configuration is in force; null if there is none. */
  public Entry configurationEntry() {
    return configurationEntry;
  }

  /** The value of the row of machine types; null if none is known. */
  public JsonNode machineTypes() {
    return machineTypes;
  }
}
