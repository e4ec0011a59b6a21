package io.violetrail.fleet;

import io.violetrail.ownership.StateSchema.MachineRow;

/**
 * One machine's stored record, and the conditions that keep the machine out of service: it is
 * booting, draining, being returned to the provider or being transferred to another entity. These
 * conditions overlap (a draining machine is returned next, and a machine may become quarantined
 * while its transfer is in flight), so each is a separate state with its own transitions. At most
 * one write of the record is in flight.
 *
 * <p>Used only by its {@link Machine}, on the event loop's thread. The record survives a crash; the
 * other state does not, and the next owner decides it anew.
 */
final class MachineLifecycle {
  private MachineRow row;
  private boolean draining;
  private boolean transferInFlight;
  private boolean rowWriteInFlight;
  private ReturnPhase returnPhase = ReturnPhase.NOT_RETURNING;

  private enum ReturnPhase {
    /** No return was requested, or the provider has certainly refused it. */
    NOT_RETURNING,
    /** A return is requested; a certain refusal puts the machine back into service. */
    REQUESTED,
    /** The outcome of a return request is unknown, so the machine may be terminated at any time. */
    UNCERTAIN
  }

  MachineLifecycle(MachineRow row) {
    this.row = row;
  }

  MachineRow row() {
    return row;
  }

  /** Returns whether the machine has booted and no condition keeps it out of service. */
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
   * Ends a return that the provider has refused, unless an earlier request may still be carried
   * out.
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

  void abortTransfer(MachineRow stored) {
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
