package io.violetrail.kubernetes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.kubernetes.Rollout.Plan;
import io.violetrail.kubernetes.Rollout.Replica;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubeJson;
import io.violetrail.wire.kubernetes.Quantity;
import io.violetrail.wire.kubernetes.Selector;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Texts that are read strictly, the table of fields, and rollouts step by step. */
class FormsTest {
  @Test
  void quantitiesAndDurationsAreReadStrictly() {
    assertEquals("0.500", Quantity.amount("500m").orElseThrow().toPlainString());
    assertEquals(0, Quantity.amount("1.5Gi").orElseThrow().intValueExact() - 1610612736);
    assertEquals("2000", Quantity.amount("2e3").orElseThrow().toPlainString());
    assertEquals(5400.0, Quantity.seconds("1.5h").orElseThrow());
    for (String bad : List.of("", " 1", "1 ", "-1", "+1", "1.", ".5", "1Kb", "0x10", "1,5", "١")) {
      assertTrue(Quantity.amount(bad).isEmpty(), bad);
      assertTrue(Quantity.seconds(bad + "s").isEmpty() || bad.isEmpty(), bad);
    }
    assertTrue(Quantity.seconds("90").isEmpty(), "a duration names its unit");
  }

  @Test
  void selectorsAreReadStrictly() throws Exception {
    ObjectNode labels = Cbor.map().put("app", "scan").put("tier", "a");
    for (String yes :
        List.of("", "app=scan", "app==scan,tier in (a, b)", "x!=y", "tier,!x", "x notin (a)")) {
      assertTrue(Selector.parse(yes).matches(labels), yes);
    }
    for (String no : List.of("app=", "app!=scan", "!tier", "tier notin (a,b)", "x in (a)")) {
      assertTrue(!Selector.parse(no).matches(labels), no);
    }
    for (String bad :
        List.of("=", "a=b,", "a in b", "a in (b", "a=b c", "-a", "a=b;c=d", "a=b,,c")) {
      assertThrows(KubeJson.Malformed.class, () -> Selector.parse(bad), bad);
    }
  }

  @Test
  void theTableInTheDocumentsIsTheSchema() throws IOException {
    String page = Files.readString(Path.of("docs/kubernetes.md"));
    StringBuilder table = new StringBuilder();
    for (Kind kind : Kind.values()) {
      for (Schema.Field f : new Schema().fields(kind)) {
        table.append(
            "| %s | `%s` | %s | %s |%n"
                .formatted(kind.published(), f.path(), f.taken() ? "taken" : "refused", f.means()));
      }
    }
    assertTrue(page.contains(table), "the table is to be:\n" + table);
  }

  /** Whatever runs, stops or is lost on the way, both bounds hold at each step. */
  @Test
  void aRolloutKeepsItsBoundsWhileReplicasComeAndGo() {
    for (int seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      int wanted = 1 + random.nextInt(8);
      int surge = random.nextInt(3);
      int missing = surge == 0 ? 1 + random.nextInt(2) : random.nextInt(3);
      List<Replica> all = new ArrayList<>();
      long number = 0;
      for (int i = 0; i < wanted; i++) {
        all.add(new Replica(++number, false, true, false));
      }
      boolean lost = false;
      for (int step = 0; step < 400; step++) {
        Plan plan = Rollout.plan(wanted, all, surge, missing, false);
        long ready = all.stream().filter(Replica::ready).count();
        long taken = all.stream().filter(r -> r.ready() && plan.end().contains(r.number())).count();
        assertTrue(taken == 0 || ready - taken >= wanted - missing, "seed " + seed);
        assertTrue(
            plan.begin() == 0 || all.size() + plan.begin() <= wanted + surge, "seed " + seed);
        List<Replica> next = new ArrayList<>();
        for (Replica r : all) {
          boolean ending = r.ending() || plan.end().contains(r.number());
          if (ending && random.nextInt(3) == 0) {
            continue;
          }
          boolean runs = !ending && (r.ready() || random.nextInt(3) == 0);
          if (runs && !lost && random.nextInt(20) == 0) {
            runs = false;
            lost = true;
          }
          next.add(new Replica(r.number(), r.current(), runs, ending));
        }
        for (int i = 0; i < plan.begin(); i++) {
          next.add(new Replica(++number, true, false, false));
        }
        all = next;
      }
      int all3 = all.size();
      assertEquals(wanted, all3, "seed " + seed);
      assertTrue(all.stream().allMatch(r -> r.current() && r.ready()), "seed " + seed);
    }
  }

  @Test
  void aRecreationBeginsWhenAllFormerReplicasAreGone() {
    Replica former = new Replica(1, false, true, false);
    assertEquals(new Plan(0, Set.of(1L)), Rollout.plan(1, List.of(former), 0, 0, true));
    Replica ending = new Replica(1, false, false, true);
    assertEquals(new Plan(0, Set.of()), Rollout.plan(1, List.of(ending), 0, 0, true));
    assertEquals(new Plan(1, Set.of()), Rollout.plan(1, List.of(), 0, 0, true));
  }
}
