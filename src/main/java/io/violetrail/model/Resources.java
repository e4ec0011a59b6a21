package io.violetrail.model;

/** What a task takes or a machine has. */
public record Resources(double cpus, double gpus, double memoryGb) {
  /** Nothing of anything. */
  public static final Resources NONE = new Resources(0, 0, 0);

  private static final double SLACK = 1e-6;

  /** The sum. */
  public Resources plus(Resources other) {
    return new Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb);
  }

  /** The difference, which may be negative. */
  public Resources minus(Resources other) {
    return new Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb);
  }

  /** Each amount times the factor. */
  public Resources times(double factor) {
    return new Resources(cpus * factor, gpus * factor, memoryGb * factor);
  }

  /** The same with 0 in place of negative amounts. */
  public Resources clampToZero() {
    return new Resources(Math.max(0, cpus), Math.max(0, gpus), Math.max(0, memoryGb));
  }

  /** Returns whether every amount fits into {@code available}, up to rounding errors. */
  public boolean fitsIn(Resources available) {
    return cpus <= available.cpus + SLACK
        && gpus <= available.gpus + SLACK
        && memoryGb <= available.memoryGb + SLACK;
  }

  /** How many of {@code task} this room holds. */
  public int countFitting(Resources task) {
    double count = 1e6;
    count = task.cpus > 0 ? Math.min(count, (cpus + SLACK) / task.cpus) : count;
    count = task.gpus > 0 ? Math.min(count, (gpus + SLACK) / task.gpus) : count;
    count = task.memoryGb > 0 ? Math.min(count, (memoryGb + SLACK) / task.memoryGb) : count;
    return (int) Math.max(0, Math.floor(count));
  }
}
