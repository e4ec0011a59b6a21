package io.violetrail.tools.scale;

import java.util.Locale;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/**
 * Something that fails during a scale run.
 *
 * @param atSeconds after the beginning of the measured time
 * @param durationSeconds how long a cut lasts
 */
record InjectedFault(Kind kind, double atSeconds, double durationSeconds) {
  private static final double DEFAULT_PARTITION_SECONDS = 20;

  enum Kind {
    /** A controller's process ends and is started again. */
    CONTROLLER,
    /** All workers of a rack are gone at once. */
    RACK,
    /** Nothing leaves or enters a zone. */
    ZONE,
    /** Two regions lose each other. */
    REGIONS
  }

  /** Reads {@code kind@second} or {@code kind@second:for}. */
  static final class Converter implements ITypeConverter<InjectedFault> {
    @Override
    public InjectedFault convert(String text) {
      try {
        String[] kindAndTime = text.split("@", 2);
        String[] times = kindAndTime[1].split(":", 2);
        return new InjectedFault(
            Kind.valueOf(kindAndTime[0].toUpperCase(Locale.ROOT)),
            Double.parseDouble(times[0]),
            times.length > 1 ? Double.parseDouble(times[1]) : DEFAULT_PARTITION_SECONDS);
      } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException exception) {
        throw new TypeConversionException(
            "'" + text + "' is not a fault such as controller@20 or zone@30:15");
      }
    }
  }
}
