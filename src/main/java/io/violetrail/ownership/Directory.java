package io.violetrail.ownership;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.violetrail.config.Settings;
import io.violetrail.model.ControllerId;
import io.violetrail.model.MachineId;
import io.violetrail.model.Version;
import io.violetrail.ownership.Rows.AliveRow;
import io.violetrail.ownership.Rows.EntityRow;
import io.violetrail.ownership.Rows.MachineRow;
import io.violetrail.wire.StateWire.Change;
import io.violetrail.wire.StateWire.Entry;
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
public final class Directory {
  private final Settings settings;
  private final Map<ControllerId, AliveRow> alive = new HashMap<>();
  private final Map<ControllerId, EntityRow> entities = new HashMap<>();
  private final Map<ControllerId, Version> told = new HashMap<>();
  private final Map<MachineId, MachineRow> machines = new HashMap<>();

  /** The same machines by entity, since owners go through theirs with every change. */
  private final Map<ControllerId, Map<MachineId, MachineRow>> byEntity = new HashMap<>();

  private final Map<ControllerId, Map<Integer, Block>> blocks = new HashMap<>();
  private final Map<String, Entry> slices = new HashMap<>();

  /** When each key was last dropped, so that an older change cannot bring it back. */
  private final Map<String, Long> dropped = new HashMap<>();

  /**
   * Machines whose record was removed, which comes after the cloud has taken them back for sure.
   */
  private final Cache<MachineId, Boolean> removed =
      CacheBuilder.newBuilder().maximumSize(5_000).build();

  private JsonNode types;
  private Entry configuration;
  private long intake;
  private long revision;

  /** A row that holds many machines of an entity. */
  public record Block(long stamp, Map<MachineId, MachineRow> rows) {}

  public Directory(Settings settings) {
    this.settings = settings;
  }

  /** Takes a whole listing of the common rows. */
  public void replace(List<Entry> entries, long asOf) {
    Set<String> present = new HashSet<>();
    for (Entry e : entries) {
      present.add(e.key());
      apply(new Change(e.key(), e.value(), e.stamp()));
    }
    for (String key : keys()) {
      if (!present.contains(key)) {
        apply(new Change(key, null, asOf));
      }
    }
    revision = Math.max(revision, asOf);
    dropped.values().removeIf(at -> at < asOf);
  }

  public void caughtUp(long to) {
    revision = Math.max(revision, to);
  }

  public long revision() {
    return revision;
  }

  /** Takes one change, unless something newer is known of its key. */
  public void apply(Change c) {
    if (c.stamp() <= stamp(c.key()) || c.stamp() <= dropped.getOrDefault(c.key(), 0L)) {
      return;
    }
    String key = c.key();
    boolean set = c.value() != null;
    if (!set) {
      dropped.put(key, c.stamp());
    }
    if (key.startsWith(Rows.ALIVE)) {
      put(
          alive,
          new ControllerId(key.substring(Rows.ALIVE.length())),
          set ? Rows.alive(c.value(), c.stamp()) : null);
    } else if (key.startsWith(Rows.ENTITY)) {
      put(
          entities,
          new ControllerId(key.substring(Rows.ENTITY.length())),
          set ? Rows.entity(key, c.value(), c.stamp()) : null);
    } else if (key.startsWith(Rows.MACHINE)) {
      putMachine(
          new MachineId(key.substring(Rows.MACHINE.length())),
          set ? Rows.machine(key, c.value(), c.stamp()) : null);
    } else if (key.startsWith(Rows.BLOCK)) {
      putBlock(key, set ? Rows.block(key, c.value(), c.stamp()) : Map.of(), c.stamp());
    } else if (key.startsWith(Rows.SLICE)) {
      put(slices, key, set ? new Entry(key, c.value(), c.stamp()) : null);
    } else if (key.equals(Rows.INTAKE)) {
      intake = c.stamp();
    } else if (key.equals(Rows.TYPES) && set) {
      types = c.value();
    } else if (key.equals(Rows.CONFIGURATION) && set) {
      // It is never dropped.
      configuration = new Entry(key, c.value(), c.stamp());
    }
  }

  private void putMachine(MachineId id, MachineRow row) {
    MachineRow before = machines.get(id);
    if (before != null) {
      byEntity.get(before.entity()).remove(id);
    }
    put(machines, id, row);
    if (row == null && before != null) {
      removed.put(id, true);
    }
    if (row != null) {
      removed.invalidate(id);
      byEntity.computeIfAbsent(row.entity(), e -> new HashMap<>()).put(id, row);
    }
  }

  private void putBlock(String key, Map<MachineId, MachineRow> rows, long stamp) {
    ControllerId entity = Rows.blockEntity(key);
    int number = Rows.blockNumber(key);
    Block before =
        blocks.computeIfAbsent(entity, e -> new TreeMap<>()).put(number, new Block(stamp, rows));
    if (before != null) {
      for (MachineId id : before.rows().keySet()) {
        MachineRow known = machines.get(id);
        // A machine that has passed on has a row of its own by now, maybe read before the block.
        boolean here = known != null && known.block() == number && known.entity().equals(entity);
        if (here && !rows.containsKey(id)) {
          putMachine(id, null);
        }
      }
    }
    for (MachineRow row : rows.values()) {
      MachineRow known = machines.get(row.id());
      if (known == null || known.stamp() < row.stamp()) {
        putMachine(row.id(), row);
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

  private long stamp(String key) {
    if (key.startsWith(Rows.ALIVE)) {
      return aliveStamp(new ControllerId(key.substring(Rows.ALIVE.length())));
    } else if (key.startsWith(Rows.ENTITY)) {
      EntityRow row = entities.get(new ControllerId(key.substring(Rows.ENTITY.length())));
      return row == null ? 0 : row.stamp();
    } else if (key.startsWith(Rows.MACHINE)) {
      MachineRow row = machines.get(new MachineId(key.substring(Rows.MACHINE.length())));
      return row == null || row.inBlock() ? 0 : row.stamp();
    } else if (key.startsWith(Rows.BLOCK)) {
      Block b = blocks(Rows.blockEntity(key)).get(Rows.blockNumber(key));
      return b == null ? 0 : b.stamp();
    } else if (key.equals(Rows.INTAKE)) {
      return intake;
    } else if (key.equals(Rows.CONFIGURATION)) {
      return configuration == null ? 0 : configuration.stamp();
    }
    Entry slice = slices.get(key);
    return slice == null ? 0 : slice.stamp();
  }

  private List<String> keys() {
    Set<String> all = new HashSet<>(slices.keySet());
    alive.keySet().forEach(c -> all.add(Rows.alive(c)));
    entities.keySet().forEach(e -> all.add(Rows.entity(e)));
    for (MachineRow m : machines.values()) {
      if (!m.inBlock()) {
        all.add(Rows.machine(m.id()));
      }
    }
    blocks.forEach((e, of) -> of.keySet().forEach(k -> all.add(Rows.block(e, k))));
    return List.copyOf(all);
  }

  public boolean isAlive(ControllerId c) {
    return alive.containsKey(c);
  }

  public long aliveStamp(ControllerId c) {
    AliveRow row = alive.get(c);
    return row == null ? 0 : row.stamp();
  }

  /**
   * Whether some controller's program may answer workers without a token, as during an upgrade from
   * one of before. The lease of a worker that has seen no token above "none" may be kept by that,
   * whoever owns its machine.
   */
  public boolean anyAnswersWithoutToken() {
    return alive.values().stream().anyMatch(row -> !row.tokenInEveryAnswer());
  }

  public EntityRow entity(ControllerId e) {
    return entities.get(e);
  }

  public Collection<EntityRow> entities() {
    return List.copyOf(entities.values());
  }

  /**
   * A peer holds an entity under that version. Its row may not be readable here, or not yet; where
   * workers and questions go follows the highest version known, what is taken or written the row.
   */
  public void told(ControllerId entity, Version version) {
    told.merge(entity, version, (a, b) -> a.compareTo(b) >= 0 ? a : b);
  }

  /** The owner by the highest version known; null if there is none. */
  public ControllerId ownerOf(ControllerId entity) {
    EntityRow row = entities.get(entity);
    Version heard = told.get(entity);
    boolean newer = heard != null && (row == null || heard.compareTo(row.version()) > 0);
    return newer ? owner(heard) : row == null ? null : owner(row);
  }

  public ControllerId owner(EntityRow row) {
    return owner(row.version());
  }

  private ControllerId owner(Version version) {
    List<ControllerId> all = settings.controllers();
    return version.owner() < all.size() ? all.get(version.owner()) : null;
  }

  public MachineRow machine(MachineId id) {
    return machines.get(id);
  }

  /**
   * Whether the machine is known to be no more. Its reports that come later were held back in the
   * network: machines that were gone were taken into an entity for them, and fell silent again.
   */
  public boolean wasReturned(MachineId id) {
    return removed.getIfPresent(id) != null;
  }

  public List<MachineRow> machinesOf(ControllerId entity) {
    return List.copyOf(byEntity.getOrDefault(entity, Map.of()).values());
  }

  /** An entity's blocks by number. */
  public Map<Integer, Block> blocks(ControllerId entity) {
    return blocks.getOrDefault(entity, Map.of());
  }

  /** The stamp of the row that every new record of a machine rewrites. */
  public long intakeStamp() {
    return intake;
  }

  public int aliveCount() {
    return alive.size();
  }

  public Entry slice(String team) {
    return slices.get(Rows.SLICE + team);
  }

  /** The row that says which configuration is in force; null if there is none. */
  public Entry configuration() {
    return configuration;
  }

  public JsonNode types() {
    return types;
  }
}
