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
import java.io.IOException;

/** JSON as the Kubernetes API reads it strictly: one object, no key twice, bounded depth. */
public final class KubeJson {
  private static final int MAX_DEPTH = 32;

  private static final ObjectMapper MAPPER =
      JsonMapper.builder(
              JsonFactory.builder()
                  .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
                  .build())
          .build();

  private static final ObjectMapper SORTED =
      JsonMapper.builder().enable(JsonNodeFeature.WRITE_PROPERTIES_SORTED).build();

  private KubeJson() {}

  /** One text for equal values: a store may give fields back in another order. */
  public static String canonical(JsonNode node) {
    try {
      return SORTED.writeValueAsString(node);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** A text that is not one strict JSON object. */
  public static final class Malformed extends Exception {
    private static final long serialVersionUID = 1L;

    /** The path of what is wrong, empty if it is the whole. */
    private final String path;

    private final Refusal.Cause kind;

    public Malformed(String path, String why) {
      this(path, Refusal.Cause.TYPE, why);
    }

    Malformed(String path, Refusal.Cause cause, String why) {
      super(why, null, false, false);
      this.path = path;
      this.kind = cause;
    }

    public Refusal.Cause kind() {
      return kind;
    }

    public String path() {
      return path;
    }
  }

  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Encodes a document as JSON in UTF-8. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Decodes a JSON object.
   *
   * @throws Malformed if the body cannot be parsed or is not an object
   */
  public static ObjectNode parse(byte[] body) throws Malformed {
    try (JsonParser parser = MAPPER.getFactory().createParser(body)) {
      return parse(parser);
    } catch (IOException e) {
      throw new Malformed("", "the body cannot be read");
    }
  }

  /** Reads the one object that fills the rest of a parser's input. */
  private static ObjectNode parse(JsonParser parser) throws Malformed {
    JsonNode node = next(parser);
    try {
      if (!(node instanceof ObjectNode map) || parser.nextToken() != null) {
        throw new Malformed("", "the body is not one object");
      }
      return map;
    } catch (IOException e) {
      throw new Malformed("", "something follows the object");
    }
  }

  /** The parser's next value; null at the end of its input. */
  public static JsonNode next(JsonParser parser) throws Malformed {
    try {
      return MAPPER.readTree(parser);
    } catch (JsonParseException e) {
      String text = e.getOriginalMessage();
      if (text != null && text.startsWith("Duplicate field")) {
        String path = Paths.dotted(parser.getParsingContext().pathAsPointer().toString());
        throw new Malformed(path, Refusal.Cause.DUPLICATE, "the key is there twice");
      }
      throw new Malformed("", "not JSON at line " + e.getLocation().getLineNr());
    } catch (IOException | RuntimeException e) {
      throw new Malformed("", "the body cannot be read: it is not text, or nested too deeply");
    }
  }
}
