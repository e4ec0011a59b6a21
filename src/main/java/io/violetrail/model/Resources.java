package io.violetrail.model;

/**
 * Amounts of resources, such as a task's demand or a machine's capacity.
 *
 * @param reportBytes room in the report of the machine's worker; see {@link ReportSize}
 */
public record Resources(double cpus, double gpus, double memoryGb, double reportBytes) {
  public static final Resources NONE = new Resources(0, 0, 0);

  private static final double ROUNDING_TOLERANCE = 1e-6;

  /** Creates amounts without room in reports. */
  public Resources(double cpus, double gpus, double memoryGb) {
    this(cpus, gpus, memoryGb, 0);
  }

  /** Returns the same amounts with the given room in reports. */
  public Resources withReportBytes(double newReportBytes) {
    return new Resources(cpus, gpus, memoryGb, newReportBytes);
  }

  /** Returns the sum of each amount. */
  public Resources plus(Resources other) {
    return new Resources(
        cpus + other.cpus,
        gpus + other.gpus,
        memoryGb + other.memoryGb,
        reportBytes + other.reportBytes);
  }

  /** Returns the difference, whose amounts may be negative. */
  public Resources minus(Resources other) {
    return new Resources(
        cpus - other.cpus,
        gpus - other.gpus,
        memoryGb - other.memoryGb,
        reportBytes - other.reportBytes);
  }

  public Resources times(double factor) {
    return new Resources(cpus * factor, gpus * factor, memoryGb * factor, reportBytes * factor);
  }

  /** Replaces negative amounts by 0. */
  public Resources clampToZero() {
    return new Resources(
        Math.max(0, cpus), Math.max(0, gpus), Math.max(0, memoryGb), Math.max(0, reportBytes));
  }

  /** Returns whether every amount fits into {@code available}, up to rounding errors. */
  public boolean fitsIn(Resources available) {
    return cpus <= available.cpus + ROUNDING_TOLERANCE
        && gpus <= available.gpus + ROUNDING_TOLERANCE
        && memoryGb <= available.memoryGb + ROUNDING_TOLERANCE
        && reportBytes <= available.reportBytes + ROUNDING_TOLERANCE;
  }

  /**
   * Returns how many tasks with these demands fit into this capacity; at most one million, which is
   * also the result for a task that demands nothing.
   */
  public int countFitting(Resources task) {
    double count = 1e6;
    count = Math.min(count, countFitting(cpus, task.cpus));
    count = Math.min(count, countFitting(gpus, task.gpus));
    count = Math.min(count, countFitting(memoryGb, task.memoryGb));
    count = Math.min(count, countFitting(reportBytes, task.reportBytes));
    return (int) Math.max(0, Math.floor(count));
  }

  private static double countFitting(double available, double demand) {
    return demand > 0 ? (available + ROUNDING_TOLERANCE) / demand : Double.POSITIVE_INFINITY;
  }
}
