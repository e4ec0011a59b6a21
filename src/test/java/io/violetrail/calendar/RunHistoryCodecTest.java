package io.violetrail.calendar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.wire.Cbor;
import org.junit.jupiter.api.Test;

/** Tests that a block of ended runs is decoded completely or rejected. */
class RunHistoryCodecTest {
  @Test
  void corruptHistoryBlockIsDetected() throws Exception {
    ArrayNode runs = Cbor.newList();
    for (int i = 0; i < 16; i++) {
      runs.addObject().put("due", 1_800_000_000_000L + i).put("how", "DONE");
    }
    ObjectNode block = RunHistoryCodec.encode(runs);
    assertEquals(runs.toString(), RunHistoryCodec.decode(block).toString());
    String text = block.get("xz").asText();
    for (int cut = 0; cut < text.length(); cut += 4) {
      ObjectNode truncated = block.deepCopy().put("xz", text.substring(0, cut));
      assertThrows(
          RunHistoryCodec.CorruptBlockException.class, () -> RunHistoryCodec.decode(truncated));
      char replacement = text.charAt(cut) == 'A' ? 'B' : 'A';
      ObjectNode altered =
          block
              .deepCopy()
              .put("xz", text.substring(0, cut) + replacement + text.substring(cut + 1));
      assertThrows(
          RunHistoryCodec.CorruptBlockException.class, () -> RunHistoryCodec.decode(altered));
    }
    assertThrows(
        RunHistoryCodec.CorruptBlockException.class, () -> RunHistoryCodec.decode(Cbor.newMap()));
  }
}
