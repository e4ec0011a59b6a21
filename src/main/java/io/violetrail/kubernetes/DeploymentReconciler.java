package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.api.JobLifecycle;
import io.violetrail.kubernetes.KubernetesObject.NativeJob;
import io.violetrail.kubernetes.RolloutPlanner.Plan;
import io.violetrail.kubernetes.RolloutPlanner.Replica;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.Job;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Decides the next step for a Deployment at its entity's owner. Each replica is a native service
 * with one task. The Deployment's row holds the replica's number from before the service is
 * submitted until it has ended, so a crash neither loses nor duplicates a replica. Called on the
 * event loop's thread by the {@link ObjectReconciler}. Holds no state.
 */
final class DeploymentReconciler {
  /** Maximum number of new replicas that one write adds to the row, which holds at most 8 KiB. */
  private static final int MAX_NEW_REPLICAS_PER_WRITE = 20;

  private final EventLoop loop;
  private final JobLifecycle jobLifecycle;
  private final ObjectReconciler reconciler;
  private final NativeJobTranslator translator;

  DeploymentReconciler(
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
   * Takes the Deployment's next step, which may submit or cancel replicas.
   *
   * @return the object's next state, or null if there is nothing to store
   */
  KubernetesObject reconcile(OwnedEntity entity, KubernetesObject object) {
    if (entity.hasUncertainMachine(loop.monotonicSeconds())) {
      // After the entity is acquired, heartbeats report its replicas one by one. If replicas that
      // have not been reported yet counted as not running, a rollout would stop all of them at
      // once.
      return null;
    }
    int desiredCount = object.isDeleting() ? 0 : object.spec().path("replicas").asInt();
    Set<Long> finishedNumbers = new HashSet<>();
    List<Replica> replicas = submitAndObserve(entity, object, finishedNumbers);
    Plan plan = planRollout(object, desiredCount, replicas);
    cancelReplicas(entity, object, plan);
    if (object.isDeleting() && finishedNumbers.size() == object.nativeJobs().size()) {
      return object.withTasksGone();
    }
    ObjectNode status = buildStatus(object, desiredCount, replicas);
    int startCount = Math.min(MAX_NEW_REPLICAS_PER_WRITE, plan.startCount());
    if (finishedNumbers.isEmpty() && startCount == 0 && status.equals(object.status())) {
      return null;
    }
    return withNextReplicas(object, finishedNumbers, startCount, status);
  }

  /**
   * Returns the replicas that the row names and that have not ended, and submits those that are
   * needed and not submitted yet.
   *
   * @param finishedNumbers receives the numbers of the replicas that have ended, which the result
   *     omits
   */
  private List<Replica> submitAndObserve(
      OwnedEntity entity, KubernetesObject object, Set<Long> finishedNumbers) {
    List<Replica> replicas = new ArrayList<>();
    for (NativeJob nativeJob : object.nativeJobs()) {
      Job job = entity.jobs().get(nativeJob.id());
      if (job == null && isFinished(entity, nativeJob)) {
        finishedNumbers.add(nativeJob.number());
      } else {
        replicas.add(
            job != null
                ? observeReplica(object, nativeJob, job)
                : submitReplica(entity, object, nativeJob));
      }
    }
    return replicas;
  }

  private boolean isFinished(OwnedEntity entity, NativeJob nativeJob) {
    return jobLifecycle.findTerminalView(nativeJob.id()) != null
        || reconciler.isNeverSubmitted(entity, nativeJob.id());
  }

  private static boolean isUpToDate(KubernetesObject object, NativeJob nativeJob) {
    return nativeJob.templateHash().equals(object.templateHash());
  }

  private static Replica observeReplica(KubernetesObject object, NativeJob nativeJob, Job job) {
    boolean stopping = job.phase() != Job.Phase.OPEN;
    boolean ready = !stopping && job.toView().runningCount() > 0;
    return new Replica(nativeJob.number(), isUpToDate(object, nativeJob), ready, stopping);
  }

  /**
   * Submits a replica that is not known to be submitted. If the replica is no longer needed,
   * confirms instead that it was never submitted.
   */
  private Replica submitReplica(OwnedEntity entity, KubernetesObject object, NativeJob nativeJob) {
    boolean upToDate = isUpToDate(object, nativeJob);
    if (reconciler.hasOperationInFlight(entity, nativeJob.id())) {
      return new Replica(nativeJob.number(), upToDate, false, true);
    }
    if (!upToDate || object.isDeleting()) {
      reconciler.confirmNeverSubmitted(entity, nativeJob.id());
      return new Replica(nativeJob.number(), upToDate, false, true);
    }
    reconciler.ensureSubmitted(
        entity, object, translator.toJobSpec(object, nativeJob.id().value()));
    return new Replica(nativeJob.number(), true, false, false);
  }

  private static Plan planRollout(
      KubernetesObject object, int desiredCount, List<Replica> replicas) {
    JsonNode strategy = object.spec().path("strategy");
    boolean recreate = strategy.path("type").asText().equals("Recreate");
    int maxSurge = recreate ? 0 : resolveLimit(strategy, "maxSurge", desiredCount, true);
    int maxUnavailable =
        recreate ? 0 : resolveLimit(strategy, "maxUnavailable", desiredCount, false);
    if (!recreate && maxSurge == 0 && maxUnavailable == 0) {
      // With few replicas, both percentages can round to 0. Following the Kubernetes API, one
      // replica may then be unavailable.
      maxUnavailable = 1;
    }
    return RolloutPlanner.plan(
        desiredCount, replicas, maxSurge, maxUnavailable, recreate || object.isDeleting());
  }

  private static int resolveLimit(
      JsonNode strategy, String field, int desiredCount, boolean roundUp) {
    return NativeJobTranslator.resolveCountOrPercentage(
        strategy.path("rollingUpdate").get(field), desiredCount, roundUp);
  }

  private void cancelReplicas(OwnedEntity entity, KubernetesObject object, Plan plan) {
    for (NativeJob nativeJob : object.nativeJobs()) {
      Job job =
          plan.stopNumbers().contains(nativeJob.number())
              ? entity.jobs().get(nativeJob.id())
              : null;
      if (job != null) {
        reconciler.cancelJob(entity, job);
      }
    }
  }

  private static KubernetesObject withNextReplicas(
      KubernetesObject object, Set<Long> finishedNumbers, int startCount, ObjectNode status) {
    return object.withChange(
        row -> {
          KubernetesObject.retainNativeJobs(row, number -> !finishedNumbers.contains(number));
          long lastNumber = row.path("made").asLong();
          for (int i = 0; i < startCount; i++) {
            KubernetesObject.addNativeJob(row, ++lastNumber, object.templateHash());
          }
          row.put("made", lastNumber);
          row.set("status", status);
        });
  }

  private ObjectNode buildStatus(
      KubernetesObject object, int desiredCount, List<Replica> replicas) {
    int activeCount = 0;
    int readyCount = 0;
    int updatedCount = 0;
    for (Replica replica : replicas) {
      activeCount += replica.stopping() ? 0 : 1;
      readyCount += replica.ready() ? 1 : 0;
      updatedCount += replica.upToDate() && !replica.stopping() ? 1 : 0;
    }
    ObjectNode status = Cbor.newMap().put("observedGeneration", object.value().path("gen").asInt());
    status.put("replicas", activeCount).put("updatedReplicas", updatedCount);
    status.put("readyReplicas", readyCount).put("availableReplicas", readyCount);
    if (readyCount < desiredCount) {
      status.put("unavailableReplicas", desiredCount - readyCount);
    }
    boolean available = readyCount >= desiredCount;
    JsonNode previous = object.status().path("conditions").path(0);
    boolean unchanged =
        previous.path("status").asText().equals(available ? Condition.TRUE : Condition.FALSE);
    new Condition(
            "Available",
            available,
            available ? "MinimumReplicasAvailable" : "MinimumReplicasUnavailable",
            available ? "all replicas run" : "some replicas do not run",
            unchanged
                ? previous.path("lastTransitionTime").asText()
                : KubernetesObject.formatTime(loop.wallMillis()))
        .writeTo(status);
    return status;
  }
}
