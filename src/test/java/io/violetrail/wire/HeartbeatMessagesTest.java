package io.violetrail.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.model.Version;
import io.violetrail.wire.Cbor.MalformedMessageException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Absent, empty and zero fields of worker messages are not mistaken for valid values. */
class HeartbeatMessagesTest {
  private static ObjectNode reportMessage() {
    ObjectNode message =
        Cbor.newMap().put("host", "vm-1").put("hosttype", "plain").put("yard", "a");
    return message.put("loaners", false).put("tenure", 1).put("tick", 1).put("baton", 10);
  }

  @Test
  void reportWithoutTokenReadsAsNoToken() throws MalformedMessageException {
    assertEquals(10, HeartbeatMessages.parseReport(reportMessage()).fencingToken().value());
    ObjectNode reportWithoutToken = reportMessage();
    reportWithoutToken.remove("baton");
    assertEquals(Version.NONE, HeartbeatMessages.parseReport(reportWithoutToken).fencingToken());
  }

  @Test
  void sessionZeroIsRejected() {
    assertThrows(
        MalformedMessageException.class,
        () -> HeartbeatMessages.parseReport(reportMessage().put("tenure", 0)),
        "tenure");
  }

  @ParameterizedTest
  @ValueSource(strings = {"host", "hosttype", "yard"})
  void emptyNamesAreRejected(String field) {
    assertThrows(
        MalformedMessageException.class,
        () -> HeartbeatMessages.parseReport(reportMessage().put(field, "")));
  }

  @Test
  void nonRenewingReplyCarriesTokenBelowEveryIssuedOne() {
    long token = HeartbeatMessages.nonRenewingReply().get("baton").asLong(-1);
    assertEquals(Version.NONE.value(), token);
    assertTrue(token < Version.firstOwnedBy(0).value());
  }

  @Test
  void commandsRequireToken() {
    Version first = Version.firstOwnedBy(0);
    assertEquals(
        first.value(), HeartbeatMessages.commandReply(first, List.of()).get("baton").asLong());
    assertThrows(
        IllegalArgumentException.class,
        () -> HeartbeatMessages.commandReply(Version.NONE, List.of()));
  }
}
