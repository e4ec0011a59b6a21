package io.violetrail.calendar;

import io.violetrail.calendar.ScheduleDefinition.InvalidDefinitionException;
import java.time.Instant;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a trigger knows of one schedule: its last known row, the row's definition, the next due time
 * and whether a write of the row is in progress. All of it is derived from the row and is gone
 * after a crash.
 */
final class ScheduleState {
  private static final Logger LOG = LoggerFactory.getLogger(ScheduleState.class);
  private static final long NEVER = Long.MAX_VALUE;

  private ScheduleRow row;

  /** Null if the stored definition cannot be read. */
  private ScheduleDefinition definition;

  private long nextDueMillis = NEVER;
  private boolean writeInFlight;

  ScheduleState(ScheduleRow row) {
    this.row = row;
    this.definition = parseDefinition(row);
  }

  /** Takes a newer row over; the next due time is to be planned then. */
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
      LOG.error("schedule {} cannot be read: {}", row.name(), exception.getMessage());
      return null;
    }
  }

  /** Computes the next due time after the row's cursor. */
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

  /** The row's definition; null if it cannot be read. */
  ScheduleDefinition definition() {
    return definition;
  }

  boolean hasNextDue() {
    return definition != null && nextDueMillis < NEVER;
  }

  /** The next due time, far in the future if there is none. */
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
