package io.violetrail.errors;

import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;

/** There is no peer that could answer: nothing was sent, or none that was asked has an answer. */
public final class PeerUnavailableException extends RequestFailedException {
  private static final long serialVersionUID = 1L;

  /** Why no peer can answer. */
  public enum Reason {
    /** The settings name no such peer. */
    NOT_CONFIGURED,
    /** No live peer is known as the owner of the entity. */
    NO_LIVE_OWNER,
    /** None of the live peers knows the job, or none answered. */
    NONE_KNOWS_JOB
  }

  private final Reason reason;

  private PeerUnavailableException(Reason reason, String message) {
    super(message);
    this.reason = reason;
  }

  /** The settings do not name this peer. */
  public static PeerUnavailableException notConfigured(ControllerId peer) {
    return new PeerUnavailableException(Reason.NOT_CONFIGURED, "no such peer as " + peer);
  }

  /** No live peer is known as the owner of this entity. */
  public static PeerUnavailableException noLiveOwner(ControllerId entity) {
    return new PeerUnavailableException(
        Reason.NO_LIVE_OWNER, "no live owner of entity " + entity + " to ask");
  }

  /** No live peer has answered with a state of this job. */
  public static PeerUnavailableException noneKnows(JobId jobId) {
    return new PeerUnavailableException(Reason.NONE_KNOWS_JOB, "no peer knows job " + jobId);
  }

  public Reason reason() {
    return reason;
  }
}
