package io.violetrail.model;

/** How urgent a job is, the most urgent first; the ordinal travels between controllers. */
public enum Priority {
  /** Preempts everything else. */
  PRODUCTION,
  /** Preempts normal and low work. */
  HIGH,
  /** Preempts low work. */
  NORMAL,
  /** Preempts nothing. */
  LOW
}
