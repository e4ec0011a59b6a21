package io.violetrail.tools.scale;

import com.fasterxml.jackson.databind.JsonNode;
import io.violetrail.fakes.TrafficCounter;
import java.util.Map;
import java.util.TreeMap;

/** Rates from counts at two moments. */
final class RateCalculations {
  private RateCalculations() {}

  /** Messages, request bytes and answer bytes by kind. */
  static Map<String, long[]> counts(TrafficCounter traffic) {
    Map<String, long[]> all = new TreeMap<>();
    traffic
        .byKind()
        .forEach((k, c) -> all.put(k, new long[] {c.messages, c.requestBytes, c.replyBytes}));
    return all;
  }

  static Map<String, ScaleReport.MessageRates> messageRates(
      Map<String, long[]> before, Map<String, long[]> after, double seconds) {
    Map<String, ScaleReport.MessageRates> rates = new TreeMap<>();
    after.forEach(
        (kind, now) -> {
          long[] then = before.getOrDefault(kind, new long[3]);
          rates.put(
              kind,
              new ScaleReport.MessageRates(
                  (now[0] - then[0]) / seconds,
                  (now[1] - then[1]) / seconds,
                  (now[2] - then[2]) / seconds));
        });
    return rates;
  }

  static Map<String, Double> fieldRates(
      JsonNode before, JsonNode after, String field, double seconds) {
    Map<String, Double> rates = new TreeMap<>();
    after
        .path(field)
        .properties()
        .forEach(
            e ->
                rates.put(
                    e.getKey(),
                    (e.getValue().asDouble() - before.path(field).path(e.getKey()).asDouble())
                        / seconds));
    return rates;
  }
}
