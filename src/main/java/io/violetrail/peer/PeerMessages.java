package io.violetrail.peer;

import io.violetrail.configuration.ConfigurationState;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobView;
import java.util.ArrayList;
import java.util.List;

/**
 * The messages between controllers. The names of their components and the order of the enum
 * constants are part of the wire format, see {@link PeerCodec}.
 */
public final class PeerMessages {
  private PeerMessages() {}

  /** The kind of a request, which decides what its subject and number mean. */
  public enum PeerRequestKind {
    /** Asks for the states of the jobs whose ids are in the subject, separated by spaces. */
    VIEW,
    /** Asks to cancel the job in the subject. */
    CANCEL,
    /** Asks to hand the entity in the subject back to its home controller, which is the sender. */
    HAND_BACK,
    /** Announces that the sender owns the entity in the subject under the version in the number. */
    MOVED,
    /** Asks for machines or quota shares for the entity in the subject. */
    RESOURCES,
    /**
     * Announces that the cloud has no machines for now of the type, zone and kind (spot or not) in
     * the subject.
     */
    SOLD_OUT,
    /** Asks whether the receiver receives heartbeats from workers. */
    HEARS,
    /** Asks which revision of the configuration the receiver follows. */
    CONFIGURATION,
    /** Asks to borrow a part of the receiver's write budget; the number holds the units. */
    BUDGET
  }

  /** A request about a job, an entity or the receiver itself. */
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

  /**
   * A reply: whether the subject is known or the answer is yes, and the states of those requested
   * jobs that the peer knows.
   */
  public record PeerResponse(
      boolean known,
      ArrayList<JobViewMessage> views,
      ArrayList<ConfigurationState> configuration,
      long number) {
    static final PeerResponse NEGATIVE = new PeerResponse(false, new ArrayList<>());
    static final PeerResponse POSITIVE = new PeerResponse(true, new ArrayList<>());

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

  /**
   * A job's state, and the entity that it belongs to (empty if that is not known or was not asked
   * for).
   */
  public record JobViewMessage(String id, String status, int done, int running, String entity) {
    static JobViewMessage of(JobView view) {
      return of(view, null);
    }

    static JobViewMessage of(JobView view, ControllerId entity) {
      String entityText = entity == null ? "" : entity.value();
      return new JobViewMessage(
          view.id(), view.status().name(), view.doneCount(), view.runningCount(), entityText);
    }

    JobView toView() {
      return new JobView(id, JobView.JobStatus.valueOf(status), done, running);
    }
  }
}
