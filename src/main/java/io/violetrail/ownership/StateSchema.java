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
 * Defines the keys and the value formats of the rows in the state service. No other class depends
 * on these formats. All controllers watch the common rows, which are those under {@link
 * #COMMON_PREFIX}.
 *
 * <p>Rows are kept across restarts and upgrades. If an earlier release did not write a field, the
 * decoders read it as 0, false or empty.
 */
public final class StateSchema {
  /** Key prefix of all rows that every controller watches. */
  public static final String COMMON_PREFIX = "c/";

  /** Key prefix of the {@link LivenessRow}s, followed by the controller's id. */
  public static final String LIVENESS_PREFIX = COMMON_PREFIX + "alive/";

  /** Key prefix of the {@link EntityRow}s, followed by the entity's id. */
  public static final String ENTITY_PREFIX = COMMON_PREFIX + "entity/";

  /**
   * Key prefix of the {@link MachineRow}s that are not in a block, followed by the machine's id.
   */
  public static final String MACHINE_PREFIX = COMMON_PREFIX + "machine/";

  /** Key prefix of the blocks of machine records, followed by the entity's id and a number. */
  public static final String BLOCK_PREFIX = COMMON_PREFIX + "block/";

  /** Key prefix of the shares that a team's quota is divided into, followed by the team's name. */
  public static final String QUOTA_SHARE_PREFIX = COMMON_PREFIX + "slice/";

  /**
   * Key of the row that every addition of a machine to any block rewrites, so that no two entities
   * add the same machine.
   */
  public static final String MACHINE_ADDITIONS_KEY = COMMON_PREFIX + "intake";

  /** Key of the row of the machine types that the cloud offers. */
  public static final String MACHINE_TYPES_KEY = COMMON_PREFIX + "types";

  /**
   * Key of the row that names the active configuration; absent while the settings file is active.
   */
  public static final String CONFIGURATION_KEY = COMMON_PREFIX + "config";

  private static final String JOB_PREFIX = "job/";
  private static final String OPEN_JOB_PREFIX = "open/";
  private static final String FINISHED_JOB_PREFIX = "end/";
  private static final String PROGRESS_PREFIX = "progress/";
  private static final String SCALE_OUT_REQUEST_PREFIX = "hire/";

  // Positions in the list of fields that a block holds for each machine.
  private static final int BLOCK_FIELD_TYPE = 0;
  private static final int BLOCK_FIELD_ZONE = 1;
  private static final int BLOCK_FIELD_SPOT = 2;
  private static final int BLOCK_FIELD_HAS_REPORTED = 3;
  private static final int BLOCK_FIELD_TERM = 4;
  private static final int BLOCK_FIELD_RENTED_AT = 5;

  private StateSchema() {}

  /**
   * A controller that is alive. The row is attached to the controller's lease and is removed when
   * the lease expires.
   *
   * @param tokenInEveryReply whether every reply of the controller to a worker carries a fencing
   *     token; earlier releases also sent replies without one, and these renew some workers' leases
   * @param modRevision the row's revision
   */
  public record LivenessRow(boolean tokenInEveryReply, long modRevision) {}

  /**
   * An entity and its owner.
   *
   * @param version the entity's epoch, which grows with every change of owner; modulo {@link
   *     Version#INCREMENT}, it is the owner's index in the settings
   * @param acquiredGracefully whether the former owner handed the entity over, or there was none;
   *     false after a failover
   * @param modRevision the row's revision; 0 if the row has not been written yet
   */
  public record EntityRow(
      ControllerId entity,
      Version version,
      boolean acquiredGracefully,
      OwnershipHistory history,
      long modRevision) {
    /** Returns a copy with the revision at which the row was written. */
    public EntityRow withModRevision(long newModRevision) {
      return new EntityRow(entity, version, acquiredGracefully, history, newModRevision);
    }
  }

  /**
   * What the next owner of an entity must know about the former owners, in milliseconds of the wall
   * clock.
   *
   * @param jobsUnknownSinceMillis the time since which workers' leases may have been renewed by
   *     owners that did not know yet which jobs had ended
   * @param lastFailoverAtMillis the time of the last failover; the owner that lost the entity may
   *     have renewed workers' leases from then on, for its keep-alive grace period
   */
  public record OwnershipHistory(long jobsUnknownSinceMillis, long lastFailoverAtMillis) {
    /** The history of an entity that has had no owner. */
    public static final OwnershipHistory NONE = new OwnershipHistory(0, 0);
  }

  /**
   * The record of a machine that belongs to an entity.
   *
   * @param type name of the machine type
   * @param hasReported whether the machine has reported, and may therefore have tasks
   * @param term the lowest fencing token for commands to the machine's worker; it is raised when
   *     the machine is transferred to another entity or its worker has seen a higher token
   * @param rentedAtMillis when the machine was requested, in milliseconds of the wall clock
   * @param modRevision the revision of the machine's own row or of its block; 0 if the record has
   *     not been written yet
   * @param block the number of the block that holds the record, or {@link #NOT_IN_BLOCK} if the
   *     machine has a row of its own
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
    /** The value of {@code block} if the machine has a row of its own. */
    public static final int NOT_IN_BLOCK = -1;

    /** Creates a record that has not been written yet. */
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

    /** Returns a copy that is in the given block. */
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

    /** Returns a copy with another term. */
    public MachineRow withTerm(Version newTerm) {
      return new MachineRow(
          id, entity, type, zone, spot, hasReported, newTerm, rentedAtMillis, modRevision, block);
    }

    /** Returns a copy that is marked as having reported. */
    public MachineRow withReported() {
      return new MachineRow(
          id, entity, type, zone, spot, true, term, rentedAtMillis, modRevision, block);
    }

    /** Returns the row to be written to transfer the machine to another entity. */
    public MachineRow transferredTo(ControllerId newEntity, Version newTerm) {
      return new MachineRow(
          id, newEntity, type, zone, spot, hasReported, newTerm, rentedAtMillis, 0, NOT_IN_BLOCK);
    }

    /** Returns a copy with the revision at which the record was written. */
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

  /** Returns the key of a machine's own row, which exists if the machine is not in a block. */
  public static String machineKey(MachineId machine) {
    return MACHINE_PREFIX + machine;
  }

  public static String jobKey(JobId job) {
    return JOB_PREFIX + job;
  }

  /** Returns the key prefix of an entity's open-job segments, which hold its open jobs' specs. */
  public static String openJobPrefix(ControllerId entity) {
    return OPEN_JOB_PREFIX + entity + "/";
  }

  public static String openJobSegmentKey(ControllerId entity, int number) {
    return openJobPrefix(entity) + number;
  }

  /** Returns the key of a finished-job segment, which records how jobs of an entity ended. */
  public static String finishedJobSegmentKey(ControllerId entity, String name) {
    return FINISHED_JOB_PREFIX + entity + "/" + name;
  }

  /** Returns the key prefix of the rows with the progress of an entity's jobs. */
  public static String progressPrefix(ControllerId entity) {
    return PROGRESS_PREFIX + entity + "/";
  }

  public static String progressKey(ControllerId entity, int slot) {
    return progressPrefix(entity) + slot;
  }

  public static String scaleOutRequestPrefix(ControllerId entity) {
    return SCALE_OUT_REQUEST_PREFIX + entity + "/";
  }

  /** Returns the controller whose liveness row has the given key. */
  static ControllerId controllerOfLiveness(String key) {
    return new ControllerId(key.substring(LIVENESS_PREFIX.length()));
  }

  /** Returns the entity whose row has the given key. */
  static ControllerId entityOf(String key) {
    return new ControllerId(key.substring(ENTITY_PREFIX.length()));
  }

  /** Returns the machine whose own row has the given key. */
  static MachineId machineOf(String key) {
    return new MachineId(key.substring(MACHINE_PREFIX.length()));
  }

  /** Encodes the liveness row of a controller of this release. */
  public static ObjectNode encodeLiveness(String zone) {
    return Cbor.newMap().put("zone", zone).put("token_in_every_answer", true);
  }

  /** Decodes a controller's liveness row; {@code modRevision} is the row's revision. */
  public static LivenessRow decodeLiveness(JsonNode value, long modRevision) {
    return new LivenessRow(value.path("token_in_every_answer").asBoolean(), modRevision);
  }

  /** Encodes an entity's row; {@code owner} is the id of the owning controller. */
  public static ObjectNode encode(EntityRow row, String owner) {
    return Cbor.newMap()
        .put("owner", owner)
        .put("version", row.version().value())
        .put("calm", row.acquiredGracefully())
        .put("unknown", row.history().jobsUnknownSinceMillis())
        .put("seized", row.history().lastFailoverAtMillis());
  }

  /** Decodes the row of the entity that the key names; {@code modRevision} is its revision. */
  public static EntityRow decodeEntity(String key, JsonNode value, long modRevision) {
    return new EntityRow(
        entityOf(key),
        new Version(value.path("version").asLong()),
        value.path("calm").asBoolean(),
        new OwnershipHistory(value.path("unknown").asLong(), value.path("seized").asLong()),
        modRevision);
  }

  /** Encodes a machine's own row. The value does not contain the id, the revision or the block. */
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

  /** Decodes a machine's own row; {@code modRevision} is the row's revision. */
  public static MachineRow decodeMachine(String key, JsonNode value, long modRevision) {
    return new MachineRow(
        machineOf(key),
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

  /**
   * Encodes a block as a map from machine id to a list of fields. With field names for each machine
   * a block would be twice as large.
   */
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

  /**
   * Decodes the machine records of the block that the key names; {@code modRevision} is the block's
   * revision.
   */
  public static Map<MachineId, MachineRow> decodeBlock(
      String key, JsonNode value, long modRevision) {
    ControllerId entity = entityOfBlock(key);
    int number = numberOfBlock(key);
    Map<MachineId, MachineRow> rows = new LinkedHashMap<>();
    for (var field : value.properties()) {
      MachineId id = new MachineId(field.getKey());
      JsonNode fields = field.getValue();
      rows.put(
          id,
          new MachineRow(
              id,
              entity,
              fields.path(BLOCK_FIELD_TYPE).asText(),
              fields.path(BLOCK_FIELD_ZONE).asText(),
              fields.path(BLOCK_FIELD_SPOT).asBoolean(),
              fields.path(BLOCK_FIELD_HAS_REPORTED).asBoolean(),
              new Version(fields.path(BLOCK_FIELD_TERM).asLong()),
              fields.path(BLOCK_FIELD_RENTED_AT).asLong(),
              modRevision,
              number));
    }
    return rows;
  }

  /** Returns the entity whose block has the given key. */
  public static ControllerId entityOfBlock(String key) {
    return new ControllerId(key.substring(BLOCK_PREFIX.length(), key.lastIndexOf('/')));
  }

  /** Returns the number of the block with the given key. */
  public static int numberOfBlock(String key) {
    return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
  }
}
