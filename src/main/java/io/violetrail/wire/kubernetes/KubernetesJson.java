package io.violetrail.wire.kubernetes;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.cfg.JsonNodeFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.errors.MalformedDataException;
import java.io.IOException;

/**
 * Strict JSON in the manner of the Kubernetes API: a body is a single object without duplicate keys
 * and with a bounded nesting depth.
 */
public final class KubernetesJson {
  private static final int MAX_DEPTH = 32;

  private static final ObjectMapper MAPPER =
      JsonMapper.builder(
              JsonFactory.builder()
                  .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
                  .build())
          .build();

  private static final ObjectMapper SORTING_MAPPER =
      JsonMapper.builder().enable(JsonNodeFeature.WRITE_PROPERTIES_SORTED).build();

  private KubernetesJson() {}

  /**
   * Encodes a value with sorted keys, so that equal values give equal texts. A store may return the
   * fields of an object in a different order.
   */
  public static String toCanonicalText(JsonNode node) {
    try {
      return SORTING_MAPPER.writeValueAsString(node);
    } catch (IOException exception) {
      throw new IllegalStateException(exception);
    }
  }

  /** Thrown if a request is not a single strict JSON object or a part of it is invalid. */
  public static final class MalformedRequestException extends MalformedDataException {
    private static final long serialVersionUID = 1L;

    /** The path of the invalid field; empty if the error concerns the whole request. */
    private final String path;

    private final FieldError.Cause errorCause;

    public MalformedRequestException(String path, String reason) {
      this(path, FieldError.Cause.TYPE, reason);
    }

    MalformedRequestException(String path, FieldError.Cause errorCause, String reason) {
      super(reason);
      this.path = path;
      this.errorCause = errorCause;
    }

    public FieldError.Cause errorCause() {
      return errorCause;
    }

    public String path() {
      return path;
    }
  }

  public static ObjectNode newObject() {
    return MAPPER.createObjectNode();
  }

  /** Encodes a document as JSON in UTF-8. */
  public static byte[] toBytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (IOException exception) {
      throw new IllegalStateException(exception);
    }
  }

  /**
   * Decodes a JSON object.
   *
   * @throws MalformedRequestException if the body cannot be parsed or is not an object
   */
  public static ObjectNode parse(byte[] body) throws MalformedRequestException {
    try (JsonParser parser = MAPPER.getFactory().createParser(body)) {
      return parse(parser);
    } catch (IOException exception) {
      throw new MalformedRequestException("", "body cannot be read as JSON");
    }
  }

  /** Reads a single object that must be all of the parser's remaining input. */
  private static ObjectNode parse(JsonParser parser) throws MalformedRequestException {
    JsonNode node = readNext(parser);
    try {
      if (!(node instanceof ObjectNode map) || parser.nextToken() != null) {
        throw new MalformedRequestException("", "body must be exactly one JSON object");
      }
      return map;
    } catch (IOException exception) {
      throw new MalformedRequestException("", "body must end after its JSON object");
    }
  }

  /**
   * Reads the parser's next value; returns null at the end of the input.
   *
   * @throws MalformedRequestException if the input is not JSON, has a duplicate key or is nested
   *     more than 32 levels deep
   */
  public static JsonNode readNext(JsonParser parser) throws MalformedRequestException {
    try {
      return MAPPER.readTree(parser);
    } catch (JsonParseException exception) {
      String text = exception.getOriginalMessage();
      if (text != null && text.startsWith("Duplicate field")) {
        String path =
            FieldPaths.fromJsonPointer(parser.getParsingContext().pathAsPointer().toString());
        throw new MalformedRequestException(path, FieldError.Cause.DUPLICATE, "duplicate key");
      }
      throw new MalformedRequestException(
          "", "invalid JSON at line " + exception.getLocation().getLineNr());
    } catch (IOException | RuntimeException exception) {
      throw new MalformedRequestException(
          "",
          "body cannot be read as JSON: it is not text, or is nested more than "
              + MAX_DEPTH
              + " levels deep");
    }
  }
}
