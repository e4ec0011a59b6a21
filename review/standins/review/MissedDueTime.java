package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Schedules that are due every minute, where a run waits until the one before is over. The first
 * runs end shortly after the second due time; in these seconds the state service answers
 * transactions slowly. Each due time must have one run.
 */
final class MissedDueTime {
  private static final int SCHEDULES_PER_CONTROLLER = 4;
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Less than the 1.5 s for which a controller waits, so that no answer is lost. */
  private static final double ANSWER_DELAY_SECONDS = 1.2;

  /** How long after the second due time the first runs end. */
  private static final double END_AFTER_DUE_SECONDS = 4;

  /** How long the answers are late, around the end of the first runs. */
  private static final double SLOW_SECONDS = 8;

  /** The second run must have begun this long after the first one is over. */
  private static final double LATEST_SECONDS = 30;

  public static void main(String[] args) throws Exception {
    Script.run(args, World.Site.mitaHubFleet(), "calendar.toml", new MissedDueTime()::play);
  }

  private int play(World world, boolean trouble) throws Exception {
    int count = world.controllerCount();
    for (int i = 0; i < count; i++) {
      world.start(i);
    }
    for (int i = 0; i < count; i++) {
      if (!world.awaitReady(i, 20)) {
        return 2;
      }
      world.addMachine("dar-room", false, i, 0);
    }
    boolean takenIn =
        Script.await(15, () -> world.machines().stream().allMatch(worker -> worker.token() > 0));
    if (!takenIn) {
      return 2;
    }
    // The zone's offset is chosen so that a minute begins 10 s from now.
    long firstDue = (System.currentTimeMillis() / 1000 + 10) * 1000;
    int offset = (int) Math.floorMod(-(firstDue / 1000), 60L);
    String zone = String.format("+00:00:%02d", offset);
    double firstDueAt = Kit.now() + (firstDue - System.currentTimeMillis()) / 1000.0;
    double secondDueAt = firstDueAt + 60;
    world.setOwnJobs(secondDueAt + END_AFTER_DUE_SECONDS, 1);
    List<String> names = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      for (int n = 0; n < SCHEDULES_PER_CONTROLLER; n++) {
        String name = "bill-" + world.label(i) + "-" + n;
        if (!create(world, i, name, zone)) {
          return 2;
        }
        names.add(name);
      }
    }
    Kit.log("the first due time is %s", Instant.ofEpochMilli(firstDue));
    sleepUntil(secondDueAt - 15);
    for (String name : names) {
      if (!hasRun(world, name, Instant.ofEpochMilli(firstDue), "first")) {
        return 2;
      }
    }
    sleepUntil(secondDueAt + END_AFTER_DUE_SECONDS - 1);
    // Runs that begin from now on do not end during the test.
    world.setOwnJobs(Kit.now() + 600, 1);
    if (trouble) {
      Kit.log("the answers to transactions take %.1f s from now on", ANSWER_DELAY_SECONDS);
      world.state.setTxnAnswerDelay(ANSWER_DELAY_SECONDS);
    }
    Kit.sleep(SLOW_SECONDS);
    world.state.setTxnAnswerDelay(0);
    Kit.log("the answers to transactions are prompt again");
    sleepUntil(secondDueAt + END_AFTER_DUE_SECONDS + LATEST_SECONDS);
    Instant secondDue = Instant.ofEpochMilli(firstDue).plus(Duration.ofSeconds(60));
    int missing = 0;
    for (String name : names) {
      if (!hasRun(world, name, secondDue, "second")) {
        missing++;
      }
    }
    System.out.println(missing + " of " + names.size() + " schedules have no run for " + secondDue);
    return missing > 0 ? 1 : 0;
  }

  private static void sleepUntil(double at) {
    Kit.sleep(at - Kit.now());
  }

  private static boolean create(World world, int controller, String name, String zone) {
    String text =
        "{\"name\":\""
            + name
            + "\",\"due\":\"every 1 minutes\",\"zone\":\""
            + zone
            + "\",\"overlap\":\"wait\",\"deadline_s\":600,\"job\":{\"jobclass\":\"photo-check\",\"crew\":\"field-data\","
            + "\"shape\":\"batch\",\"urgency\":\"normal\",\"pieces\":1,\"cores\":1.0,\"gpus\":0.0,"
            + "\"mem_gb\":1.0,\"pull_gb\":0.1,\"one_zone\":false,\"apart\":false,"
            + "\"loaners\":false,\"guess_s\":40.0,\"snapshot_s\":0.0,\"flush_s\":0.0}}";
    Kit.Reply reply =
        Kit.user(
            "POST",
            world.apiAddress(controller),
            "/schedules",
            text.getBytes(StandardCharsets.UTF_8),
            5);
    Kit.log(
        "operator -> %s create %s: %s",
        world.label(controller),
        name,
        reply == null ? "no response" : reply.status() + " " + text(reply));
    return reply != null && reply.status() == 201;
  }

  private static String text(Kit.Reply reply) {
    return new String(reply.body(), StandardCharsets.UTF_8);
  }

  /** Returns whether any controller shows a run of the due time, open or ended. */
  private static boolean hasRun(World world, String name, Instant due, String which)
      throws Exception {
    boolean found = false;
    for (String path : new String[] {"/schedules/" + name, "/schedules/" + name + "/history"}) {
      Kit.Reply reply = ask(world, path);
      String text = reply == null ? "no response" : text(reply);
      Kit.log("operator: GET %s: %s", path, text);
      found |= reply != null && shows(JSON.readTree(reply.body()), due);
    }
    Kit.log("%s: the %s due time %s a run", name, which, found ? "has" : "HAS NOT");
    return found;
  }

  /** Asks again until a controller answers 200; reads are bounded by the state service's budget. */
  private static Kit.Reply ask(World world, String path) {
    for (int attempt = 0; attempt < 30; attempt++) {
      int controller = attempt % world.controllerCount();
      Kit.Reply reply = Kit.user("GET", world.apiAddress(controller), path, null, 2);
      if (reply != null && reply.status() == 200) {
        return reply;
      }
      Kit.sleep(0.1);
    }
    return null;
  }

  private static boolean shows(JsonNode node, Instant due) {
    if (node.isObject() && due.toString().equals(node.path("due").asText())) {
      return true;
    }
    for (JsonNode child : node) {
      if (shows(child, due)) {
        return true;
      }
    }
    return false;
  }
}
