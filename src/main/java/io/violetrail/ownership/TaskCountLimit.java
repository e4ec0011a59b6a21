package io.violetrail.ownership;

import io.violetrail.scheduling.Job;

/**
 * Limits how many tasks of an entity are placed at a time, whatever their size. Each placed task
 * costs its owner memory, and time with each heartbeat that reports it. Without a limit, wide jobs
 * of very small tasks exhaust both, and the owner no longer answers anybody.
 *
 * <p>The limit is shared so that no job can use up what others need:
 *
 * <ul>
 *   <li>Every job may have {@link #UNCONDITIONAL_TASKS} placed tasks.
 *   <li>An array may have more as long as they are at most a fixed fraction of what is left. Its
 *       tasks end, so the others wait for their turn.
 *   <li>A gang starts as a whole, and the replicas of a service do not end. They may use all that
 *       is left.
 * </ul>
 *
 * <p>Tasks that workers report are always recorded, so an entity may exceed the limit after a
 * failover; then it starts no more until enough have ended. Stateless.
 */
public final class TaskCountLimit {
  /** The most tasks that an entity places, apart from {@link #UNCONDITIONAL_TASKS} of each job. */
  public static final int MAX_PLACED_TASKS = 20_000;

  /** The number of tasks that each job may have placed, however many others are. */
  static final int UNCONDITIONAL_TASKS = 64;

  /** An array's placed tasks are at most the unused part of the limit divided by this. */
  private static final int ARRAY_SHARE_DIVISOR = 3;

  private TaskCountLimit() {}

  /**
   * Returns how many more tasks of the job may be placed. For a gang the result is 0 unless all of
   * its tasks may be.
   *
   * @param placedCount the number of the entity's placed tasks, those of the job included
   */
  static int additionalTasks(Job job, int placedCount) {
    int unusedCount = Math.max(0, MAX_PLACED_TASKS - placedCount);
    int unconditionalCount = Math.max(0, UNCONDITIONAL_TASKS - job.placedCount());
    return switch (job.spec().shape()) {
      case ARRAY -> Math.max(unconditionalCount, arrayTasks(job.placedCount(), unusedCount));
      case SERVICE -> Math.max(unconditionalCount, unusedCount);
      case GANG -> {
        int additionalCount = Math.max(unconditionalCount, unusedCount);
        yield additionalCount >= job.spec().taskCount() ? additionalCount : 0;
      }
    };
  }

  /**
   * Returns the largest number by which an array's placed tasks may grow so that they are still at
   * most the fraction of what is then unused.
   */
  private static int arrayTasks(int placedOfArray, int unusedCount) {
    return (unusedCount - ARRAY_SHARE_DIVISOR * placedOfArray) / (ARRAY_SHARE_DIVISOR + 1);
  }
}
