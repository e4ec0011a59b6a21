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
 * Keys and values of the rows in the state service, and nothing else knows their format. The common
 * rows, which all controllers watch, lie under {@link #COMMON_PREFIX}.
 *
 * <p>Rows outlive every process and every release: a decoder takes a field that an earlier release
 * did not write as 0, false or empty.
 */
public final class StateSchema {
  /** Before the keys of all rows that every controller watches. */
  public static final String COMMON_PREFIX = "c/";

  /** Before a controller's id: its {@link LivenessRow}, which its lease keeps. */
  public static final String LIVENESS_PREFIX = COMMON_PREFIX + "alive/";

  /** Before an entity's id: its {@link EntityRow}. */
  public static final String ENTITY_PREFIX = COMMON_PREFIX + "entity/";

  /** Before the id of a machine whose {@link MachineRow} stands alone. */
  public static final String MACHINE_PREFIX = COMMON_PREFIX + "machine/";

  /** Before an entity's id and a number: a block of its machines' rows. */
  public static final String BLOCK_PREFIX = COMMON_PREFIX + "block/";

  /** Before a team's name: the quota shares that its limit is divided into. */
  public static final String QUOTA_SHARE_PREFIX = COMMON_PREFIX + "slice/";

  /** Rewritten with every addition to any block, so that no two entities add the same machine. */
  public static final String MACHINE_ADDITIONS_KEY = COMMON_PREFIX + "intake";

  /** The machine types that the cloud offers. */
  public static final String MACHINE_TYPES_KEY = COMMON_PREFIX + "types";

  /** Says which revision of the configuration is in force; absent while that is the file. */
  public static final String CONFIGURATION_KEY = COMMON_PREFIX + "config";

  private static final String JOB_PREFIX = "job/";
  private static final String OPEN_JOB_PREFIX = "open/";
  private static final String FINISHED_JOB_PREFIX = "end/";
  private static final String PROGRESS_PREFIX = "progress/";
  private static final String SCALE_OUT_REQUEST_PREFIX = "hire/";

  // Places in the list that a block has for each of its machines.
  private static final int BLOCK_FIELD_TYPE = 0;
  private static final int BLOCK_FIELD_ZONE = 1;
  private static final int BLOCK_FIELD_SPOT = 2;
  private static final int BLOCK_FIELD_HAS_REPORTED = 3;
  private static final int BLOCK_FIELD_TERM = 4;
  private static final int BLOCK_FIELD_RENTED_AT = 5;

  private StateSchema() {}

  /**
   * A controller whose lease stands.
   *
   * @param tokenInEveryReply whether its program gives workers no answer without a token; earlier
   *     releases did, and some workers' leases were renewed by that
   * @param modRevision the row's revision
   */
  public record LivenessRow(boolean tokenInEveryReply, long modRevision) {}

  /**
   * An entity and its owner.
   *
   * @param version grows with every move; its remainder is the owner's index in the settings
   * @param acquiredGracefully handed over by its former owner, or new, rather than taken over after
   *     lease expiry
   * @param modRevision the row's revision; 0 while it is still to be written
   */
  public record EntityRow(
      ControllerId entity,
      Version version,
      boolean acquiredGracefully,
      OwnershipHistory history,
      long modRevision) {
    /** The same as written at that revision. */
    public EntityRow withModRevision(long newModRevision) {
      return new EntityRow(entity, version, acquiredGracefully, history, newModRevision);
    }
  }

  /**
   * What an entity's next owner must know of its former ones, in times of day.
   *
   * @param jobsUnknownSinceMillis since then, workers' leases may have been renewed by owners that
   *     did not know yet which jobs were over
   * @param lastFailoverAtMillis when it was last taken over after lease expiry; the owner that it
   *     was taken from may have used its grace period from then on
   */
  public record OwnershipHistory(long jobsUnknownSinceMillis, long lastFailoverAtMillis) {
    /** That of an entity that nobody has owned. */
    public static final OwnershipHistory NONE = new OwnershipHistory(0, 0);
  }

  /**
   * A machine of an entity.
   *
   * @param type name of its machine type
   * @param hasReported it has reported, so it may have tasks
   * @param term the lowest fencing token its worker may be commanded under, raised when it passes
   *     from entity to entity
   * @param rentedAtMillis when it was requested, in time of day
   * @param modRevision the revision of its own row or of its block; 0 while it is to be written
   * @param block the number of the block that has its record, or {@link #NOT_IN_BLOCK} if it has a
   *     row of its own
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
    /** Instead of a block's number. */
    public static final int NOT_IN_BLOCK = -1;

    /** A row that is still to be written. */
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

    /** Whether it is recorded in a block. */
    public boolean isInBlock() {
      return block != NOT_IN_BLOCK;
    }

    /** The same in a block. */
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

    /** The same under another term. */
    public MachineRow withTerm(Version newTerm) {
      return new MachineRow(
          id, entity, type, zone, spot, hasReported, newTerm, rentedAtMillis, modRevision, block);
    }

    /** The same, having reported. */
    public MachineRow withReported() {
      return new MachineRow(
          id, entity, type, zone, spot, true, term, rentedAtMillis, modRevision, block);
    }

    /** The row, still to be written, by which it passes to another entity. */
    public MachineRow transferredTo(ControllerId newEntity, Version newTerm) {
      return new MachineRow(
          id, newEntity, type, zone, spot, hasReported, newTerm, rentedAtMillis, 0, NOT_IN_BLOCK);
    }

    /** The same as written at that revision. */
    public MachineRow withModRevision(long newModRevision) {
      return new MachineRow(
          id, entity, type, zone, spot, hasReported, term, rentedAtMillis, newModRevision, block);
    }
  }

  /** The key of a controller's liveness row. */
  public static String livenessKey(ControllerId controller) {
    return LIVENESS_PREFIX + controller;
  }

  /** The key of an entity's row. */
  public static String entityKey(ControllerId entity) {
    return ENTITY_PREFIX + entity;
  }

  /** The key of the row of a machine that is in no block. */
  public static String machineKey(MachineId machine) {
    return MACHINE_PREFIX + machine;
  }

  /** The key of a job's own row. */
  public static String jobKey(JobId job) {
    return JOB_PREFIX + job;
  }

  /** Before the keys of an entity's open-job segments: what its open jobs are to run. */
  public static String openJobPrefix(ControllerId entity) {
    return OPEN_JOB_PREFIX + entity + "/";
  }

  /** The key of one of an entity's open-job segments. */
  public static String openJobSegmentKey(ControllerId entity, int number) {
    return openJobPrefix(entity) + number;
  }

  /** The key of a finished-job segment: how jobs of an entity ended. */
  public static String finishedJobSegmentKey(ControllerId entity, String name) {
    return FINISHED_JOB_PREFIX + entity + "/" + name;
  }

  /** Before the keys of the progress of an entity's jobs. */
  public static String progressPrefix(ControllerId entity) {
    return PROGRESS_PREFIX + entity + "/";
  }

  /** The key of one of an entity's progress rows. */
  public static String progressKey(ControllerId entity, int slot) {
    return progressPrefix(entity) + slot;
  }

  /** Before the keys of an entity's scale-out requests. */
  public static String scaleOutRequestPrefix(ControllerId entity) {
    return SCALE_OUT_REQUEST_PREFIX + entity + "/";
  }

  /** The controller whose liveness row has that key. */
  static ControllerId controllerOfLiveness(String key) {
    return new ControllerId(key.substring(LIVENESS_PREFIX.length()));
  }

  /** The entity whose row has that key. */
  static ControllerId entityOf(String key) {
    return new ControllerId(key.substring(ENTITY_PREFIX.length()));
  }

  /** The machine whose own row has that key. */
  static MachineId machineOf(String key) {
    return new MachineId(key.substring(MACHINE_PREFIX.length()));
  }

  /** Encodes what this program says of itself while its lease stands. */
  public static ObjectNode encodeLiveness(String zone) {
    return Cbor.newMap().put("zone", zone).put("token_in_every_answer", true);
  }

  /** Decodes a controller's liveness row; {@code modRevision} is the row's revision. */
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
        entityOf(key),
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

  /** The key of one of an entity's blocks. */
  public static String blockKey(ControllerId entity, int number) {
    return BLOCK_PREFIX + entity + "/" + number;
  }

  /** Encodes a block: its machines by id, each as a list, since field names would double it. */
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
   * Decodes the machines of the block that the key names; {@code modRevision} is the block's
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

  /** The entity whose block has that key. */
  public static ControllerId entityOfBlock(String key) {
    return new ControllerId(key.substring(BLOCK_PREFIX.length(), key.lastIndexOf('/')));
  }

  /** The number of the block with that key. */
  public static int numberOfBlock(String key) {
    return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
  }
}
