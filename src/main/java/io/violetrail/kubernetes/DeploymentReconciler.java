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
 * The next step of a Deployment at its entity's owner. Each replica is a native service of one
 * task. Its number stands in the row before it is submitted and until it is over.
 */
final class DeploymentReconciler {
  /** New replicas that one write announces; a row holds at most 8 KiB. */
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

  /** The object's next state if it is to be stored, otherwise null. */
  KubernetesObject reconcile(OwnedEntity entity, KubernetesObject object) {
    if (entity.hasUncertainMachine(loop.monotonicSeconds())) {
      // After a move replicas are seen one by one. Those that had not been seen yet were taken for
      // not running, and a rollout ended all of them at once.
      return null;
    }
    JsonNode spec = object.spec();
    int desired = object.isDeleting() ? 0 : spec.path("replicas").asInt();
    String templateHash = object.templateHash();
    List<Replica> replicas = new ArrayList<>();
    Set<Long> finishedNumbers = new HashSet<>();
    for (NativeJob nativeJob : object.nativeJobs()) {
      boolean upToDate = nativeJob.templateHash().equals(templateHash);
      Job job = entity.jobs().get(nativeJob.id());
      if (job != null) {
        boolean stopping = job.phase() != Job.Phase.OPEN;
        boolean ready = !stopping && job.toView().runningCount() > 0;
        replicas.add(new Replica(nativeJob.number(), upToDate, ready, stopping));
      } else if (jobLifecycle.findTerminalView(nativeJob.id()) != null
          || reconciler.isNeverSubmitted(entity, nativeJob.id())) {
        finishedNumbers.add(nativeJob.number());
      } else if (reconciler.hasOperationInFlight(entity, nativeJob.id())) {
        replicas.add(new Replica(nativeJob.number(), upToDate, false, true));
      } else if (!upToDate || object.isDeleting()) {
        // Announced and, as far as is known here, never begun.
        reconciler.confirmNeverSubmitted(entity, nativeJob.id());
        replicas.add(new Replica(nativeJob.number(), upToDate, false, true));
      } else {
        reconciler.ensureSubmitted(
            entity, object, translator.toJobSpec(object, nativeJob.id().value()));
        replicas.add(new Replica(nativeJob.number(), true, false, false));
      }
    }
    boolean recreate = spec.path("strategy").path("type").asText().equals("Recreate");
    JsonNode rollingUpdate = spec.path("strategy").path("rollingUpdate");
    int maxSurge =
        recreate
            ? 0
            : NativeJobTranslator.resolveCountOrPercentage(
                rollingUpdate.get("maxSurge"), desired, true);
    int maxUnavailable =
        recreate
            ? 0
            : NativeJobTranslator.resolveCountOrPercentage(
                rollingUpdate.get("maxUnavailable"), desired, false);
    if (!recreate && maxSurge == 0 && maxUnavailable == 0) {
      // Percentages of few replicas round to nothing both ways, as published one may be missing.
      maxUnavailable = 1;
    }
    Plan plan =
        RolloutPlanner.plan(
            desired, replicas, maxSurge, maxUnavailable, recreate || object.isDeleting());
    for (NativeJob nativeJob : object.nativeJobs()) {
      Job job =
          plan.stopNumbers().contains(nativeJob.number())
              ? entity.jobs().get(nativeJob.id())
              : null;
      if (job != null) {
        reconciler.cancelJob(entity, job);
      }
    }
    if (object.isDeleting() && finishedNumbers.size() == object.nativeJobs().size()) {
      return object.withChange(row -> row.put("over", true));
    }
    ObjectNode status = buildStatus(object, desired, replicas);
    int startCount = Math.min(MAX_NEW_REPLICAS_PER_WRITE, plan.startCount());
    if (finishedNumbers.isEmpty() && startCount == 0 && status.equals(object.status())) {
      return null;
    }
    return object.withChange(
        row -> {
          KubernetesObject.retainNativeJobs(row, n -> !finishedNumbers.contains(n));
          long lastNumber = row.path("made").asLong();
          for (int i = 0; i < startCount; i++) {
            KubernetesObject.addNativeJob(row, ++lastNumber, templateHash);
          }
          row.put("made", lastNumber);
          row.set("status", status);
        });
  }

  private ObjectNode buildStatus(KubernetesObject object, int desired, List<Replica> replicas) {
    int live = 0;
    int ready = 0;
    int updated = 0;
    for (Replica replica : replicas) {
      live += replica.stopping() ? 0 : 1;
      ready += replica.ready() ? 1 : 0;
      updated += replica.upToDate() && !replica.stopping() ? 1 : 0;
    }
    ObjectNode status = Cbor.newMap().put("observedGeneration", object.value().path("gen").asInt());
    status.put("replicas", live).put("updatedReplicas", updated);
    status.put("readyReplicas", ready).put("availableReplicas", ready);
    if (ready < desired) {
      status.put("unavailableReplicas", desired - ready);
    }
    boolean available = ready >= desired;
    JsonNode previous = object.status().path("conditions").path(0);
    boolean unchanged = previous.path("status").asText().equals(available ? "True" : "False");
    status
        .putArray("conditions")
        .addObject()
        .put("type", "Available")
        .put("status", available ? "True" : "False")
        .put("reason", available ? "MinimumReplicasAvailable" : "MinimumReplicasUnavailable")
        .put("message", available ? "all replicas run" : "some replicas do not run")
        .put(
            "lastTransitionTime",
            unchanged
                ? previous.path("lastTransitionTime").asText()
                : KubernetesObject.formatTime(loop.wallMillis()));
    return status;
  }
}
