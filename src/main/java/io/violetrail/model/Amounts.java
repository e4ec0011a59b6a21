package io.violetrail.model;

/** What a task takes or a machine has. */
public record Amounts(double cpus, double gpus, double memoryGb) {
  public static final Amounts NONE = new Amounts(0, 0, 0);
  private static final double SLACK = 1e-6;

  public Amounts plus(Amounts o) {
    return new Amounts(cpus + o.cpus, gpus + o.gpus, memoryGb + o.memoryGb);
  }

  public Amounts minus(Amounts o) {
    return new Amounts(cpus - o.cpus, gpus - o.gpus, memoryGb - o.memoryGb);
  }

  public Amounts times(double n) {
    return new Amounts(cpus * n, gpus * n, memoryGb * n);
  }

  public Amounts notNegative() {
    return new Amounts(Math.max(0, cpus), Math.max(0, gpus), Math.max(0, memoryGb));
  }

  /** Returns whether every amount fits into {@code room}, up to rounding errors. */
  public boolean fitsIn(Amounts room) {
    return cpus <= room.cpus + SLACK
        && gpus <= room.gpus + SLACK
        && memoryGb <= room.memoryGb + SLACK;
  }

  /** How many of {@code task} this room holds. */
  public int count(Amounts task) {
    double n = 1e6;
    n = task.cpus > 0 ? Math.min(n, (cpus + SLACK) / task.cpus) : n;
    n = task.gpus > 0 ? Math.min(n, (gpus + SLACK) / task.gpus) : n;
    n = task.memoryGb > 0 ? Math.min(n, (memoryGb + SLACK) / task.memoryGb) : n;
    return (int) Math.max(0, Math.floor(n));
  }
}
