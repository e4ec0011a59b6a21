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

/**
 * Keys and values in the state service. What all controllers watch lies under {@link
 * #COMMON_PREFIX}.
 */
public final class StateSchema {
  public static final String COMMON_PREFIX = "c/";
  public static final String LIVENESS_PREFIX = COMMON_PREFIX + "alive/";
  public static final String ENTITY_PREFIX = COMMON_PREFIX + "entity/";
  public static final String MACHINE_PREFIX = COMMON_PREFIX + "machine/";
  public static final String BLOCK_PREFIX = COMMON_PREFIX + "block/";
  public static final String QUOTA_SHARE_PREFIX = COMMON_PREFIX + "slice/";

  /** Counts what is new in any block: two entities never record the same machine as new. */
  public static final String MACHINE_ADDITIONS_KEY = COMMON_PREFIX + "intake";

  public static final String MACHINE_TYPES_KEY = COMMON_PREFIX + "types";

  /** Says which revision of the configuration is in force; absent while that is the file. */
  public static final String CONFIGURATION_KEY = COMMON_PREFIX + "config";

  private StateSchema() {}

  /**
   * A controller whose lease stands.
   *
   * @param tokenInEveryReply whether its program gives workers no answer without a token; programs
   *     of before did, and some workers' leases were renewed by that
   */
  public record LivenessRow(boolean tokenInEveryReply, long modRevision) {}

  /**
   * Owner (by the version's remainder) and version of an entity. {@code acquiredGracefully}: handed
   * over, not seized.
   */
  public record EntityRow(
      ControllerId entity,
      Version version,
      boolean acquiredGracefully,
      OwnershipHistory history,
      long modRevision) {
    public EntityRow withModRevision(long newModRevision) {
      return new EntityRow(entity, version, acquiredGracefully, history, newModRevision);
    }
  }

  /**
   * What an entity's next owner must know of its former ones, in times of day.
   *
   * @param jobsUnknownSinceMillis since then workers may have been kept by owners that did not know
   *     yet which jobs were over
   * @param lastFailoverAtMillis when it was last seized: that owner may have used its grace from
   *     then on
   */
  public record OwnershipHistory(long jobsUnknownSinceMillis, long lastFailoverAtMillis) {
    public static final OwnershipHistory NONE = new OwnershipHistory(0, 0);
  }

  /**
   * A machine of an entity. {@code hasReported}: it has reported, so it may hold tasks. {@code
   * term}: the lowest term its worker may be commanded under, raised when it passes from entity to
   * entity. {@code block}: the block that holds its record, or {@link #NOT_IN_BLOCK} if it has a
   * row of its own.
   */
  public record MachineRow(
      MachineId id,
      ControllerId entity,
      String type,
      String zone,
      boolean spot,
      boolean hasReported,
      Version term,
      long rentedAtMillis,
      long modRevision,
      int block) {
    public static final int NOT_IN_BLOCK = -1;

    public MachineRow(
        MachineId id,
        ControllerId entity,
        String type,
        String zone,
        boolean spot,
        boolean hasReported,
        Version term,
        long rentedAtMillis) {
      this(id, entity, type, zone, spot, hasReported, term, rentedAtMillis, 0, NOT_IN_BLOCK);
    }

    public boolean isInBlock() {
      return block != NOT_IN_BLOCK;
    }

    public MachineRow withBlock(int blockNumber) {
      return new MachineRow(
          id,
          entity,
          type,
          zone,
          spot,
          hasReported,
          term,
          rentedAtMillis,
          modRevision,
          blockNumber);
    }

    public MachineRow withTerm(Version newTerm) {
      return new MachineRow(
          id, entity, type, zone, spot, hasReported, newTerm, rentedAtMillis, modRevision, block);
    }

    public MachineRow withReported() {
      return new MachineRow(
          id, entity, type, zone, spot, true, term, rentedAtMillis, modRevision, block);
    }

    public MachineRow transferredTo(ControllerId newEntity, Version newTerm) {
      return new MachineRow(
          id, newEntity, type, zone, spot, hasReported, newTerm, rentedAtMillis, 0, NOT_IN_BLOCK);
    }

    public MachineRow withModRevision(long newModRevision) {
      return new MachineRow(
          id, entity, type, zone, spot, hasReported, term, rentedAtMillis, newModRevision, block);
    }
  }

  public static String livenessKey(ControllerId controller) {
    return LIVENESS_PREFIX + controller;
  }

  public static String entityKey(ControllerId entity) {
    return ENTITY_PREFIX + entity;
  }

  public static String machineKey(MachineId machine) {
    return MACHINE_PREFIX + machine;
  }

  public static String jobKey(JobId job) {
    return "job/" + job;
  }

  /** Sheets hold what open jobs of an entity are to run. */
  public static String openJobPrefix(ControllerId entity) {
    return "open/" + entity + "/";
  }

  public static String openJobSegmentKey(ControllerId entity, int number) {
    return openJobPrefix(entity) + number;
  }

  /** Pages hold how jobs of an entity ended. */
  public static String finishedJobSegmentKey(ControllerId entity, String name) {
    return "end/" + entity + "/" + name;
  }

  public static String progressPrefix(ControllerId entity) {
    return "progress/" + entity + "/";
  }

  public static String progressKey(ControllerId entity, int slot) {
    return progressPrefix(entity) + slot;
  }

  public static String scaleOutRequestPrefix(ControllerId entity) {
    return "hire/" + entity + "/";
  }

  /** What this program says of itself while its lease stands. */
  public static ObjectNode encodeLiveness(String zone) {
    return Cbor.newMap().put("zone", zone).put("token_in_every_answer", true);
  }

  public static LivenessRow decodeLiveness(JsonNode value, long modRevision) {
    return new LivenessRow(value.path("token_in_every_answer").asBoolean(), modRevision);
  }

  /** Encodes an entity's record; {@code owner} is the owning controller. */
  public static ObjectNode encode(EntityRow row, String owner) {
    return Cbor.newMap()
        .put("owner", owner)
        .put("version", row.version().value())
        .put("calm", row.acquiredGracefully())
        .put("unknown", row.history().jobsUnknownSinceMillis())
        .put("seized", row.history().lastFailoverAtMillis());
  }

  /**
   * Decodes the record of the entity that the key names; {@code modRevision} is the record's
   * revision.
   */
  public static EntityRow decodeEntity(String key, JsonNode value, long modRevision) {
    return new EntityRow(
        new ControllerId(key.substring(ENTITY_PREFIX.length())),
        new Version(value.path("version").asLong()),
        value.path("calm").asBoolean(),
        new OwnershipHistory(value.path("unknown").asLong(), value.path("seized").asLong()),
        modRevision);
  }

  /** Encodes a machine's record; its key and place of storage are not part of the value. */
  public static ObjectNode encode(MachineRow row) {
    return Cbor.newMap()
        .put("entity", row.entity().value())
        .put("type", row.type())
        .put("zone", row.zone())
        .put("spot", row.spot())
        .put("up", row.hasReported())
        .put("term", row.term().value())
        .put("rented", row.rentedAtMillis());
  }

  /**
   * Decodes a machine that is stored in a record of its own; {@code modRevision} is the record's
   * revision.
   */
  public static MachineRow decodeMachine(String key, JsonNode value, long modRevision) {
    return new MachineRow(
        new MachineId(key.substring(MACHINE_PREFIX.length())),
        new ControllerId(value.path("entity").asText()),
        value.path("type").asText(),
        value.path("zone").asText(),
        value.path("spot").asBoolean(),
        value.path("up").asBoolean(),
        new Version(value.path("term").asLong()),
        value.path("rented").asLong(),
        modRevision,
        MachineRow.NOT_IN_BLOCK);
  }

  public static String blockKey(ControllerId entity, int number) {
    return BLOCK_PREFIX + entity + "/" + number;
  }

  /** A block's value: its machines by name, each as a list, since the names would double it. */
  public static ObjectNode encode(Collection<MachineRow> rows) {
    ObjectNode value = Cbor.newMap();
    for (MachineRow row : rows) {
      value
          .putArray(row.id().value())
          .add(row.type())
          .add(row.zone())
          .add(row.spot())
          .add(row.hasReported())
          .add(row.term().value())
          .add(row.rentedAtMillis());
    }
    return value;
  }

  /** The machines of a block. */
  public static Map<MachineId, MachineRow> decodeBlock(
      String key, JsonNode value, long modRevision) {
    ControllerId entity = entityOfBlock(key);
    int number = numberOfBlock(key);
    Map<MachineId, MachineRow> rows = new LinkedHashMap<>();
    value
        .properties()
        .forEach(
            field -> {
              MachineId id = new MachineId(field.getKey());
              JsonNode fields = field.getValue();
              rows.put(
                  id,
                  new MachineRow(
                      id,
                      entity,
                      fields.path(0).asText(),
                      fields.path(1).asText(),
                      fields.path(2).asBoolean(),
                      fields.path(3).asBoolean(),
                      new Version(fields.path(4).asLong()),
                      fields.path(5).asLong(),
                      modRevision,
                      number));
            });
    return rows;
  }

  public static ControllerId entityOfBlock(String key) {
    return new ControllerId(key.substring(BLOCK_PREFIX.length(), key.lastIndexOf('/')));
  }

  public static int numberOfBlock(String key) {
    return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
  }
}
