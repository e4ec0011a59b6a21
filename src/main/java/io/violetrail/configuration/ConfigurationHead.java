package io.violetrail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateWire.Entry;
import java.util.ArrayList;
import java.util.List;

/**
 * The row that says which revision is in force, with the last ones before it. Its content stands in
 * parts, rows named by the digests of what they hold, since a few hundred teams do not fit one
 * value; revisions share the parts that are equal. One conditional write of this row puts all parts
 * in force at once.
 *
 * @param revisions the newest first
 * @param stamp the row's; 0 if there is none, and the platform's file is in force
 */
public record ConfigurationHead(List<Revision> revisions, long stamp) {
  /** Where the head stands: among the rows that every controller watches. */
  public static final String KEY = io.violetrail.ownership.Rows.CONFIGURATION;

  /** Where the parts stand, which nobody watches. */
  static final String PARTS = "config/part/";

  static final int KEPT_REVISIONS = 12;

  static final ConfigurationHead NONE = new ConfigurationHead(List.of(), 0);

  /**
   * One revision.
   *
   * @param digest of its content
   * @param parts digests of the rows that hold it, in order
   * @param request names the request that asked for it
   * @param asked digest of what was asked for, before teams that it leaves out were closed
   */
  public record Revision(
      long number,
      String digest,
      List<String> parts,
      String request,
      String asked,
      String who,
      String why,
      long atMs) {

    List<String> keys() {
      return parts.stream().map(ConfigurationHead::partKey).toList();
    }
  }

  static String partKey(String digest) {
    return PARTS + digest;
  }

  long number() {
    return revisions.isEmpty() ? 0 : revisions.get(0).number();
  }

  Revision newest() {
    return revisions.isEmpty() ? null : revisions.get(0);
  }

  /** The kept revision of that number; null if there is none. */
  Revision revision(long number) {
    return revisions.stream().filter(r -> r.number() == number).findFirst().orElse(null);
  }

  /** The kept revision that the request made; null if there is none. */
  Revision madeBy(String request) {
    return revisions.stream().filter(r -> r.request().equals(request)).findFirst().orElse(null);
  }

  /** This head with another revision in force; the oldest ones go. */
  ConfigurationHead with(Revision next) {
    List<Revision> all = new ArrayList<>(revisions);
    all.add(0, next);
    return new ConfigurationHead(
        List.copyOf(all.subList(0, Math.min(KEPT_REVISIONS, all.size()))), stamp);
  }

  ObjectNode value() {
    ObjectNode value = Cbor.map();
    ArrayNode list = value.putArray("revisions");
    for (Revision r : revisions) {
      ObjectNode revision = list.addObject();
      r.parts().forEach(revision.putArray("parts")::add);
      revision
          .put("number", r.number())
          .put("digest", r.digest())
          .put("request", r.request())
          .put("asked", r.asked())
          .put("who", r.who())
          .put("why", r.why())
          .put("at", r.atMs());
    }
    return value;
  }

  static ConfigurationHead of(Entry row) {
    if (row == null || row.value() == null) {
      return NONE;
    }
    List<Revision> all = new ArrayList<>();
    for (JsonNode r : row.value().path("revisions")) {
      List<String> parts = new ArrayList<>();
      r.path("parts").forEach(p -> parts.add(p.asText()));
      all.add(
          new Revision(
              r.path("number").asLong(),
              r.path("digest").asText(),
              List.copyOf(parts),
              r.path("request").asText(),
              r.path("asked").asText(),
              r.path("who").asText(),
              r.path("why").asText(),
              r.path("at").asLong()));
    }
    return new ConfigurationHead(List.copyOf(all), row.stamp());
  }
}
