package io.violetrail.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.model.Amounts;
import io.violetrail.model.MachineId;
import io.violetrail.model.MachineType;
import io.violetrail.wire.Cbor.Malformed;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** The cloud's messages. */
public final class CloudWire {
  public static final int MAX_HIRE = 50;
  public static final int MAX_RETURN = 100;
  public static final int MAX_LIST = 500;

  private CloudWire() {}

  /**
   * Decodes the provider's machine types.
   *
   * @throws Malformed if the list or a required field is missing
   */
  public static List<MachineType> types(JsonNode m) throws Malformed {
    List<MachineType> all = new ArrayList<>();
    JsonNode list = Cbor.present(m, "hosttypes");
    if (list == null) {
      throw new Malformed("hosttypes is missing");
    }
    for (JsonNode t : list) {
      all.add(
          new MachineType(
              Cbor.text(t, "sku"),
              new Amounts(
                  Cbor.amount(t, "cores"), Cbor.amount(t, "gpus"), Cbor.amount(t, "mem_gb")),
              Cbor.amount(t, "cache_gb"),
              Cbor.amount(t, "pull_gb_per_s"),
              Cbor.amount(t, "rate"),
              Cbor.amount(t, "spot_price"),
              Cbor.amount(t, "ready_s"),
              Cbor.texts(t, "yards")));
    }
    return all;
  }

  /** Encodes machine types in the provider's form. */
  public static ObjectNode types(Collection<MachineType> types) {
    ObjectNode m = Cbor.map();
    var list = m.putArray("hosttypes");
    for (MachineType t : types) {
      var n =
          list.addObject()
              .put("sku", t.name())
              .put("cores", t.size().cpus())
              .put("gpus", t.size().gpus());
      n.put("mem_gb", t.size().memoryGb())
          .put("cache_gb", t.cacheGb())
          .put("pull_gb_per_s", t.fetchGbPerS());
      n.put("rate", t.price()).put("spot_price", t.spotPrice()).put("ready_s", t.bootS());
      t.zones().forEach(n.putArray("yards")::add);
    }
    return m;
  }

  /** Encodes a request for machines; {@code name} makes a repeated request idempotent. */
  public static ObjectNode hire(String name, String type, String zone, boolean spot, int count) {
    return Cbor.map()
        .put("hire", name)
        .put("hosttype", type)
        .put("yard", zone)
        .put("loaners", spot)
        .put("count", count);
  }

  /** Encodes a request to return machines. */
  public static ObjectNode giveBack(Collection<MachineId> machines) {
    ObjectNode m = Cbor.map();
    var list = m.putArray("hosts");
    machines.forEach(id -> list.add(id.value()));
    return m;
  }

  /**
   * Decodes the ids in a listing of rented machines.
   *
   * @throws Malformed if an entry has no id
   */
  public static List<MachineId> listed(JsonNode m) throws Malformed {
    List<MachineId> all = new ArrayList<>();
    for (JsonNode host : m.path("hosts")) {
      all.add(new MachineId(Cbor.text(host, "name_id")));
    }
    return all;
  }

  public static boolean more(JsonNode m) {
    return m.path("truncated").asBoolean(false);
  }

  /**
   * Decodes the ids of machines that a request has rented.
   *
   * @throws Malformed if the list is missing
   */
  public static List<MachineId> hired(JsonNode m) throws Malformed {
    List<String> names = Cbor.texts(m, "hosts");
    if (names == null) {
      throw new Malformed("hosts is missing");
    }
    return names.stream().map(MachineId::new).toList();
  }
}
