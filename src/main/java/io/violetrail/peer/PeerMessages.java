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
  public enum Kind {
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
  public record Request(
      Kind kind, String from, String subject, long number, ArrayList<ResourceRequest> requests) {
    Request(Kind kind, String from, String subject, long number) {
      this(kind, from, subject, number, new ArrayList<>());
    }
  }

  /** A reply: whether it is known, and the states of the jobs asked for that are. */
  public record Reply(
      boolean known,
      ArrayList<JobStatus> views,
      ArrayList<ConfigurationState> configuration,
      long number) {
    static final Reply UNKNOWN = new Reply(false, new ArrayList<>());
    static final Reply YES = new Reply(true, new ArrayList<>());

    Reply(boolean known, ArrayList<JobStatus> views) {
      this(known, views, new ArrayList<>(), 0);
    }

    static Reply of(JobView view) {
      return new Reply(true, new ArrayList<>(List.of(JobStatus.of(view))));
    }

    static Reply of(long number) {
      return new Reply(true, new ArrayList<>(), new ArrayList<>(), number);
    }

    static Reply of(ConfigurationState state) {
      return new Reply(true, new ArrayList<>(), new ArrayList<>(List.of(state)), 0);
    }
  }

  /** A job's state, and the entity that it is bound to (empty if that was not asked for). */
  public record JobStatus(String id, String status, int done, int running, String entity) {
    static JobStatus of(JobView view) {
      return of(view, null);
    }

    static JobStatus of(JobView view, ControllerId entity) {
      String bound = entity == null ? "" : entity.value();
      return new JobStatus(view.id(), view.status().name(), view.done(), view.running(), bound);
    }

    JobView toView() {
      return new JobView(id, JobView.Status.valueOf(status), done, running);
    }
  }
}
