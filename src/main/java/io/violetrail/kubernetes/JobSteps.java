package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.api.Jobs;
import io.violetrail.model.JobId;
import io.violetrail.model.JobView;
import io.violetrail.model.JobView.Status;
import io.violetrail.net.Loop;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.Job;
import io.violetrail.wire.Cbor;

/** The next step of a kept Job at its entity's owner. */
final class JobSteps {
  /** Counts alone are written down this often; beginnings and ends at once. */
  private static final long COUNTS_MS = 10_000;

  private final Loop loop;
  private final Jobs jobs;
  private final Keeper keeper;
  private final Translation translation;

  JobSteps(Loop loop, Jobs jobs, Keeper keeper, Translation translation) {
    this.loop = loop;
    this.jobs = jobs;
    this.keeper = keeper;
    this.translation = translation;
  }

  /** The object's next state if it is to be stored, otherwise null. */
  KubeObject step(OwnedEntity h, KubeObject object) {
    if (ended(object)) {
      boolean over = object.deleting() && !h.jobs().containsKey(object.parts().get(0).id());
      return over ? object.with(v -> v.put("over", true)) : null;
    }
    if (object.spec().path("suspend").asBoolean()) {
      return suspended(object);
    }
    JobId id = object.parts().get(0).id();
    Job job = h.jobs().get(id);
    JobView view =
        job != null && job.phase() != Job.Phase.OVER ? job.view() : jobs.terminalView(id);
    if (view == null) {
      if (!object.deleting()) {
        keeper.ensure(h, object, translation.spec(object, id.value()));
      } else if (keeper.never(h, id)) {
        return object.with(v -> v.put("over", true));
      } else {
        keeper.recall(h, id);
      }
      return null;
    }
    if (view.status().terminal()) {
      return over(object, view);
    }
    int failed = failedBefore(h, object) + job.errors();
    if (object.deleting()
        || failed > object.spec().path("backoffLimit").asInt()
        || pastDeadline(object)) {
      keeper.end(h, job);
    }
    return counts(h, object, job, view, failed);
  }

  /**
   * Failures counted before this owner's time. It counts its own from its version on; what it did
   * not get to write down is lost with it, which grants a few more tries.
   */
  private static int failedBefore(OwnedEntity h, KubeObject object) {
    boolean own = object.value().path("by").asLong(-1) == h.row().version().value();
    return object.value().path(own ? "base" : "failed").asInt();
  }

  private static boolean ended(KubeObject object) {
    return object.status().has("conditions")
        && !object.status().path("conditions").path(0).path("type").asText().equals("Suspended");
  }

  private KubeObject suspended(KubeObject object) {
    if (object.deleting()) {
      return object.with(v -> v.put("over", true));
    }
    if (object.status().has("conditions")) {
      return null;
    }
    return object.with(
        v ->
            condition(
                v.putObject("status"),
                "Suspended",
                "JobSuspended",
                "nothing runs until it is resumed"));
  }

  private boolean pastDeadline(KubeObject object) {
    long seconds = object.spec().path("activeDeadlineSeconds").asLong();
    return seconds > 0 && loop.wallMillis() > object.startedMs() + seconds * 1000;
  }

  /** Written once the native job's end is stored, which nothing changes any more. */
  private KubeObject over(KubeObject object, JobView view) {
    return object.with(
        v -> {
          ObjectNode s = begun(object);
          s.put("succeeded", view.done());
          int failed = v.path("failed").asInt();
          if (failed > 0) {
            s.put("failed", failed);
          }
          if (view.status() == Status.DONE) {
            s.put("completionTime", KubeObject.time(loop.wallMillis()));
            condition(s, "Complete", "CompletionsReached", "all tasks are done");
          } else if (failed > object.spec().path("backoffLimit").asInt()) {
            condition(
                s, "Failed", "BackoffLimitExceeded", "tasks failed more often than backoffLimit");
          } else if (pastDeadline(object)) {
            condition(s, "Failed", "DeadlineExceeded", "activeDeadlineSeconds are over");
          } else {
            condition(s, "Failed", "Cancelled", "the native job was cancelled");
          }
          v.set("status", s);
        });
  }

  private KubeObject counts(OwnedEntity h, KubeObject object, Job job, JobView view, int failed) {
    if (job.recovered() && h.uncertain(loop.seconds())) {
      // Tasks that have not been seen since a move would be counted as not running.
      return null;
    }
    ObjectNode s = begun(object);
    s.put("active", job.spec().tasks() - view.done()).put("ready", view.running());
    if (view.done() > 0) {
      s.put("succeeded", view.done());
    }
    if (failed > 0) {
      s.put("failed", failed);
    }
    if (s.equals(object.status())) {
      return null;
    }
    boolean begins = (view.running() > 0) != (object.status().path("ready").asInt() > 0);
    boolean failures = failed != object.status().path("failed").asInt();
    boolean due = loop.wallMillis() - object.value().path("wrote").asLong() > COUNTS_MS;
    if (!begins && !failures && !due) {
      return null;
    }
    return object.with(
        v -> {
          v.put("wrote", loop.wallMillis());
          v.put("failed", failed)
              .put("base", failedBefore(h, object))
              .put("by", h.row().version().value());
          v.set("status", s);
        });
  }

  private static ObjectNode begun(KubeObject object) {
    return Cbor.map().put("startTime", KubeObject.time(object.startedMs()));
  }

  private void condition(ObjectNode status, String type, String reason, String message) {
    status
        .putArray("conditions")
        .addObject()
        .put("type", type)
        .put("status", "True")
        .put("reason", reason)
        .put("message", message)
        .put("lastTransitionTime", KubeObject.time(loop.wallMillis()));
  }
}
