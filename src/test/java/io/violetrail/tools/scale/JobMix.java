package io.violetrail.tools.scale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.wire.Cbor;
import java.util.Random;

/**
 * Draws the jobs of a load: urgent gangs in one zone, jobs with accelerators, and wide job arrays
 * of small tasks, whose width brings the mean to the load's tasks per job.
 */
final class JobMix {
  /** The job class that has the service-level objective for its start. */
  static final String URGENT_CLASS = "urgent";

  private static final double URGENT_SHARE = 0.2;
  private static final double ACCELERATED_SHARE = 0.1;
  private static final int ACCELERATED_TASKS = 8;
  private static final double SMALL_TASK_CPUS = 1;
  private static final double SMALL_TASK_MEMORY_GB = 1.5;

  private final LoadShape shape;
  private final Random random;
  private int jobCount;

  JobMix(LoadShape shape, Random random) {
    this.shape = shape;
    this.random = random;
  }

  ObjectNode nextJob() {
    double kind = random.nextDouble();
    if (kind < URGENT_SHARE) {
      return newJob(URGENT_CLASS, "ensemble", "high", drawGangTaskCount(), 0).put("one_zone", true);
    }
    if (kind < URGENT_SHARE + ACCELERATED_SHARE) {
      return newJob("accelerated", "batch", "normal", ACCELERATED_TASKS, 1);
    }
    return newJob("array", "batch", "normal", drawArrayTaskCount(), 0);
  }

  /** Half of the gangs have two tasks, a quarter have four, and so on up to the widest. */
  private int drawGangTaskCount() {
    int tasks = 2;
    while (tasks * 2 <= shape.gangWidth() && random.nextBoolean()) {
      tasks *= 2;
    }
    return Math.min(tasks, shape.gangWidth());
  }

  private double meanGangTaskCount() {
    double mean = 0;
    double remainingShare = 1;
    int tasks = 2;
    while (tasks * 2 <= shape.gangWidth()) {
      remainingShare /= 2;
      mean += remainingShare * tasks;
      tasks *= 2;
    }
    return mean + remainingShare * Math.min(tasks, shape.gangWidth());
  }

  private int drawArrayTaskCount() {
    double meanOtherTasks =
        URGENT_SHARE * meanGangTaskCount() + ACCELERATED_SHARE * ACCELERATED_TASKS;
    double mean = (shape.tasksPerJob() - meanOtherTasks) / (1 - URGENT_SHARE - ACCELERATED_SHARE);
    // Uniform between 0.5 and 1.5 times the mean.
    return (int) Math.max(1, Math.round(mean * (0.5 + random.nextDouble())));
  }

  private ObjectNode newJob(String jobClass, String kind, String priority, int tasks, double gpus) {
    int number = jobCount++;
    return Cbor.newMap()
        .put("name_id", "job-%06d".formatted(number))
        .put("jobclass", jobClass)
        .put("crew", teamName(random.nextInt(shape.teams())))
        .put("shape", kind)
        .put("urgency", priority)
        .put("pieces", tasks)
        .put("cores", SMALL_TASK_CPUS)
        .put("gpus", gpus)
        .put("mem_gb", SMALL_TASK_MEMORY_GB)
        .put("bundle", "image-" + number % 16)
        .put("pull_gb", 0.5)
        .put("one_zone", false)
        .put("apart", false)
        .put("loaners", false)
        .put("guess_s", shape.taskDurationSeconds())
        .put("snapshot_s", 0.0)
        .put("flush_s", 0.0);
  }

  static String teamName(int number) {
    return "team-%03d".formatted(number);
  }
}
