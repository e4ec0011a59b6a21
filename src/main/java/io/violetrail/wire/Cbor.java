package io.violetrail.wire;

import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import io.violetrail.errors.MalformedDataException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** CBOR bodies as Jackson trees, with the checks that every message needs. */
public final class Cbor {
  private static final int MAX_NESTING_DEPTH = 32;
  private static final double MAX_AMOUNT = 1e12;
  private static final ObjectMapper MAPPER =
      new ObjectMapper(
          CBORFactory.builder()
              .streamReadConstraints(
                  StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build())
              .build());

  private Cbor() {}

  /** A message that breaks the protocol. */
  public static final class MalformedMessageException extends MalformedDataException {
    private static final long serialVersionUID = 1L;

    /** A message with the reason for which it is refused, as it is told to its sender. */
    public MalformedMessageException(String reason) {
      super(reason);
    }
  }

  /** An empty map. */
  public static ObjectNode newMap() {
    return MAPPER.createObjectNode();
  }

  /** An empty list. */
  public static ArrayNode newList() {
    return MAPPER.createArrayNode();
  }

  /** Encodes a document as CBOR. */
  public static byte[] encode(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (IOException exception) {
      throw new IllegalStateException(exception);
    }
  }

  /** Reads one map that fills the whole body. */
  public static ObjectNode parse(byte[] body) throws MalformedMessageException {
    try (var parser = MAPPER.getFactory().createParser(body)) {
      JsonNode node = MAPPER.readTree(parser);
      if (!(node instanceof ObjectNode map) || parser.nextToken() != null) {
        throw new MalformedMessageException("the body is not one CBOR map");
      }
      return map;
    } catch (IOException | RuntimeException exception) {
      throw new MalformedMessageException("the body is not CBOR");
    }
  }

  static JsonNode findPresent(JsonNode map, String field) {
    JsonNode node = map.get(field);
    return node == null || node.isNull() ? null : node;
  }

  static String readText(JsonNode map, String field) throws MalformedMessageException {
    JsonNode node = findPresent(map, field);
    if (node == null || !node.isTextual() || node.asText().isEmpty()) {
      throw new MalformedMessageException(field + " must be text");
    }
    return node.asText();
  }

  static String readTextOrDefault(JsonNode map, String field, String defaultText)
      throws MalformedMessageException {
    return findPresent(map, field) == null ? defaultText : readText(map, field);
  }

  static double readAmount(JsonNode map, String field) throws MalformedMessageException {
    JsonNode node = findPresent(map, field);
    if (node == null || !node.isNumber()) {
      throw new MalformedMessageException(field + " must be a number");
    }
    double value = node.asDouble();
    if (!Double.isFinite(value) || value < 0 || value > MAX_AMOUNT) {
      throw new MalformedMessageException(field + " is out of range");
    }
    return value;
  }

  static long readCount(JsonNode map, String field) throws MalformedMessageException {
    JsonNode node = findPresent(map, field);
    if (node == null || !node.isIntegralNumber() || !node.canConvertToLong() || node.asLong() < 0) {
      throw new MalformedMessageException(field + " must be a count");
    }
    return node.asLong();
  }

  static boolean readFlag(JsonNode map, String field) throws MalformedMessageException {
    JsonNode node = findPresent(map, field);
    if (node == null || !node.isBoolean()) {
      throw new MalformedMessageException(field + " must be true or false");
    }
    return node.asBoolean();
  }

  static List<String> readTexts(JsonNode map, String field) throws MalformedMessageException {
    JsonNode node = findPresent(map, field);
    if (node == null) {
      return null;
    }
    if (!node.isArray()) {
      throw new MalformedMessageException(field + " must be a list");
    }
    List<String> texts = new ArrayList<>();
    for (JsonNode item : node) {
      if (!item.isTextual()) {
        throw new MalformedMessageException(field + " must hold text");
      }
      texts.add(item.asText());
    }
    return List.copyOf(texts);
  }
}
