package io.violetrail.tools.scale;

import com.fasterxml.jackson.databind.JsonNode;
import io.violetrail.fakes.TrafficCounter;
import java.util.Map;
import java.util.TreeMap;

/** Computes rates per second from counts at two points in time. */
final class RateCalculations {
  private RateCalculations() {}

  /** Returns the messages, request bytes and reply bytes, in this order, by kind of message. */
  static Map<String, long[]> countsByKind(TrafficCounter traffic) {
    Map<String, long[]> countsByKind = new TreeMap<>();
    traffic
        .byKind()
        .forEach(
            (kind, count) ->
                countsByKind.put(
                    kind, new long[] {count.messages, count.requestBytes, count.replyBytes}));
    return countsByKind;
  }

  static Map<String, ScaleReport.MessageRates> messageRates(
      Map<String, long[]> before, Map<String, long[]> after, double seconds) {
    Map<String, ScaleReport.MessageRates> rates = new TreeMap<>();
    after.forEach(
        (kind, current) -> {
          long[] previous = before.getOrDefault(kind, new long[3]);
          rates.put(
              kind,
              new ScaleReport.MessageRates(
                  (current[0] - previous[0]) / seconds,
                  (current[1] - previous[1]) / seconds,
                  (current[2] - previous[2]) / seconds));
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
            entry ->
                rates.put(
                    entry.getKey(),
                    (entry.getValue().asDouble()
                            - before.path(field).path(entry.getKey()).asDouble())
                        / seconds));
    return rates;
  }
}
