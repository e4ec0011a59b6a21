package io.violetrail.calendar;

import io.violetrail.calendar.ScheduleDefinition.InvalidDefinitionException;
import java.time.Instant;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The state that a trigger keeps of one schedule: its last known row, the row's definition, the
 * next due time and whether a write of the row is in flight. It is lost in a crash and is derived
 * from the row again.
 */
final class ScheduleState {
  private static final Logger LOG = LoggerFactory.getLogger(ScheduleState.class);
  private static final long NEVER = Long.MAX_VALUE;

  private ScheduleRow row;

  /** Null if the stored definition cannot be parsed. */
  private ScheduleDefinition definition;

  private long nextDueMillis = NEVER;
  private boolean writeInFlight;

  ScheduleState(ScheduleRow row) {
    this.row = row;
    this.definition = parseDefinition(row);
  }

  /** Replaces the row by a newer one; the caller then calls {@link #planNextDue}. */
  void replaceRow(ScheduleRow newRow) {
    boolean definitionUnchanged = row.definition().equals(newRow.definition());
    row = newRow;
    if (!definitionUnchanged) {
      definition = parseDefinition(newRow);
    }
  }

  private static ScheduleDefinition parseDefinition(ScheduleRow row) {
    try {
      return ScheduleDefinition.parse(row.definition());
    } catch (InvalidDefinitionException exception) {
      LOG.error(
          "schedule {}: the stored definition cannot be parsed, so the schedule is not fired: {}",
          row.name(),
          exception.getMessage());
      return null;
    }
  }

  /** Computes the next due time after the row's cursor; there is none while paused. */
  void planNextDue(DayCalendar dayCalendar) {
    nextDueMillis = NEVER;
    if (definition == null || row.isPaused()) {
      return;
    }
    Instant next = definition.findNextDue(Instant.ofEpochMilli(row.cursorMillis()), dayCalendar);
    if (next != null) {
      nextDueMillis = next.toEpochMilli();
    }
  }

  ScheduleRow row() {
    return row;
  }

  /** Returns the row's definition; null if it cannot be parsed. */
  ScheduleDefinition definition() {
    return definition;
  }

  boolean hasNextDue() {
    return definition != null && nextDueMillis < NEVER;
  }

  /** Returns the next due time, {@link Long#MAX_VALUE} if there is none. */
  long nextDueMillis() {
    return nextDueMillis;
  }

  boolean isWriteInFlight() {
    return writeInFlight;
  }

  void onWriteStarted() {
    writeInFlight = true;
  }

  void onWriteCompleted() {
    writeInFlight = false;
  }
}
