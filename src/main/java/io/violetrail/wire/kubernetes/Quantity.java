package io.violetrail.wire.kubernetes;

import java.math.BigDecimal;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses amounts and durations strictly; a text of any other form gives an empty result. */
public final class Quantity {
  private static final Pattern AMOUNT_PATTERN =
      Pattern.compile("([0-9]{1,18}(?:\\.[0-9]{1,9})?)(|m|k|M|G|T|Ki|Mi|Gi|Ti|[eE][0-9]{1,2})");
  private static final Map<String, BigDecimal> FACTOR_BY_SUFFIX =
      Map.of(
          "", BigDecimal.ONE,
          "m", new BigDecimal("0.001"),
          "k", new BigDecimal("1e3"),
          "M", new BigDecimal("1e6"),
          "G", new BigDecimal("1e9"),
          "T", new BigDecimal("1e12"),
          "Ki", new BigDecimal(1L << 10),
          "Mi", new BigDecimal(1L << 20),
          "Gi", new BigDecimal(1L << 30),
          "Ti", new BigDecimal(1L << 40));

  private static final Pattern DURATION_PATTERN =
      Pattern.compile("([0-9]{1,9}(?:\\.[0-9]{1,3})?)(s|m|h)");
  private static final Map<String, Double> SECONDS_BY_UNIT =
      Map.of("s", 1.0, "m", 60.0, "h", 3600.0);

  private Quantity() {}

  /** Parses a quantity such as {@code 500m}, {@code 2} or {@code 1.5Gi} into base units. */
  public static Optional<BigDecimal> parseAmount(String text) {
    Matcher matcher = AMOUNT_PATTERN.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    String suffix = matcher.group(2);
    BigDecimal number = new BigDecimal(matcher.group(1));
    if (suffix.startsWith("e") || suffix.startsWith("E")) {
      return Optional.of(number.scaleByPowerOfTen(Integer.parseInt(suffix.substring(1))));
    }
    return Optional.of(number.multiply(FACTOR_BY_SUFFIX.get(suffix)));
  }

  /** Parses a duration such as {@code 90s}, {@code 1.5m} or {@code 2h} into seconds. */
  public static Optional<Double> parseDurationSeconds(String text) {
    Matcher matcher = DURATION_PATTERN.matcher(text);
    return matcher.matches()
        ? Optional.of(Double.parseDouble(matcher.group(1)) * SECONDS_BY_UNIT.get(matcher.group(2)))
        : Optional.empty();
  }
}
