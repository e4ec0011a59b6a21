package io.violetrail.scale;

import java.util.Locale;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/**
 * Something that fails during a scale run.
 *
 * @param atS after the beginning of the measured time
 * @param forS how long a cut lasts
 */
record Fault(Kind kind, double atS, double forS) {
  private static final double DEFAULT_CUT_S = 20;

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
  static final class Converter implements ITypeConverter<Fault> {
    @Override
    public Fault convert(String text) {
      try {
        String[] kindAndTime = text.split("@", 2);
        String[] times = kindAndTime[1].split(":", 2);
        return new Fault(
            Kind.valueOf(kindAndTime[0].toUpperCase(Locale.ROOT)),
            Double.parseDouble(times[0]),
            times.length > 1 ? Double.parseDouble(times[1]) : DEFAULT_CUT_S);
      } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
        throw new TypeConversionException(
            "'" + text + "' is not a fault such as controller@20 or zone@30:15");
      }
    }
  }
}
