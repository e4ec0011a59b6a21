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

/** Encodes and decodes CBOR bodies as Jackson trees and reads their fields with type checks. */
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

  /** Thrown if a message is not valid CBOR or has a missing or invalid field. */
  public static final class MalformedMessageException extends MalformedDataException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose reason is returned to the sender of the message. */
    public MalformedMessageException(String reason) {
      super(reason);
    }
  }

  public static ObjectNode newMap() {
    return MAPPER.createObjectNode();
  }

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

  /**
   * Decodes a body that consists of exactly one CBOR map.
   *
   * @throws MalformedMessageException if the body is not CBOR, is nested more than 32 levels deep,
   *     is not a map or has further content after the map
   */
  public static ObjectNode parse(byte[] body) throws MalformedMessageException {
    try (var parser = MAPPER.getFactory().createParser(body)) {
      JsonNode node = MAPPER.readTree(parser);
      if (!(node instanceof ObjectNode map) || parser.nextToken() != null) {
        throw new MalformedMessageException("body must be exactly one CBOR map");
      }
      return map;
    } catch (IOException | RuntimeException exception) {
      throw new MalformedMessageException(
          "body is not valid CBOR, or is nested more than " + MAX_NESTING_DEPTH + " levels deep");
    }
  }

  /** Returns the field's value, or null if the field is absent or holds a CBOR null. */
  static JsonNode findPresent(JsonNode map, String field) {
    JsonNode node = map.get(field);
    return node == null || node.isNull() ? null : node;
  }

  static String readText(JsonNode map, String field) throws MalformedMessageException {
    JsonNode node = findPresent(map, field);
    if (node == null || !node.isTextual() || node.asText().isEmpty()) {
      throw new MalformedMessageException(
          field
              + " must be non-empty text, received "
              + (node == null ? "nothing" : node.isTextual() ? "empty text" : node.getNodeType()));
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
      throw new MalformedMessageException(
          field + " must be a number, received " + (node == null ? "nothing" : node.getNodeType()));
    }
    double value = node.asDouble();
    if (!Double.isFinite(value) || value < 0 || value > MAX_AMOUNT) {
      throw new MalformedMessageException(
          field + " must be from 0 to " + MAX_AMOUNT + ", received " + value);
    }
    return value;
  }

  static long readCount(JsonNode map, String field) throws MalformedMessageException {
    JsonNode node = findPresent(map, field);
    if (node == null || !node.isIntegralNumber() || !node.canConvertToLong() || node.asLong() < 0) {
      throw new MalformedMessageException(
          field
              + " must be a 64-bit integer of at least 0, received "
              + (node == null ? "nothing" : node.isNumber() ? node : node.getNodeType()));
    }
    return node.asLong();
  }

  static boolean readFlag(JsonNode map, String field) throws MalformedMessageException {
    JsonNode node = findPresent(map, field);
    if (node == null || !node.isBoolean()) {
      throw new MalformedMessageException(
          field
              + " must be true or false, received "
              + (node == null ? "nothing" : node.getNodeType()));
    }
    return node.asBoolean();
  }

  /** Returns the texts of a list, which may be empty, or null if the field is absent. */
  static List<String> readTexts(JsonNode map, String field) throws MalformedMessageException {
    JsonNode node = findPresent(map, field);
    if (node == null) {
      return null;
    }
    if (!node.isArray()) {
      throw new MalformedMessageException(
          field + " must be a list of texts, received " + node.getNodeType());
    }
    List<String> texts = new ArrayList<>();
    for (JsonNode item : node) {
      if (!item.isTextual()) {
        throw new MalformedMessageException(
            field + " must be a list of texts, received an item of type " + item.getNodeType());
      }
      texts.add(item.asText());
    }
    return List.copyOf(texts);
  }
}
