package io.violetrail.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.model.MachineId;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import io.violetrail.wire.Cbor.MalformedMessageException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Encodes and decodes the messages exchanged with the cloud provider. */
public final class CloudMessages {
  /** The path that lists the machine types. */
  public static final String MACHINE_TYPES_PATH = "/flavors";

  /** The path that rents machines (POST) and lists the rented ones (GET). */
  public static final String MACHINES_PATH = "/hosts";

  /** The path that returns rented machines. */
  public static final String RETURN_PATH = "/hosts/return";

  /** The maximum number of machines in one rental request. */
  public static final int MAX_MACHINES_PER_RENTAL = 50;

  /** The maximum number of machines in one return request. */
  public static final int MAX_MACHINES_PER_RETURN = 100;

  /** The maximum number of machines on one page of the listing. */
  public static final int MAX_MACHINES_PER_LIST = 500;

  private CloudMessages() {}

  /**
   * Decodes the provider's machine types.
   *
   * @throws MalformedMessageException if the list or a required field is missing
   */
  public static List<MachineType> parseMachineTypes(JsonNode message)
      throws MalformedMessageException {
    List<MachineType> machineTypes = new ArrayList<>();
    JsonNode list = Cbor.findPresent(message, "hosttypes");
    if (list == null) {
      throw new MalformedMessageException(
          "hosttypes must be a list of machine types, received nothing");
    }
    for (JsonNode machineType : list) {
      machineTypes.add(
          new MachineType(
              Cbor.readText(machineType, "sku"),
              new Resources(
                  Cbor.readAmount(machineType, "cores"),
                  Cbor.readAmount(machineType, "gpus"),
                  Cbor.readAmount(machineType, "mem_gb")),
              Cbor.readAmount(machineType, "cache_gb"),
              Cbor.readAmount(machineType, "pull_gb_per_s"),
              Cbor.readAmount(machineType, "rate"),
              Cbor.readAmount(machineType, "spot_price"),
              Cbor.readAmount(machineType, "ready_s"),
              Cbor.readTexts(machineType, "yards")));
    }
    return machineTypes;
  }

  /** Encodes machine types in the provider's form. */
  public static ObjectNode machineTypesMessage(Collection<MachineType> types) {
    ObjectNode message = Cbor.newMap();
    var list = message.putArray("hosttypes");
    for (MachineType machineType : types) {
      var fields =
          list.addObject()
              .put("sku", machineType.name())
              .put("cores", machineType.capacity().cpus())
              .put("gpus", machineType.capacity().gpus());
      fields
          .put("mem_gb", machineType.capacity().memoryGb())
          .put("cache_gb", machineType.imageCacheGb())
          .put("pull_gb_per_s", machineType.fetchGbPerSecond());
      fields
          .put("rate", machineType.onDemandPrice())
          .put("spot_price", machineType.spotPrice())
          .put("ready_s", machineType.bootSeconds());
      machineType.zones().forEach(fields.putArray("yards")::add);
    }
    return message;
  }

  /** Encodes a rental request. A request that is repeated with the same name is idempotent. */
  public static ObjectNode rentalRequest(
      String name, String type, String zone, boolean spot, int count) {
    return Cbor.newMap()
        .put("hire", name)
        .put("hosttype", type)
        .put("yard", zone)
        .put("loaners", spot)
        .put("count", count);
  }

  /** Encodes a request to return machines. */
  public static ObjectNode returnRequest(Collection<MachineId> machines) {
    ObjectNode message = Cbor.newMap();
    var list = message.putArray("hosts");
    machines.forEach(id -> list.add(id.value()));
    return message;
  }

  /**
   * Decodes the machine ids on one page of the listing of rented machines. A page without the list
   * is decoded as an empty page.
   *
   * @throws MalformedMessageException if an entry has no id
   */
  public static List<MachineId> parseListedMachines(JsonNode message)
      throws MalformedMessageException {
    List<MachineId> machineIds = new ArrayList<>();
    for (JsonNode host : message.path("hosts")) {
      machineIds.add(new MachineId(Cbor.readText(host, "name_id")));
    }
    return machineIds;
  }

  /** Returns whether further pages of the listing follow this one. */
  public static boolean isTruncated(JsonNode message) {
    return message.path("truncated").asBoolean(false);
  }

  /**
   * Decodes the ids of the machines that a rental request has rented.
   *
   * @throws MalformedMessageException if the list is missing
   */
  public static List<MachineId> parseRentedMachines(JsonNode message)
      throws MalformedMessageException {
    List<String> names = Cbor.readTexts(message, "hosts");
    if (names == null) {
      throw new MalformedMessageException("hosts must be a list of machine ids, received nothing");
    }
    return names.stream().map(MachineId::new).toList();
  }
}
