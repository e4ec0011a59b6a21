package io.violetrail.fleet;

import io.violetrail.ownership.OwnedEntity;

/**
 * One scale-out request of an owned entity. Its name is never used again, so the provider can
 * recognize a repeated request by it. The request's stored row survives a crash and is kept until
 * the machines are recorded; after a crash, the entity's next owner repeats the request. Used only
 * by {@link ScaleOutRequests}, on the event loop's thread.
 */
final class ScaleOutRequest {
  private final OwnedEntity entity;
  private final String name;
  private final MachineOffering offering;
  private final int count;
  private Phase phase;

  private enum Phase {
    /** The row is being written; the request must not be sent before it is stored. */
    STORING,
    /**
     * The row is stored and there is no conclusive answer: the request must be sent or repeated.
     */
    UNANSWERED,
    /** A call to the provider is in flight. */
    CALLING,
    /** The provider has answered; the machines' records are being written. */
    RECORDING,
    /** The machines' records are written; the request's row is being removed. */
    RECORDED
  }

  private ScaleOutRequest(
      OwnedEntity entity, String name, MachineOffering offering, int count, Phase phase) {
    this.entity = entity;
    this.name = name;
    this.offering = offering;
    this.count = count;
    this.phase = phase;
  }

  /** Creates a new request, whose row is being written. */
  static ScaleOutRequest storing(
      OwnedEntity entity, String name, MachineOffering offering, int count) {
    return new ScaleOutRequest(entity, name, offering, count, Phase.STORING);
  }

  /** Creates a request whose row a former owner of the entity has stored. */
  static ScaleOutRequest stored(
      OwnedEntity entity, String name, MachineOffering offering, int count) {
    return new ScaleOutRequest(entity, name, offering, count, Phase.UNANSWERED);
  }

  OwnedEntity entity() {
    return entity;
  }

  String name() {
    return name;
  }

  MachineOffering offering() {
    return offering;
  }

  int count() {
    return count;
  }

  /** Returns whether the request may be sent: no write or call for it is in flight. */
  boolean maySend() {
    return phase == Phase.UNANSWERED;
  }

  /** Returns whether its machines are recorded, so that they must not be counted as pending. */
  boolean isRecorded() {
    return phase == Phase.RECORDED;
  }

  void markStored() {
    advance(Phase.STORING, Phase.UNANSWERED);
  }

  void startCall() {
    advance(Phase.UNANSWERED, Phase.CALLING);
  }

  /** Records that the call failed or its answer was inconclusive: the request is to be repeated. */
  void markUncertain() {
    advance(Phase.CALLING, Phase.UNANSWERED);
  }

  void startRecording() {
    advance(Phase.CALLING, Phase.RECORDING);
  }

  void markRecorded() {
    advance(Phase.RECORDING, Phase.RECORDED);
  }

  private void advance(Phase expected, Phase next) {
    if (phase != expected) {
      throw new IllegalStateException(
          "scale-out request " + name + " is in phase " + phase + ", expected " + expected);
    }
    phase = next;
  }
}
