package io.violetrail.calendar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.wire.Cbor;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Base64;
import org.tukaani.xz.LZMA2Options;
import org.tukaani.xz.XZ;
import org.tukaani.xz.XZInputStream;
import org.tukaani.xz.XZOutputStream;

/**
 * Blocks of ended runs: XZ, which checks what it unpacks, in the text that the state service's
 * values allow. What does not unpack whole, or holds another number of runs than it says, is torn.
 */
final class Archive {
  /** A block is a few KiB; the smallest dictionary is enough, and costs the least memory. */
  private static final int DICTIONARY = LZMA2Options.DICT_SIZE_MIN;

  private static final int MAX_MEMORY_KIB = 4 * 1024;
  private static final int MAX_UNPACKED = 1 << 20;

  private Archive() {}

  /** A block that cannot be read. */
  static final class Torn extends Exception {
    private static final long serialVersionUID = 1L;

    Torn(String why) {
      super(why, null, false, false);
    }
  }

  static ObjectNode pack(ArrayNode runs) {
    try {
      LZMA2Options options = new LZMA2Options(1);
      options.setDictSize(DICTIONARY);
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      try (XZOutputStream xz = new XZOutputStream(out, options, XZ.CHECK_CRC64)) {
        xz.write(Cbor.bytes(Cbor.map().set("runs", runs)));
      }
      return Cbor.map()
          .put("count", runs.size())
          .put("xz", Base64.getEncoder().encodeToString(out.toByteArray()));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  static ArrayNode unpack(JsonNode block) throws Torn {
    try {
      byte[] packed = Base64.getDecoder().decode(block.path("xz").asText());
      byte[] bytes;
      try (XZInputStream xz = new XZInputStream(new ByteArrayInputStream(packed), MAX_MEMORY_KIB)) {
        bytes = xz.readNBytes(MAX_UNPACKED);
        if (xz.read() >= 0) {
          throw new Torn("the block is too long");
        }
      }
      JsonNode runs = Cbor.parse(bytes).get("runs");
      if (!(runs instanceof ArrayNode all) || all.size() != block.path("count").asInt(-1)) {
        throw new Torn("the block holds another number of runs than it says");
      }
      return all;
    } catch (IOException | IllegalArgumentException | Cbor.Malformed e) {
      throw new Torn("the block does not unpack: " + e.getMessage());
    }
  }
}
