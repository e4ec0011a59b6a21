package io.violetrail.calendar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.errors.MalformedDataException;
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
 * Encodes and decodes history blocks of ended runs. A block is compressed with XZ, whose checksum
 * is verified on decompression, and stored as Base64, since the state service's values allow only
 * text. A block that cannot be decompressed completely, or whose number of runs differs from its
 * stored count, is corrupt.
 */
final class RunHistoryCodec {
  /** A block is a few KiB, so the smallest dictionary suffices; it uses the least memory. */
  private static final int DICTIONARY_BYTES = LZMA2Options.DICT_SIZE_MIN;

  private static final int MAX_MEMORY_KIB = 4 * 1024;
  private static final int MAX_DECODED_BYTES = 1 << 20;

  private RunHistoryCodec() {}

  /** Thrown for a block that is missing or cannot be decoded. */
  static final class CorruptBlockException extends MalformedDataException {
    private static final long serialVersionUID = 1L;

    CorruptBlockException(String reason) {
      super(reason);
    }
  }

  static ObjectNode encode(ArrayNode runs) {
    try {
      LZMA2Options options = new LZMA2Options(1);
      options.setDictSize(DICTIONARY_BYTES);
      ByteArrayOutputStream compressed = new ByteArrayOutputStream();
      try (XZOutputStream xz = new XZOutputStream(compressed, options, XZ.CHECK_CRC64)) {
        xz.write(Cbor.encode(Cbor.newMap().set("runs", runs)));
      }
      return Cbor.newMap()
          .put("count", runs.size())
          .put("xz", Base64.getEncoder().encodeToString(compressed.toByteArray()));
    } catch (IOException exception) {
      throw new IllegalStateException("cannot compress a history block", exception);
    }
  }

  static ArrayNode decode(JsonNode block) throws CorruptBlockException {
    try {
      byte[] compressed = Base64.getDecoder().decode(block.path("xz").asText());
      byte[] bytes;
      try (XZInputStream xz =
          new XZInputStream(new ByteArrayInputStream(compressed), MAX_MEMORY_KIB)) {
        bytes = xz.readNBytes(MAX_DECODED_BYTES);
        if (xz.read() >= 0) {
          throw new CorruptBlockException(
              "the decompressed block exceeds " + MAX_DECODED_BYTES + " bytes");
        }
      }
      JsonNode runs = Cbor.parse(bytes).get("runs");
      if (!(runs instanceof ArrayNode runList) || runList.size() != block.path("count").asInt(-1)) {
        throw new CorruptBlockException(
            "the block's runs are missing or their number differs from the stored count "
                + block.path("count").asInt(-1));
      }
      return runList;
    } catch (IOException | IllegalArgumentException | Cbor.MalformedMessageException exception) {
      throw new CorruptBlockException(
          "the block cannot be decompressed and parsed: " + exception.getMessage());
    }
  }
}
