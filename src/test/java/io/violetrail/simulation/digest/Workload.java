package io.violetrail.simulation.digest;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Users of all teams who submit, repeat, ask about and cancel jobs, each at any controller. */
final class Workload {
  private static final List<String> TEAMS = List.of("red", "blue", "gold");
  private static final List<String> PRIORITIES = List.of("prod", "high", "normal", "normal", "low");
  private static final List<String> SHAPES = List.of("batch", "batch", "batch", "ensemble");
  private static final List<Double> CORES = List.of(0.5, 1.0, 2.0, 4.0, 8.0);

  private final ClusterSimulation cluster;
  private final Random random;
  private final List<ObjectNode> jobs = new ArrayList<>();

  Workload(ClusterSimulation simulation, Random random) {
    this.cluster = simulation;
    this.random = random;
  }

  /** What users do within about a second. */
  void act() {
    switch (random.nextInt(12)) {
      case 0, 1, 2, 3 -> submitNewJob();
      case 4 -> repeatSubmission();
      case 5 -> cancelJob();
      case 6, 7, 8 -> askAboutJob();
      default -> {
        // Nothing happens this time.
      }
    }
  }

  /** Every job that is still open, services above all, is cancelled. */
  void cancelAll() {
    jobs.forEach(job -> cancel(id(job)));
  }

  /** Every job's end is asked for. */
  void askAboutAll() {
    jobs.forEach(
        job -> cluster.callController("user", anyController(), "GET", "/work/" + id(job), null));
  }

  private void submitNewJob() {
    ObjectNode job = newJob("job-" + (jobs.size() + 1));
    jobs.add(job);
    submit(job);
  }

  private void repeatSubmission() {
    if (!jobs.isEmpty()) {
      ObjectNode job = recentJob();
      submit(job);
      submit(job);
    }
  }

  private void cancelJob() {
    if (!jobs.isEmpty()) {
      cancel(id(recentJob()));
    }
  }

  private void askAboutJob() {
    if (!jobs.isEmpty()) {
      cluster.callController("user", anyController(), "GET", "/work/" + id(recentJob()), null);
    }
  }

  private void submit(ObjectNode job) {
    cluster.callController("user", anyController(), "POST", "/work", Cbor.encode(job));
  }

  private void cancel(String id) {
    byte[] nothing = Cbor.encode(Cbor.newMap());
    cluster.callController("user", anyController(), "POST", "/work/" + id + "/abort", nothing);
  }

  private ObjectNode newJob(String id) {
    ObjectNode job =
        SimulatedUser.jobRequest(id, 1 + random.nextInt(random.nextInt(4) == 0 ? 16 : 4));
    boolean service = random.nextInt(15) == 0;
    job.put("shape", service ? "daemon" : oneOf(SHAPES)).put("urgency", oneOf(PRIORITIES));
    job.put("crew", oneOf(TEAMS)).put("jobclass", random.nextInt(4) == 0 ? "urgent" : "plain");
    job.put("cores", oneOf(CORES)).put("loaners", random.nextInt(3) == 0);
    job.put("one_zone", random.nextInt(5) == 0).put("apart", random.nextInt(8) == 0);
    job.put("guess_s", 5.0 + random.nextInt(30));
    if (random.nextInt(4) == 0) {
      job.put("snapshot_s", 5.0).put("flush_s", 1.0);
    }
    if (random.nextInt(5) == 0) {
      job.put("yard", random.nextBoolean() ? "a" : "b");
    }
    return job;
  }

  private ObjectNode recentJob() {
    return jobs.get(jobs.size() - 1 - random.nextInt(Math.min(jobs.size(), 12)));
  }

  private static String id(ObjectNode job) {
    return job.get("name_id").asText();
  }

  private String anyController() {
    return ClusterSimulation.controllerName(random.nextInt(cluster.controllerCount()));
  }

  private <T> T oneOf(List<T> choices) {
    return choices.get(random.nextInt(choices.size()));
  }
}
