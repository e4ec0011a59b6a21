package io.violetrail.simulation.digest;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Users of all teams who submit, resubmit, query and cancel jobs, each request at a random
 * controller.
 */
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

  /** Performs the users' actions of one step, which lasts up to a second of virtual time. */
  void runStep() {
    switch (random.nextInt(12)) {
      case 0, 1, 2, 3 -> submitNewJob();
      case 4 -> resubmitRecentJob();
      case 5 -> cancelRecentJob();
      case 6, 7, 8 -> queryRecentJob();
      default -> {
        // No request in this step.
      }
    }
  }

  /**
   * Requests cancellation of every submitted job. This ends open jobs, in particular services,
   * which would not end by themselves.
   */
  void cancelAllJobs() {
    jobs.forEach(job -> cancel(jobId(job)));
  }

  /** Queries the status of every submitted job. */
  void queryAllJobs() {
    jobs.forEach(
        job ->
            cluster.callController("user", randomController(), "GET", "/work/" + jobId(job), null));
  }

  private void submitNewJob() {
    ObjectNode job = newJob("job-" + (jobs.size() + 1));
    jobs.add(job);
    submit(job);
  }

  private void resubmitRecentJob() {
    if (!jobs.isEmpty()) {
      ObjectNode job = recentJob();
      submit(job);
      submit(job);
    }
  }

  private void cancelRecentJob() {
    if (!jobs.isEmpty()) {
      cancel(jobId(recentJob()));
    }
  }

  private void queryRecentJob() {
    if (!jobs.isEmpty()) {
      cluster.callController(
          "user", randomController(), "GET", "/work/" + jobId(recentJob()), null);
    }
  }

  private void submit(ObjectNode job) {
    cluster.callController("user", randomController(), "POST", "/work", Cbor.encode(job));
  }

  private void cancel(String id) {
    byte[] emptyBody = Cbor.encode(Cbor.newMap());
    cluster.callController("user", randomController(), "POST", "/work/" + id + "/abort", emptyBody);
  }

  private ObjectNode newJob(String id) {
    ObjectNode job =
        SimulatedUser.jobRequest(id, 1 + random.nextInt(random.nextInt(4) == 0 ? 16 : 4));
    boolean service = random.nextInt(15) == 0;
    job.put("shape", service ? "daemon" : randomElement(SHAPES))
        .put("urgency", randomElement(PRIORITIES));
    job.put("crew", randomElement(TEAMS))
        .put("jobclass", random.nextInt(4) == 0 ? "urgent" : "plain");
    job.put("cores", randomElement(CORES)).put("loaners", random.nextInt(3) == 0);
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

  private static String jobId(ObjectNode job) {
    return job.get("name_id").asText();
  }

  private String randomController() {
    return ClusterSimulation.controllerName(random.nextInt(cluster.controllerCount()));
  }

  private <T> T randomElement(List<T> choices) {
    return choices.get(random.nextInt(choices.size()));
  }
}
