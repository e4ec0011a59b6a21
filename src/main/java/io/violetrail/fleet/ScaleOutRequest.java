package io.violetrail.fleet;

import io.violetrail.ownership.OwnedEntity;

/**
 * One scale-out request of an owned entity, under a name that is unique for ever and that the
 * provider uses to tell a repetition from a new request. Its stored row survives a crash until its
 * machines are recorded: whoever owns the entity then repeats the request. Used by {@link
 * ScaleOutRequests} alone, on the event loop's thread.
 */
final class ScaleOutRequest {
  private final OwnedEntity entity;
  private final String name;
  private final MachineOffering offering;
  private final int count;
  private Phase phase;

  private enum Phase {
    /** Its row is being written; the provider must not hear of it before. */
    STORING,
    /** Stored and without a certain answer: to be sent, or sent again. */
    UNANSWERED,
    /** A call to the provider is in flight. */
    CALLING,
    /** The provider has answered, and the machines' records are being written. */
    RECORDING,
    /** Its machines are known one by one; its row is being removed. */
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

  /** A new request, whose row is being written. */
  static ScaleOutRequest storing(
      OwnedEntity entity, String name, MachineOffering offering, int count) {
    return new ScaleOutRequest(entity, name, offering, count, Phase.STORING);
  }

  /** A request that a former owner of the entity has stored. */
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

  /** Whether the provider may be called, as no write or call for the request is in flight. */
  boolean maySend() {
    return phase == Phase.UNANSWERED;
  }

  /** Whether its machines are recorded, so that they must not be counted here once more. */
  boolean isRecorded() {
    return phase == Phase.RECORDED;
  }

  void markStored() {
    advance(Phase.STORING, Phase.UNANSWERED);
  }

  void startCall() {
    advance(Phase.UNANSWERED, Phase.CALLING);
  }

  /** The call has failed, or its answer says nothing certain: it is to be repeated. */
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
      throw new IllegalStateException("request " + name + " is " + phase + ", not " + expected);
    }
    phase = next;
  }
}
