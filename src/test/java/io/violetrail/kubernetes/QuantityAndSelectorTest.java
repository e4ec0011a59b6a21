package io.violetrail.kubernetes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubernetesJson;
import io.violetrail.wire.kubernetes.LabelSelector;
import io.violetrail.wire.kubernetes.Quantity;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Quantities, durations and label selectors are parsed strictly. */
class QuantityAndSelectorTest {
  @Test
  void quantitiesAndDurationsAreParsedStrictly() {
    assertEquals("0.500", Quantity.parseAmount("500m").orElseThrow().toPlainString());
    assertEquals(0, Quantity.parseAmount("1.5Gi").orElseThrow().intValueExact() - 1610612736);
    assertEquals("2000", Quantity.parseAmount("2e3").orElseThrow().toPlainString());
    assertEquals(5400.0, Quantity.parseDurationSeconds("1.5h").orElseThrow());
    for (String malformed :
        List.of("", " 1", "1 ", "-1", "+1", "1.", ".5", "1Kb", "0x10", "1,5", "١")) {
      assertTrue(Quantity.parseAmount(malformed).isEmpty(), malformed);
      assertTrue(
          Quantity.parseDurationSeconds(malformed + "s").isEmpty() || malformed.isEmpty(),
          malformed);
    }
    assertTrue(
        Quantity.parseDurationSeconds("90").isEmpty(), "a duration without a unit is refused");
  }

  @Test
  void labelSelectorsAreParsedStrictly() throws Exception {
    ObjectNode labels = Cbor.newMap().put("app", "scan").put("tier", "a");
    for (String matching :
        List.of("", "app=scan", "app==scan,tier in (a, b)", "x!=y", "tier,!x", "x notin (a)")) {
      assertTrue(LabelSelector.parse(matching).matches(labels), matching);
    }
    for (String nonMatching :
        List.of("app=", "app!=scan", "!tier", "tier notin (a,b)", "x in (a)")) {
      assertTrue(!LabelSelector.parse(nonMatching).matches(labels), nonMatching);
    }
    for (String malformed :
        List.of("=", "a=b,", "a in b", "a in (b", "a=b c", "-a", "a=b;c=d", "a=b,,c")) {
      assertThrows(
          KubernetesJson.MalformedRequestException.class,
          () -> LabelSelector.parse(malformed),
          malformed);
    }
  }
}
