package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.api.Jobs;
import io.violetrail.kubernetes.KubeObject.Part;
import io.violetrail.kubernetes.Rollout.Plan;
import io.violetrail.kubernetes.Rollout.Replica;
import io.violetrail.net.Loop;
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
final class DeploymentSteps {
  /** New replicas that one write announces; a row holds at most 8 KiB. */
  private static final int AT_ONCE = 20;

  private final Loop loop;
  private final Jobs jobs;
  private final Keeper keeper;
  private final Translation translation;

  DeploymentSteps(Loop loop, Jobs jobs, Keeper keeper, Translation translation) {
    this.loop = loop;
    this.jobs = jobs;
    this.keeper = keeper;
    this.translation = translation;
  }

  /** The object's next state if it is to be stored, otherwise null. */
  KubeObject step(OwnedEntity h, KubeObject object) {
    if (h.uncertain(loop.seconds())) {
      // After a move replicas are seen one by one. Those that had not been seen yet were taken for
      // not running, and a rollout ended all of them at once.
      return null;
    }
    JsonNode spec = object.spec();
    int wanted = object.deleting() ? 0 : spec.path("replicas").asInt();
    String template = object.template();
    List<Replica> replicas = new ArrayList<>();
    Set<Long> over = new HashSet<>();
    for (Part part : object.parts()) {
      boolean current = part.template().equals(template);
      Job job = h.jobs().get(part.id());
      if (job != null) {
        boolean ending = job.phase() != Job.Phase.OPEN;
        boolean ready = !ending && job.view().running() > 0;
        replicas.add(new Replica(part.number(), current, ready, ending));
      } else if (jobs.terminalView(part.id()) != null || keeper.never(h, part.id())) {
        over.add(part.number());
      } else if (keeper.busy(h, part.id())) {
        replicas.add(new Replica(part.number(), current, false, true));
      } else if (!current || object.deleting()) {
        // Announced and, as far as is known here, never begun.
        keeper.recall(h, part.id());
        replicas.add(new Replica(part.number(), current, false, true));
      } else {
        keeper.ensure(h, object, translation.spec(object, part.id().value()));
        replicas.add(new Replica(part.number(), true, false, false));
      }
    }
    boolean recreate = spec.path("strategy").path("type").asText().equals("Recreate");
    JsonNode rolling = spec.path("strategy").path("rollingUpdate");
    int surge = recreate ? 0 : Translation.share(rolling.get("maxSurge"), wanted, true);
    int missing = recreate ? 0 : Translation.share(rolling.get("maxUnavailable"), wanted, false);
    if (!recreate && surge == 0 && missing == 0) {
      // Percentages of few replicas round to nothing both ways, as published one may be missing.
      missing = 1;
    }
    Plan plan = Rollout.plan(wanted, replicas, surge, missing, recreate || object.deleting());
    for (Part part : object.parts()) {
      Job job = plan.end().contains(part.number()) ? h.jobs().get(part.id()) : null;
      if (job != null) {
        keeper.end(h, job);
      }
    }
    if (object.deleting() && over.size() == object.parts().size()) {
      return object.with(v -> v.put("over", true));
    }
    ObjectNode status = status(object, wanted, replicas);
    int begin = Math.min(AT_ONCE, plan.begin());
    if (over.isEmpty() && begin == 0 && status.equals(object.status())) {
      return null;
    }
    return object.with(
        v -> {
          KubeObject.keepParts(v, n -> !over.contains(n));
          long made = v.path("made").asLong();
          for (int i = 0; i < begin; i++) {
            KubeObject.addPart(v, ++made, template);
          }
          v.put("made", made);
          v.set("status", status);
        });
  }

  private ObjectNode status(KubeObject object, int wanted, List<Replica> replicas) {
    int live = 0;
    int ready = 0;
    int updated = 0;
    for (Replica r : replicas) {
      live += r.ending() ? 0 : 1;
      ready += r.ready() ? 1 : 0;
      updated += r.current() && !r.ending() ? 1 : 0;
    }
    ObjectNode s = Cbor.map().put("observedGeneration", object.value().path("gen").asInt());
    s.put("replicas", live).put("updatedReplicas", updated);
    s.put("readyReplicas", ready).put("availableReplicas", ready);
    if (ready < wanted) {
      s.put("unavailableReplicas", wanted - ready);
    }
    boolean available = ready >= wanted;
    JsonNode before = object.status().path("conditions").path(0);
    boolean same = before.path("status").asText().equals(available ? "True" : "False");
    s.putArray("conditions")
        .addObject()
        .put("type", "Available")
        .put("status", available ? "True" : "False")
        .put("reason", available ? "MinimumReplicasAvailable" : "MinimumReplicasUnavailable")
        .put("message", available ? "all replicas run" : "some replicas do not run")
        .put(
            "lastTransitionTime",
            same ? before.path("lastTransitionTime").asText() : KubeObject.time(loop.wallMillis()));
    return s;
  }
}
