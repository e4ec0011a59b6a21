package io.violetrail.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Team;
import io.violetrail.model.Amounts;
import io.violetrail.model.MachineType;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** What must happen in the end: questions are answered, and nothing is left waiting. */
final class Liveness {
  /** After the troubles no question about an accepted job stays unanswered for longer. */
  private static final double ANSWER_S = 75;

  /** After the troubles nothing that could run waits for longer. */
  private static final double WAIT_S = 90;

  /** Within which the largest jobs of a class are to begin. */
  private static final double BEGIN_S = 240;

  private static final List<String> FIELDS =
      List.of(
          "jobclass",
          "crew",
          "shape",
          "urgency",
          "pieces",
          "cores",
          "gpus",
          "mem_gb",
          "bundle",
          "pull_gb",
          "one_zone",
          "apart",
          "loaners",
          "guess_s",
          "snapshot_s",
          "flush_s");

  private final World world;
  private final Checker checker;
  private final Map<String, Double> unansweredS = new HashMap<>();
  private final Map<String, Double> couldRunS = new HashMap<>();
  private final Map<String, Double> acceptedS = new HashMap<>();
  private final Map<String, Double> begunS = new HashMap<>();
  private double calmS = Double.POSITIVE_INFINITY;

  Liveness(World world, Checker checker) {
    this.world = world;
    this.checker = checker;
  }

  void troublesOver() {
    calmS = world.now();
    unansweredS.replaceAll((id, since) -> world.now());
  }

  void asked(String id, boolean answered) {
    if (answered) {
      unansweredS.remove(id);
    } else {
      unansweredS.putIfAbsent(id, world.now());
    }
  }

  void started(String task) {
    begunS.putIfAbsent(Checker.jobOf(task), world.now());
    couldRunS.remove(Checker.jobOf(task));
  }

  void tick() {
    for (ObjectNode job : checker.wanted()) {
      acceptedS.putIfAbsent(job.get("name_id").asText(), world.now());
    }
    if (world.now() < calmS) {
      return;
    }
    for (ObjectNode job : checker.open()) {
      String id = job.get("name_id").asText();
      Double since = unansweredS.get(id);
      if (since != null && world.now() - since > ANSWER_S) {
        checker.broken("forgotten", "no question about " + id + " is answered");
      }
      if (!couldRun(job)) {
        couldRunS.remove(id);
      } else if (world.now() - couldRunS.computeIfAbsent(id, x -> world.now()) > WAIT_S) {
        checker.broken("left_waiting", id + " waits though there is room");
      }
    }
  }

  /** Whether a task of the job waits while machines that fit have room and its team may. */
  private boolean couldRun(ObjectNode job) {
    String id = job.get("name_id").asText();
    int waiting = 0;
    for (int i = 0; i < job.get("pieces").asInt(); i++) {
      String task = id + "/" + i;
      waiting += checker.isRunning(task) || checker.ended(task) ? 0 : 1;
    }
    if (waiting == 0) {
      return false;
    }
    int together = job.path("shape").asText().equals("ensemble") ? waiting : 1;
    Amounts task = Checker.amounts(job);
    Team team = world.limitOf.apply(job.path("crew").asText());
    Amounts left =
        new Amounts(team.cpusMax(), team.gpusMax(), Double.POSITIVE_INFINITY)
            .minus(checker.usedBy(team.name()));
    if (left.count(task) < together) {
      return false;
    }
    if (job.path("one_zone").asBoolean()) {
      return world.cloud.workers.values().stream()
          .map(w -> w.zone)
          .distinct()
          .anyMatch(zone -> room(job, task, w -> w.zone.equals(zone)) >= together);
    }
    return room(job, task, w -> true) >= together;
  }

  private int room(ObjectNode job, Amounts task, Predicate<FakeWorker> where) {
    int room = 0;
    for (FakeWorker w : world.cloud.workers.values()) {
      if (w.able() && where.test(w) && allows(job, w.type, w.zone, w.spot)) {
        room += w.free(checker::takes).count(task);
      }
    }
    return room;
  }

  private static boolean allows(ObjectNode job, String type, String zone, boolean spot) {
    JsonNode types = job.path("hosttypes");
    boolean fits = !types.isArray() || types.isEmpty();
    for (JsonNode t : types) {
      fits |= t.asText().equals(type);
    }
    String only = job.path("yard").asText("");
    boolean anywhere = only.isEmpty() || only.equals("null");
    return fits && (anywhere || only.equals(zone)) && (!spot || job.path("loaners").asBoolean());
  }

  /** Why the job should not have been taken in; null if it should. */
  static String neverRuns(World world, ObjectNode job) {
    for (String field : FIELDS) {
      if (!job.hasNonNull(field)) {
        return "it lacks " + field;
      }
    }
    Team team = world.limitOf.apply(job.get("crew").asText());
    if (team == null) {
      return "no such team";
    }
    Amounts task = Checker.amounts(job);
    boolean fits = false;
    for (MachineType t : world.cloud.types) {
      for (String zone : t.zones()) {
        fits |= task.fitsIn(t.size()) && allows(job, t.name(), zone, false);
      }
    }
    if (!fits) {
      return "it fits no machine";
    }
    boolean together = !job.get("shape").asText().equals("batch");
    double tasks = together ? job.get("pieces").asInt() : 1;
    boolean over = task.cpus() * tasks > team.cpusMax() || task.gpus() * tasks > team.gpusMax();
    return over ? "it needs more than its team's limit" : null;
  }

  /** Classes and teams of which less than half is served, and their largest jobs. */
  List<String> badlyServed() {
    List<String> bad = new ArrayList<>();
    Map<String, List<ObjectNode>> groups = new HashMap<>();
    for (ObjectNode job : checker.wanted()) {
      for (String field : List.of("jobclass", "crew")) {
        String name = field + " " + job.path(field).asText();
        groups.computeIfAbsent(name, n -> new ArrayList<>()).add(job);
      }
    }
    groups.forEach(
        (name, all) -> {
          if (2 * all.stream().filter(this::done).count() < all.size()) {
            bad.add("less than half of " + name + " is done");
          }
          if (name.startsWith("jobclass")) {
            int most = all.stream().mapToInt(j -> j.get("pieces").asInt()).max().orElse(0);
            List<ObjectNode> largest =
                all.stream().filter(j -> j.get("pieces").asInt() == most).toList();
            if (2 * largest.stream().filter(this::begunInTime).count() < largest.size()) {
              bad.add("less than half of the largest of " + name + " begin in time");
            }
          }
        });
    return bad;
  }

  private boolean done(ObjectNode job) {
    String id = job.get("name_id").asText();
    for (int i = 0; i < job.get("pieces").asInt(); i++) {
      if (!checker.ended(id + "/" + i)) {
        return false;
      }
    }
    return true;
  }

  private boolean begunInTime(ObjectNode job) {
    String id = job.get("name_id").asText();
    Double begun = begunS.get(id);
    return begun != null && begun - acceptedS.getOrDefault(id, begun) <= BEGIN_S;
  }
}
