package io.violetrail.model;

/** How a job's tasks belong together. */
public enum JobShape {
  ARRAY,
  GANG,
  SERVICE
}
