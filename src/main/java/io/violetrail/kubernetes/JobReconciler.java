package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.api.JobLifecycle;
import io.violetrail.model.JobId;
import io.violetrail.model.JobView;
import io.violetrail.model.JobView.JobStatus;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.Job;
import io.violetrail.wire.Cbor;

/** The next step of a kept Job at its entity's owner. */
final class JobReconciler {
  /** Counts alone are written down this often; beginnings and ends at once. */
  private static final long COUNT_WRITE_INTERVAL_MILLIS = 10_000;

  private final EventLoop loop;
  private final JobLifecycle jobLifecycle;
  private final ObjectReconciler reconciler;
  private final NativeJobTranslator translator;

  JobReconciler(
      EventLoop loop,
      JobLifecycle jobLifecycle,
      ObjectReconciler reconciler,
      NativeJobTranslator translator) {
    this.loop = loop;
    this.jobLifecycle = jobLifecycle;
    this.reconciler = reconciler;
    this.translator = translator;
  }

  /** The object's next state if it is to be stored, otherwise null. */
  KubernetesObject reconcile(OwnedEntity entity, KubernetesObject object) {
    if (isFinished(object)) {
      boolean tasksGone =
          object.isDeleting() && !entity.jobs().containsKey(object.nativeJobs().get(0).id());
      return tasksGone ? object.withChange(v -> v.put("over", true)) : null;
    }
    if (object.spec().path("suspend").asBoolean()) {
      return withSuspendedStatus(object);
    }
    JobId id = object.nativeJobs().get(0).id();
    Job job = entity.jobs().get(id);
    JobView view =
        job != null && job.phase() != Job.Phase.FINISHED
            ? job.toView()
            : jobLifecycle.findTerminalView(id);
    if (view == null) {
      if (!object.isDeleting()) {
        reconciler.ensureSubmitted(entity, object, translator.toJobSpec(object, id.value()));
      } else if (reconciler.isNeverSubmitted(entity, id)) {
        return object.withChange(v -> v.put("over", true));
      } else {
        reconciler.confirmNeverSubmitted(entity, id);
      }
      return null;
    }
    if (view.status().isTerminal()) {
      return withFinalStatus(object, view);
    }
    int failed = failuresBeforeOwnership(entity, object) + job.errorCount();
    if (object.isDeleting()
        || failed > object.spec().path("backoffLimit").asInt()
        || isPastDeadline(object)) {
      reconciler.cancelJob(entity, job);
    }
    return withProgressStatus(entity, object, job, view, failed);
  }

  /**
   * Failures counted before this owner's time. It counts its own from its version on; what it did
   * not get to write down is lost with it, which grants a few more tries.
   */
  private static int failuresBeforeOwnership(OwnedEntity entity, KubernetesObject object) {
    boolean countedByThisOwner =
        object.value().path("by").asLong(-1) == entity.row().version().value();
    return object.value().path(countedByThisOwner ? "base" : "failed").asInt();
  }

  private static boolean isFinished(KubernetesObject object) {
    return object.status().has("conditions")
        && !object.status().path("conditions").path(0).path("type").asText().equals("Suspended");
  }

  private KubernetesObject withSuspendedStatus(KubernetesObject object) {
    if (object.isDeleting()) {
      return object.withChange(v -> v.put("over", true));
    }
    if (object.status().has("conditions")) {
      return null;
    }
    return object.withChange(
        v ->
            setCondition(
                v.putObject("status"),
                "Suspended",
                "JobSuspended",
                "nothing runs until it is resumed"));
  }

  private boolean isPastDeadline(KubernetesObject object) {
    long seconds = object.spec().path("activeDeadlineSeconds").asLong();
    return seconds > 0 && loop.wallMillis() > object.startedMillis() + seconds * 1000;
  }

  /** Written once the native job's end is stored, which nothing changes any more. */
  private KubernetesObject withFinalStatus(KubernetesObject object, JobView view) {
    return object.withChange(
        row -> {
          ObjectNode status = startedStatus(object);
          status.put("succeeded", view.doneCount());
          int failed = row.path("failed").asInt();
          if (failed > 0) {
            status.put("failed", failed);
          }
          if (view.status() == JobStatus.DONE) {
            status.put("completionTime", KubernetesObject.formatTime(loop.wallMillis()));
            setCondition(status, "Complete", "CompletionsReached", "all tasks are done");
          } else if (failed > object.spec().path("backoffLimit").asInt()) {
            setCondition(
                status,
                "Failed",
                "BackoffLimitExceeded",
                "tasks failed more often than backoffLimit");
          } else if (isPastDeadline(object)) {
            setCondition(status, "Failed", "DeadlineExceeded", "activeDeadlineSeconds are over");
          } else {
            setCondition(status, "Failed", "Cancelled", "the native job was cancelled");
          }
          row.set("status", status);
        });
  }

  private KubernetesObject withProgressStatus(
      OwnedEntity entity, KubernetesObject object, Job job, JobView view, int failed) {
    if (job.loadedFromStore() && entity.hasUncertainMachine(loop.monotonicSeconds())) {
      // Tasks that have not been seen since a move would be counted as not running.
      return null;
    }
    ObjectNode status = startedStatus(object);
    status
        .put("active", job.spec().taskCount() - view.doneCount())
        .put("ready", view.runningCount());
    if (view.doneCount() > 0) {
      status.put("succeeded", view.doneCount());
    }
    if (failed > 0) {
      status.put("failed", failed);
    }
    if (status.equals(object.status())) {
      return null;
    }
    boolean readinessChanged =
        (view.runningCount() > 0) != (object.status().path("ready").asInt() > 0);
    boolean failuresChanged = failed != object.status().path("failed").asInt();
    boolean writeDue =
        loop.wallMillis() - object.value().path("wrote").asLong() > COUNT_WRITE_INTERVAL_MILLIS;
    if (!readinessChanged && !failuresChanged && !writeDue) {
      return null;
    }
    return object.withChange(
        row -> {
          row.put("wrote", loop.wallMillis());
          row.put("failed", failed)
              .put("base", failuresBeforeOwnership(entity, object))
              .put("by", entity.row().version().value());
          row.set("status", status);
        });
  }

  private static ObjectNode startedStatus(KubernetesObject object) {
    return Cbor.newMap().put("startTime", KubernetesObject.formatTime(object.startedMillis()));
  }

  private void setCondition(ObjectNode status, String type, String reason, String message) {
    status
        .putArray("conditions")
        .addObject()
        .put("type", type)
        .put("status", "True")
        .put("reason", reason)
        .put("message", message)
        .put("lastTransitionTime", KubernetesObject.formatTime(loop.wallMillis()));
  }
}
