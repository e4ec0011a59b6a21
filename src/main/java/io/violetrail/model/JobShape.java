package io.violetrail.model;

/** How the tasks of a job depend on each other and when they end. */
public enum JobShape {
  /** Independent tasks; each runs to completion. */
  ARRAY,
  /** All tasks run at the same time, or none of them runs (gang scheduling). */
  GANG,
  /** Tasks (replicas) run until the job is cancelled. */
  SERVICE
}
