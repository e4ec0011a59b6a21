package io.violetrail.ownership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.MachineId;
import io.violetrail.model.Version;
import io.violetrail.wire.Cbor;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** Keys and values in the state service. What all controllers watch lies under {@link #COMMON}. */
public final class Rows {
  public static final String COMMON = "c/";
  public static final String ALIVE = COMMON + "alive/";
  public static final String ENTITY = COMMON + "entity/";
  public static final String MACHINE = COMMON + "machine/";
  public static final String BLOCK = COMMON + "block/";
  public static final String SLICE = COMMON + "slice/";

  /** Counts what is new in any block: two entities never record the same machine as new. */
  public static final String INTAKE = COMMON + "intake";

  public static final String TYPES = COMMON + "types";

  /** Says which revision of the configuration is in force; absent while that is the file. */
  public static final String CONFIGURATION = COMMON + "config";

  private Rows() {}

  /**
   * A controller whose lease stands.
   *
   * @param tokenInEveryAnswer whether its program gives workers no answer without a token; programs
   *     of before did, and some workers' leases were renewed by that
   */
  public record AliveRow(boolean tokenInEveryAnswer, long stamp) {}

  /**
   * Owner (by the version's remainder) and version of an entity. {@code calm}: handed over, not
   * seized.
   */
  public record EntityRow(
      ControllerId entity, Version version, boolean calm, OwnershipHistory past, long stamp) {
    public EntityRow stamped(long newStamp) {
      return new EntityRow(entity, version, calm, past, newStamp);
    }
  }

  /**
   * What an entity's next owner must know of its former ones, in times of day.
   *
   * @param unknownMs since then workers may have been kept by owners that did not know yet which
   *     jobs were over
   * @param seizedMs when it was last seized: that owner may have used its grace from then on
   */
  public record OwnershipHistory(long unknownMs, long seizedMs) {
    public static final OwnershipHistory NONE = new OwnershipHistory(0, 0);
  }

  /**
   * A machine of an entity. {@code up}: it has reported, so it may hold tasks. {@code term}: the
   * lowest term its worker may be commanded under, raised when it passes from entity to entity.
   * {@code block}: the block that holds its record, or {@link #OWN_ROW} if it has a row of its own.
   */
  public record MachineRow(
      MachineId id,
      ControllerId entity,
      String type,
      String zone,
      boolean spot,
      boolean up,
      Version term,
      long rentedMs,
      long stamp,
      int block) {
    public static final int OWN_ROW = -1;

    public MachineRow(
        MachineId id,
        ControllerId entity,
        String type,
        String zone,
        boolean spot,
        boolean up,
        Version term,
        long rentedMs) {
      this(id, entity, type, zone, spot, up, term, rentedMs, 0, OWN_ROW);
    }

    public boolean inBlock() {
      return block != OWN_ROW;
    }

    public MachineRow inBlock(int number) {
      return new MachineRow(id, entity, type, zone, spot, up, term, rentedMs, stamp, number);
    }

    public MachineRow raised(Version newTerm) {
      return new MachineRow(id, entity, type, zone, spot, up, newTerm, rentedMs, stamp, block);
    }

    public MachineRow nowUp() {
      return new MachineRow(id, entity, type, zone, spot, true, term, rentedMs, stamp, block);
    }

    public MachineRow passedTo(ControllerId other, Version newTerm) {
      return new MachineRow(id, other, type, zone, spot, up, newTerm, rentedMs, 0, OWN_ROW);
    }

    public MachineRow stamped(long newStamp) {
      return new MachineRow(id, entity, type, zone, spot, up, term, rentedMs, newStamp, block);
    }
  }

  public static String alive(ControllerId c) {
    return ALIVE + c;
  }

  public static String entity(ControllerId e) {
    return ENTITY + e;
  }

  public static String machine(MachineId m) {
    return MACHINE + m;
  }

  public static String job(JobId id) {
    return "job/" + id;
  }

  /** Sheets hold what open jobs of an entity are to run. */
  public static String sheets(ControllerId e) {
    return "open/" + e + "/";
  }

  public static String sheet(ControllerId e, int number) {
    return sheets(e) + number;
  }

  /** Pages hold how jobs of an entity ended. */
  public static String page(ControllerId e, String name) {
    return "end/" + e + "/" + name;
  }

  public static String progress(ControllerId e) {
    return "progress/" + e + "/";
  }

  public static String progress(ControllerId e, int slot) {
    return progress(e) + slot;
  }

  public static String hires(ControllerId e) {
    return "hire/" + e + "/";
  }

  /** What this program says of itself while its lease stands. */
  public static ObjectNode aliveValue(String zone) {
    return Cbor.map().put("zone", zone).put("token_in_every_answer", true);
  }

  public static AliveRow alive(JsonNode v, long stamp) {
    return new AliveRow(v.path("token_in_every_answer").asBoolean(), stamp);
  }

  /** Encodes an entity's record; {@code owner} is the owning controller. */
  public static ObjectNode value(EntityRow row, String owner) {
    return Cbor.map()
        .put("owner", owner)
        .put("version", row.version().value())
        .put("calm", row.calm())
        .put("unknown", row.past().unknownMs())
        .put("seized", row.past().seizedMs());
  }

  /**
   * Decodes the record of the entity that the key names; {@code stamp} is the record's revision.
   */
  public static EntityRow entity(String key, JsonNode v, long stamp) {
    return new EntityRow(
        new ControllerId(key.substring(ENTITY.length())),
        new Version(v.path("version").asLong()),
        v.path("calm").asBoolean(),
        new OwnershipHistory(v.path("unknown").asLong(), v.path("seized").asLong()),
        stamp);
  }

  /** Encodes a machine's record; its key and place of storage are not part of the value. */
  public static ObjectNode value(MachineRow row) {
    return Cbor.map()
        .put("entity", row.entity().value())
        .put("type", row.type())
        .put("zone", row.zone())
        .put("spot", row.spot())
        .put("up", row.up())
        .put("term", row.term().value())
        .put("rented", row.rentedMs());
  }

  /**
   * Decodes a machine that is stored in a record of its own; {@code stamp} is the record's
   * revision.
   */
  public static MachineRow machine(String key, JsonNode v, long stamp) {
    return new MachineRow(
        new MachineId(key.substring(MACHINE.length())),
        new ControllerId(v.path("entity").asText()),
        v.path("type").asText(),
        v.path("zone").asText(),
        v.path("spot").asBoolean(),
        v.path("up").asBoolean(),
        new Version(v.path("term").asLong()),
        v.path("rented").asLong(),
        stamp,
        MachineRow.OWN_ROW);
  }

  public static String block(ControllerId e, int number) {
    return BLOCK + e + "/" + number;
  }

  /** A block's value: its machines by name, each as a list, since the names would double it. */
  public static ObjectNode value(Collection<MachineRow> rows) {
    ObjectNode m = Cbor.map();
    for (MachineRow r : rows) {
      m.putArray(r.id().value())
          .add(r.type())
          .add(r.zone())
          .add(r.spot())
          .add(r.up())
          .add(r.term().value())
          .add(r.rentedMs());
    }
    return m;
  }

  /** The machines of a block. */
  public static Map<MachineId, MachineRow> block(String key, JsonNode v, long stamp) {
    ControllerId entity = blockEntity(key);
    int number = blockNumber(key);
    Map<MachineId, MachineRow> rows = new LinkedHashMap<>();
    v.properties()
        .forEach(
            f -> {
              MachineId id = new MachineId(f.getKey());
              JsonNode r = f.getValue();
              rows.put(
                  id,
                  new MachineRow(
                      id,
                      entity,
                      r.path(0).asText(),
                      r.path(1).asText(),
                      r.path(2).asBoolean(),
                      r.path(3).asBoolean(),
                      new Version(r.path(4).asLong()),
                      r.path(5).asLong(),
                      stamp,
                      number));
            });
    return rows;
  }

  public static ControllerId blockEntity(String key) {
    return new ControllerId(key.substring(BLOCK.length(), key.lastIndexOf('/')));
  }

  public static int blockNumber(String key) {
    return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
  }
}
