package io.violetrail.wire;

import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** CBOR bodies as Jackson trees, with the checks that every message needs. */
public final class Cbor {
  private static final ObjectMapper MAPPER =
      new ObjectMapper(
          CBORFactory.builder()
              .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(32).build())
              .build());

  private Cbor() {}

  /** A message that breaks the protocol. */
  public static final class Malformed extends Exception {
    private static final long serialVersionUID = 1L;

    public Malformed(String why) {
      super(why, null, false, false);
    }
  }

  public static ObjectNode map() {
    return MAPPER.createObjectNode();
  }

  public static ArrayNode list() {
    return MAPPER.createArrayNode();
  }

  /** Encodes a document as CBOR. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Reads one map that fills the whole body. */
  public static ObjectNode parse(byte[] body) throws Malformed {
    try (var parser = MAPPER.getFactory().createParser(body)) {
      JsonNode node = MAPPER.readTree(parser);
      if (!(node instanceof ObjectNode map) || parser.nextToken() != null) {
        throw new Malformed("the body is not one CBOR map");
      }
      return map;
    } catch (IOException | RuntimeException e) {
      throw new Malformed("the body is not CBOR");
    }
  }

  static JsonNode present(JsonNode map, String field) {
    JsonNode node = map.get(field);
    return node == null || node.isNull() ? null : node;
  }

  static String text(JsonNode map, String field) throws Malformed {
    JsonNode node = present(map, field);
    if (node == null || !node.isTextual() || node.asText().isEmpty()) {
      throw new Malformed(field + " must be text");
    }
    return node.asText();
  }

  static String textOr(JsonNode map, String field, String other) throws Malformed {
    return present(map, field) == null ? other : text(map, field);
  }

  static double amount(JsonNode map, String field) throws Malformed {
    JsonNode node = present(map, field);
    if (node == null || !node.isNumber()) {
      throw new Malformed(field + " must be a number");
    }
    double value = node.asDouble();
    if (!Double.isFinite(value) || value < 0 || value > 1e12) {
      throw new Malformed(field + " is out of range");
    }
    return value;
  }

  static long count(JsonNode map, String field) throws Malformed {
    JsonNode node = present(map, field);
    if (node == null || !node.isIntegralNumber() || !node.canConvertToLong() || node.asLong() < 0) {
      throw new Malformed(field + " must be a count");
    }
    return node.asLong();
  }

  static boolean flag(JsonNode map, String field) throws Malformed {
    JsonNode node = present(map, field);
    if (node == null || !node.isBoolean()) {
      throw new Malformed(field + " must be true or false");
    }
    return node.asBoolean();
  }

  static List<String> texts(JsonNode map, String field) throws Malformed {
    JsonNode node = present(map, field);
    if (node == null) {
      return null;
    }
    if (!node.isArray()) {
      throw new Malformed(field + " must be a list");
    }
    List<String> all = new ArrayList<>();
    for (JsonNode item : node) {
      if (!item.isTextual()) {
        throw new Malformed(field + " must hold text");
      }
      all.add(item.asText());
    }
    return List.copyOf(all);
  }
}
