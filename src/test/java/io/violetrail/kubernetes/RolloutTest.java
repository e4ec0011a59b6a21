package io.violetrail.kubernetes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.kubernetes.RolloutPlanner.Plan;
import io.violetrail.kubernetes.RolloutPlanner.Replica;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Plans of {@link RolloutPlanner} for rollouts of a Deployment. */
class RolloutTest {
  /** maxSurge and maxUnavailable hold at each step while replicas start, stop and fail. */
  @Test
  void rolloutKeepsItsBoundsWhileReplicasFail() {
    for (int seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      int desired = 1 + random.nextInt(8);
      int maxSurge = random.nextInt(3);
      int maxUnavailable = maxSurge == 0 ? 1 + random.nextInt(2) : random.nextInt(3);
      List<Replica> replicas = new ArrayList<>();
      long lastNumber = 0;
      for (int i = 0; i < desired; i++) {
        replicas.add(new Replica(++lastNumber, false, true, false));
      }
      boolean oneFailed = false;
      for (int step = 0; step < 400; step++) {
        Plan plan = RolloutPlanner.plan(desired, replicas, maxSurge, maxUnavailable, false);
        long ready = replicas.stream().filter(Replica::ready).count();
        long readyToStop =
            replicas.stream()
                .filter(r -> r.ready() && plan.stopNumbers().contains(r.number()))
                .count();
        assertTrue(
            readyToStop == 0 || ready - readyToStop >= desired - maxUnavailable, "seed " + seed);
        assertTrue(
            plan.startCount() == 0 || replicas.size() + plan.startCount() <= desired + maxSurge,
            "seed " + seed);
        List<Replica> next = new ArrayList<>();
        for (Replica replica : replicas) {
          boolean stopping = replica.stopping() || plan.stopNumbers().contains(replica.number());
          if (stopping && random.nextInt(3) == 0) {
            continue;
          }
          boolean becomesReady = !stopping && (replica.ready() || random.nextInt(3) == 0);
          if (becomesReady && !oneFailed && random.nextInt(20) == 0) {
            becomesReady = false;
            oneFailed = true;
          }
          next.add(new Replica(replica.number(), replica.upToDate(), becomesReady, stopping));
        }
        for (int i = 0; i < plan.startCount(); i++) {
          next.add(new Replica(++lastNumber, true, false, false));
        }
        replicas = next;
      }
      int replicaCount = replicas.size();
      assertEquals(desired, replicaCount, "seed " + seed);
      assertTrue(replicas.stream().allMatch(r -> r.upToDate() && r.ready()), "seed " + seed);
    }
  }

  @Test
  void recreateStrategyStartsAfterAllOldReplicasAreGone() {
    Replica oldReplica = new Replica(1, false, true, false);
    assertEquals(new Plan(0, Set.of(1L)), RolloutPlanner.plan(1, List.of(oldReplica), 0, 0, true));
    Replica stoppingReplica = new Replica(1, false, false, true);
    assertEquals(
        new Plan(0, Set.of()), RolloutPlanner.plan(1, List.of(stoppingReplica), 0, 0, true));
    assertEquals(new Plan(1, Set.of()), RolloutPlanner.plan(1, List.of(), 0, 0, true));
  }
}
