package io.violetrail.model;

/** How a job's tasks belong together. */
public enum JobShape {
  /** Independent tasks; each runs to completion. */
  ARRAY,
  /** All tasks run at the same time, or none does (gang scheduling). */
  GANG,
  /** Tasks (replicas) run until the job is cancelled. */
  SERVICE
}
