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

/**
 * Decides the next step for a Job at its entity's owner: submits or cancels the native job, and
 * computes the next status. Called on the event loop's thread by the {@link ObjectReconciler}.
 * Holds no state; a step that a crash interrupts is decided again from the Job's row.
 */
final class JobReconciler {
  /**
   * The minimum interval between writes of a status in which only counts have changed. A new
   * failure, and a change between no running task and some, are written immediately.
   */
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

  /**
   * Takes the Job's next step, which may submit or cancel the native job.
   *
   * @return the object's next state, or null if there is nothing to store
   */
  KubernetesObject reconcile(OwnedEntity entity, KubernetesObject object) {
    if (isFinished(object)) {
      boolean tasksGone =
          object.isDeleting() && !entity.jobs().containsKey(object.nativeJobs().get(0).id());
      return tasksGone ? object.withTasksGone() : null;
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
        return object.withTasksGone();
      } else {
        reconciler.confirmNeverSubmitted(entity, id);
      }
      return null;
    }
    if (view.status().isTerminal()) {
      return withFinalStatus(object, view);
    }
    int failureCount = failureCountBeforeOwnership(entity, object) + job.errorCount();
    if (object.isDeleting()
        || failureCount > object.spec().path("backoffLimit").asInt()
        || isPastDeadline(object)) {
      reconciler.cancelJob(entity, job);
    }
    return withProgressStatus(entity, object, job, view, failureCount);
  }

  /**
   * Returns the number of failures counted before this owner acquired the entity. Each owner counts
   * the failures under its own version of the entity. Failures that an owner had not yet written
   * when it crashed are lost, which grants the Job a few more attempts.
   */
  private static int failureCountBeforeOwnership(OwnedEntity entity, KubernetesObject object) {
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
      return object.withTasksGone();
    }
    if (object.status().has("conditions")) {
      return null;
    }
    return object.withChange(
        row ->
            setCondition(
                row.putObject("status"),
                "Suspended",
                "JobSuspended",
                "nothing runs until it is resumed"));
  }

  private boolean isPastDeadline(KubernetesObject object) {
    long seconds = object.spec().path("activeDeadlineSeconds").asLong();
    return seconds > 0 && loop.wallMillis() > object.startedMillis() + seconds * 1000;
  }

  /** Called once the final state of the native job is stored; that state never changes. */
  private KubernetesObject withFinalStatus(KubernetesObject object, JobView view) {
    return object.withChange(
        row -> {
          ObjectNode status = newStatusWithStartTime(object);
          status.put("succeeded", view.doneCount());
          int failureCount = row.path("failed").asInt();
          if (failureCount > 0) {
            status.put("failed", failureCount);
          }
          setFinalCondition(object, view, failureCount, status);
          row.set("status", status);
        });
  }

  private void setFinalCondition(
      KubernetesObject object, JobView view, int failureCount, ObjectNode status) {
    if (view.status() == JobStatus.DONE) {
      status.put("completionTime", KubernetesObject.formatTime(loop.wallMillis()));
      setCondition(status, "Complete", "CompletionsReached", "all tasks are done");
    } else if (failureCount > object.spec().path("backoffLimit").asInt()) {
      setCondition(
          status, "Failed", "BackoffLimitExceeded", "tasks failed more often than backoffLimit");
    } else if (isPastDeadline(object)) {
      setCondition(status, "Failed", "DeadlineExceeded", "activeDeadlineSeconds are over");
    } else {
      setCondition(status, "Failed", "Cancelled", "the native job was cancelled");
    }
  }

  private KubernetesObject withProgressStatus(
      OwnedEntity entity, KubernetesObject object, Job job, JobView view, int failureCount) {
    if (job.loadedFromStore() && entity.hasUncertainMachine(loop.monotonicSeconds())) {
      // Tasks that no heartbeat has reported since the entity was acquired would be counted as not
      // running.
      return null;
    }
    ObjectNode status = newStatusWithStartTime(object);
    status
        .put("active", job.spec().taskCount() - view.doneCount())
        .put("ready", view.runningCount());
    if (view.doneCount() > 0) {
      status.put("succeeded", view.doneCount());
    }
    if (failureCount > 0) {
      status.put("failed", failureCount);
    }
    if (status.equals(object.status())) {
      return null;
    }
    boolean readinessChanged =
        (view.runningCount() > 0) != (object.status().path("ready").asInt() > 0);
    boolean failuresChanged = failureCount != object.status().path("failed").asInt();
    boolean writeDue =
        loop.wallMillis() - object.value().path("wrote").asLong() > COUNT_WRITE_INTERVAL_MILLIS;
    if (!readinessChanged && !failuresChanged && !writeDue) {
      return null;
    }
    return object.withChange(
        row -> {
          row.put("wrote", loop.wallMillis());
          row.put("failed", failureCount)
              .put("base", failureCountBeforeOwnership(entity, object))
              .put("by", entity.row().version().value());
          row.set("status", status);
        });
  }

  private static ObjectNode newStatusWithStartTime(KubernetesObject object) {
    return Cbor.newMap().put("startTime", KubernetesObject.formatTime(object.startedMillis()));
  }

  private void setCondition(ObjectNode status, String type, String reason, String message) {
    String now = KubernetesObject.formatTime(loop.wallMillis());
    new Condition(type, true, reason, message, now).writeTo(status);
  }
}
