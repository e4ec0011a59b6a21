package io.violetrail.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.model.Version;
import io.violetrail.wire.Cbor.Malformed;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What is absent, empty or 0 in the workers' messages is never taken for something else. */
class HeartbeatMessagesTest {
  private static ObjectNode report() {
    ObjectNode m = Cbor.map().put("host", "vm-1").put("hosttype", "plain").put("yard", "a");
    return m.put("loaners", false).put("tenure", 1).put("tick", 1).put("baton", 10);
  }

  @Test
  void aReportWithoutTokenIsOfAWorkerThatHasSeenNone() throws Malformed {
    assertEquals(10, HeartbeatMessages.report(report()).token().value());
    ObjectNode without = report();
    without.remove("baton");
    assertEquals(Version.NONE, HeartbeatMessages.report(without).token());
  }

  @Test
  void sessionsStartAtOne() {
    assertThrows(
        Malformed.class, () -> HeartbeatMessages.report(report().put("tenure", 0)), "tenure");
  }

  @ParameterizedTest
  @ValueSource(strings = {"host", "hosttype", "yard"})
  void anEmptyNameIsNoName(String field) {
    assertThrows(Malformed.class, () -> HeartbeatMessages.report(report().put(field, "")));
  }

  @Test
  void anAnswerThatRenewsNothingHasATokenBelowAnyThatIsGivenOut() {
    long token = HeartbeatMessages.stay().get("baton").asLong(-1);
    assertEquals(Version.NONE.value(), token);
    assertTrue(token < Version.first(0).value());
  }

  @Test
  void commandsNeedAToken() {
    Version first = Version.first(0);
    assertEquals(first.value(), HeartbeatMessages.reply(first, List.of()).get("baton").asLong());
    assertThrows(
        IllegalArgumentException.class, () -> HeartbeatMessages.reply(Version.NONE, List.of()));
  }
}
