package io.violetrail.model;

/**
 * How urgent a job is, the most urgent first. The order of the constants must not change, because
 * controllers send each other the ordinals.
 */
public enum Priority {
  /** Preempts tasks of all lower priorities. */
  PRODUCTION,
  /** Preempts tasks of normal and low priority. */
  HIGH,
  /** Preempts tasks of low priority. */
  NORMAL,
  /** Preempts nothing. */
  LOW
}
