package io.violetrail.tools.scale;

import java.util.Locale;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/**
 * A fault that is injected during a scale run.
 *
 * @param atSeconds seconds from the start of the measured time to the injection
 * @param durationSeconds duration of a network partition; unused for other kinds
 */
record InjectedFault(Kind kind, double atSeconds, double durationSeconds) {
  private static final double DEFAULT_PARTITION_SECONDS = 20;

  enum Kind {
    /** Kills a controller's process and restarts it. */
    CONTROLLER,
    /** Destroys all workers of a rack at once. */
    RACK,
    /** Partitions a zone from all other zones. */
    ZONE,
    /** Partitions two regions from each other. */
    REGIONS
  }

  /** Parses {@code kind@second} or {@code kind@second:for}, with durations in seconds. */
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
            "'"
                + text
                + "' is not a fault; expected KIND@SECOND or KIND@SECOND:FOR, such as controller@20"
                + " or zone@30:15");
      }
    }
  }
}
