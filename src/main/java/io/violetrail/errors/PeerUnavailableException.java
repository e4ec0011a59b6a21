package io.violetrail.errors;

import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;

/** No peer could answer: no query was sent, or none of the queried peers had an answer. */
public final class PeerUnavailableException extends RequestFailedException {
  private static final long serialVersionUID = 1L;

  /** Why no peer could answer. */
  public enum Reason {
    /** The settings do not name the peer. */
    NOT_CONFIGURED,
    /** No live peer is known as the owner of the entity. */
    NO_LIVE_OWNER,
    /** None of the live peers knows the job, or none replied. */
    NONE_KNOWS_JOB
  }

  private final Reason reason;

  private PeerUnavailableException(Reason reason, String message) {
    super(message);
    this.reason = reason;
  }

  /** Creates a failure for a peer that the settings do not name. */
  public static PeerUnavailableException notConfigured(ControllerId peer) {
    return new PeerUnavailableException(
        Reason.NOT_CONFIGURED, "the settings do not name a peer " + peer);
  }

  /** Creates a failure for an entity of which no live peer is known as the owner. */
  public static PeerUnavailableException noLiveOwner(ControllerId entity) {
    return new PeerUnavailableException(
        Reason.NO_LIVE_OWNER, "no live peer is known as the owner of entity " + entity);
  }

  /** Creates a failure for a job whose state none of the live peers has reported. */
  public static PeerUnavailableException jobUnknownToLivePeers(JobId jobId) {
    return new PeerUnavailableException(Reason.NONE_KNOWS_JOB, "no live peer knows job " + jobId);
  }

  public Reason reason() {
    return reason;
  }
}
