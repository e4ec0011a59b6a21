package io.violetrail.model;

/** Most urgent first. */
public enum Priority {
  PRODUCTION,
  HIGH,
  NORMAL,
  LOW
}
