package io.violetrail.peer;

import io.violetrail.configuration.ConfigurationState;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobView;
import java.util.ArrayList;
import java.util.List;

/**
 * The messages between controllers. The names of their components and the order of the constants
 * are part of the form on the wire, see {@link PeerCodec}.
 */
public final class PeerMessages {
  private PeerMessages() {}

  /** What is asked. */
  public enum PeerRequestKind {
    /** The states of jobs, their ids in the subject. */
    VIEW,
    /** To cancel the job in the subject. */
    CANCEL,
    /** To hand the entity in the subject back to its home controller, which asks. */
    HAND_BACK,
    /** Tells that the sender owns the entity in the subject under the version in the number. */
    MOVED,
    /** For machines or parts of limits for the entity in the subject. */
    RESOURCES,
    /** Tells that the cloud has none of a type, zone and kind for now. */
    SOLD_OUT,
    /** Whether workers are heard there. */
    HEARS,
    /** Which revision of the configuration the controller goes by. */
    CONFIGURATION,
    /** A part of the peer's budget for changes. */
    BUDGET
  }

  /** A request about a job or an entity. */
  public record PeerRequest(
      PeerRequestKind kind,
      String from,
      String subject,
      long number,
      ArrayList<ResourceRequest> requests) {
    PeerRequest(PeerRequestKind kind, String from, String subject, long number) {
      this(kind, from, subject, number, new ArrayList<>());
    }
  }

  /** A reply: whether it is known, and the states of the jobs asked for that are. */
  public record PeerResponse(
      boolean known,
      ArrayList<JobViewMessage> views,
      ArrayList<ConfigurationState> configuration,
      long number) {
    static final PeerResponse UNKNOWN = new PeerResponse(false, new ArrayList<>());
    static final PeerResponse YES = new PeerResponse(true, new ArrayList<>());

    PeerResponse(boolean known, ArrayList<JobViewMessage> views) {
      this(known, views, new ArrayList<>(), 0);
    }

    static PeerResponse of(JobView view) {
      return new PeerResponse(true, new ArrayList<>(List.of(JobViewMessage.of(view))));
    }

    static PeerResponse of(long number) {
      return new PeerResponse(true, new ArrayList<>(), new ArrayList<>(), number);
    }

    static PeerResponse of(ConfigurationState state) {
      return new PeerResponse(true, new ArrayList<>(), new ArrayList<>(List.of(state)), 0);
    }
  }

  /** A job's state, and the entity that it is bound to (empty if that was not asked for). */
  public record JobViewMessage(String id, String status, int done, int running, String entity) {
    static JobViewMessage of(JobView view) {
      return of(view, null);
    }

    static JobViewMessage of(JobView view, ControllerId entity) {
      String bound = entity == null ? "" : entity.value();
      return new JobViewMessage(
          view.id(), view.status().name(), view.doneCount(), view.runningCount(), bound);
    }

    JobView toView() {
      return new JobView(id, JobView.JobStatus.valueOf(status), done, running);
    }
  }
}
