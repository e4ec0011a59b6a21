package io.violetrail.fleet;

import io.violetrail.ownership.StateSchema.MachineRow;

/**
 * One machine's stored record, and what keeps it out of service: that it boots, drains, is being
 * returned to the provider or transferred to another entity. These overlap (a machine that drains
 * is returned next, and one may become quarantined while its transfer is in flight), so they are
 * separate states with transitions of their own. At most one write of the record is in flight.
 *
 * <p>Used by its {@link Machine} alone, on the event loop's thread. The record survives a crash;
 * the rest does not, and the next owner decides it anew.
 */
final class MachineLifecycle {
  private MachineRow row;
  private boolean draining;
  private boolean transferInFlight;
  private boolean rowWriteInFlight;
  private ReturnPhase returnPhase = ReturnPhase.NOT_RETURNING;

  private enum ReturnPhase {
    /** The provider has not been asked, or has certainly refused. */
    NOT_RETURNING,
    /** The provider is being asked; a certain refusal brings the machine back into service. */
    REQUESTED,
    /** A request's outcome is unknown, so the machine may vanish at any time from now on. */
    UNCERTAIN
  }

  MachineLifecycle(MachineRow row) {
    this.row = row;
  }

  MachineRow row() {
    return row;
  }

  /** Whether the machine has booted, and nothing takes it out of service. */
  boolean isInService() {
    return row.hasReported() && !draining && !isReturning() && !transferInFlight;
  }

  boolean isDraining() {
    return draining;
  }

  void startDraining() {
    draining = true;
  }

  void stopDraining() {
    draining = false;
  }

  boolean isReturning() {
    return returnPhase != ReturnPhase.NOT_RETURNING;
  }

  void startReturn() {
    if (returnPhase == ReturnPhase.NOT_RETURNING) {
      returnPhase = ReturnPhase.REQUESTED;
    }
  }

  /**
   * Ends a return that the provider refused, unless an earlier request may still be carried out.
   */
  void cancelReturn() {
    if (returnPhase == ReturnPhase.REQUESTED) {
      returnPhase = ReturnPhase.NOT_RETURNING;
    }
  }

  void markReturnUncertain() {
    returnPhase = ReturnPhase.UNCERTAIN;
  }

  boolean isTransferInFlight() {
    return transferInFlight;
  }

  void startTransfer() {
    transferInFlight = true;
  }

  void transferFailed(MachineRow stored) {
    row = stored;
    transferInFlight = false;
  }

  boolean isRowWriteInFlight() {
    return rowWriteInFlight;
  }

  void startRowWrite() {
    rowWriteInFlight = true;
  }

  void endRowWrite() {
    rowWriteInFlight = false;
  }

  void replaceRow(MachineRow stored) {
    row = stored;
  }
}
