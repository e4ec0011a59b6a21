package io.violetrail.kubernetes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.kubernetes.RolloutPlanner.Plan;
import io.violetrail.kubernetes.RolloutPlanner.Replica;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubernetesJson;
import io.violetrail.wire.kubernetes.LabelSelector;
import io.violetrail.wire.kubernetes.Quantity;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Texts that are read strictly, the table of fields, and rollouts step by step. */
class KubernetesFormatsTest {
  @Test
  void quantitiesAndDurationsAreParsedStrictly() {
    assertEquals("0.500", Quantity.parseAmount("500m").orElseThrow().toPlainString());
    assertEquals(0, Quantity.parseAmount("1.5Gi").orElseThrow().intValueExact() - 1610612736);
    assertEquals("2000", Quantity.parseAmount("2e3").orElseThrow().toPlainString());
    assertEquals(5400.0, Quantity.parseDurationSeconds("1.5h").orElseThrow());
    for (String malformed :
        List.of("", " 1", "1 ", "-1", "+1", "1.", ".5", "1Kb", "0x10", "1,5", "١")) {
      assertTrue(Quantity.parseAmount(malformed).isEmpty(), malformed);
      assertTrue(
          Quantity.parseDurationSeconds(malformed + "s").isEmpty() || malformed.isEmpty(),
          malformed);
    }
    assertTrue(Quantity.parseDurationSeconds("90").isEmpty(), "a duration names its unit");
  }

  @Test
  void labelSelectorsAreParsedStrictly() throws Exception {
    ObjectNode labels = Cbor.newMap().put("app", "scan").put("tier", "a");
    for (String matching :
        List.of("", "app=scan", "app==scan,tier in (a, b)", "x!=y", "tier,!x", "x notin (a)")) {
      assertTrue(LabelSelector.parse(matching).matches(labels), matching);
    }
    for (String nonMatching :
        List.of("app=", "app!=scan", "!tier", "tier notin (a,b)", "x in (a)")) {
      assertTrue(!LabelSelector.parse(nonMatching).matches(labels), nonMatching);
    }
    for (String malformed :
        List.of("=", "a=b,", "a in b", "a in (b", "a=b c", "-a", "a=b;c=d", "a=b,,c")) {
      assertThrows(
          KubernetesJson.MalformedRequestException.class,
          () -> LabelSelector.parse(malformed),
          malformed);
    }
  }

  @Test
  void documentedFieldTableMatchesTheSchema() throws IOException {
    String page = Files.readString(Path.of("docs/kubernetes.md"));
    StringBuilder table = new StringBuilder();
    for (ObjectKind kind : ObjectKind.values()) {
      for (ManifestSchema.Field field : new ManifestSchema().listFields(kind)) {
        table.append(
            "| %s | `%s` | %s | %s |%n"
                .formatted(
                    kind.publishedName(),
                    field.path(),
                    field.supported() ? "taken" : "refused",
                    field.meaning()));
      }
    }
    assertTrue(page.contains(table), "the table is to be:\n" + table);
  }

  /** Whatever runs, stops or is lost on the way, both bounds hold at each step. */
  @Test
  void rolloutKeepsItsBoundsWhileReplicasFail() {
    for (int seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      int wanted = 1 + random.nextInt(8);
      int maxSurge = random.nextInt(3);
      int maxUnavailable = maxSurge == 0 ? 1 + random.nextInt(2) : random.nextInt(3);
      List<Replica> replicas = new ArrayList<>();
      long lastNumber = 0;
      for (int i = 0; i < wanted; i++) {
        replicas.add(new Replica(++lastNumber, false, true, false));
      }
      boolean oneFailed = false;
      for (int step = 0; step < 400; step++) {
        Plan plan = RolloutPlanner.plan(wanted, replicas, maxSurge, maxUnavailable, false);
        long ready = replicas.stream().filter(Replica::ready).count();
        long readyEnding =
            replicas.stream()
                .filter(r -> r.ready() && plan.stopNumbers().contains(r.number()))
                .count();
        assertTrue(
            readyEnding == 0 || ready - readyEnding >= wanted - maxUnavailable, "seed " + seed);
        assertTrue(
            plan.startCount() == 0 || replicas.size() + plan.startCount() <= wanted + maxSurge,
            "seed " + seed);
        List<Replica> next = new ArrayList<>();
        for (Replica replica : replicas) {
          boolean ending = replica.stopping() || plan.stopNumbers().contains(replica.number());
          if (ending && random.nextInt(3) == 0) {
            continue;
          }
          boolean becomesReady = !ending && (replica.ready() || random.nextInt(3) == 0);
          if (becomesReady && !oneFailed && random.nextInt(20) == 0) {
            becomesReady = false;
            oneFailed = true;
          }
          next.add(new Replica(replica.number(), replica.upToDate(), becomesReady, ending));
        }
        for (int i = 0; i < plan.startCount(); i++) {
          next.add(new Replica(++lastNumber, true, false, false));
        }
        replicas = next;
      }
      int replicaCount = replicas.size();
      assertEquals(wanted, replicaCount, "seed " + seed);
      assertTrue(replicas.stream().allMatch(r -> r.upToDate() && r.ready()), "seed " + seed);
    }
  }

  @Test
  void recreateStrategyStartsAfterAllOldReplicasAreGone() {
    Replica former = new Replica(1, false, true, false);
    assertEquals(new Plan(0, Set.of(1L)), RolloutPlanner.plan(1, List.of(former), 0, 0, true));
    Replica ending = new Replica(1, false, false, true);
    assertEquals(new Plan(0, Set.of()), RolloutPlanner.plan(1, List.of(ending), 0, 0, true));
    assertEquals(new Plan(1, Set.of()), RolloutPlanner.plan(1, List.of(), 0, 0, true));
  }
}
