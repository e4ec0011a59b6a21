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

/** What is absent, empty or 0 in the workers' messages is never taken for something else. */
class HeartbeatMessagesTest {
  private static ObjectNode report() {
    ObjectNode message =
        Cbor.newMap().put("host", "vm-1").put("hosttype", "plain").put("yard", "a");
    return message.put("loaners", false).put("tenure", 1).put("tick", 1).put("baton", 10);
  }

  @Test
  void reportWithoutTokenReadsAsNoToken() throws MalformedMessageException {
    assertEquals(10, HeartbeatMessages.parseReport(report()).fencingToken().value());
    ObjectNode without = report();
    without.remove("baton");
    assertEquals(Version.NONE, HeartbeatMessages.parseReport(without).fencingToken());
  }

  @Test
  void sessionZeroIsRejected() {
    assertThrows(
        MalformedMessageException.class,
        () -> HeartbeatMessages.parseReport(report().put("tenure", 0)),
        "tenure");
  }

  @ParameterizedTest
  @ValueSource(strings = {"host", "hosttype", "yard"})
  void emptyNamesAreRejected(String field) {
    assertThrows(
        MalformedMessageException.class,
        () -> HeartbeatMessages.parseReport(report().put(field, "")));
  }

  @Test
  void stayReplyCarriesTokenBelowEveryIssuedOne() {
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
