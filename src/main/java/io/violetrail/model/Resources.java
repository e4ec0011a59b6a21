package io.violetrail.model;

/** Amounts of resources, such as a task's demand or a machine's capacity. */
public record Resources(double cpus, double gpus, double memoryGb) {
  public static final Resources NONE = new Resources(0, 0, 0);

  private static final double ROUNDING_TOLERANCE = 1e-6;

  public Resources plus(Resources other) {
    return new Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb);
  }

  /** Returns the difference, whose amounts may be negative. */
  public Resources minus(Resources other) {
    return new Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb);
  }

  public Resources times(double factor) {
    return new Resources(cpus * factor, gpus * factor, memoryGb * factor);
  }

  /** Replaces negative amounts by 0. */
  public Resources clampToZero() {
    return new Resources(Math.max(0, cpus), Math.max(0, gpus), Math.max(0, memoryGb));
  }

  /** Returns whether every amount fits into {@code available}, up to rounding errors. */
  public boolean fitsIn(Resources available) {
    return cpus <= available.cpus + ROUNDING_TOLERANCE
        && gpus <= available.gpus + ROUNDING_TOLERANCE
        && memoryGb <= available.memoryGb + ROUNDING_TOLERANCE;
  }

  /**
   * Returns how many tasks with these demands fit into this capacity; at most one million, which is
   * also the result for a task that demands nothing.
   */
  public int countFitting(Resources task) {
    double count = 1e6;
    count = task.cpus > 0 ? Math.min(count, (cpus + ROUNDING_TOLERANCE) / task.cpus) : count;
    count = task.gpus > 0 ? Math.min(count, (gpus + ROUNDING_TOLERANCE) / task.gpus) : count;
    count =
        task.memoryGb > 0
            ? Math.min(count, (memoryGb + ROUNDING_TOLERANCE) / task.memoryGb)
            : count;
    return (int) Math.max(0, Math.floor(count));
  }
}
