package io.violetrail.tools.scale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.net.HttpClient;
import io.violetrail.wire.Cbor;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.HdrHistogram.Histogram;

/**
 * An open-loop load: users submit jobs at scheduled times regardless of earlier replies, retry
 * refused submissions, and poll each job until it is finished. Latencies count from the scheduled
 * time, so that a slow reply does not hide the wait of later submissions.
 */
final class OpenLoopLoad {
  private static final double RETRY_DELAY_SECONDS = 1;
  private static final double GIVE_UP_AFTER_SECONDS = 60;
  private static final double POLL_INTERVAL_SECONDS = 5;
  private static final long MAX_RECORDED_MILLIS = 600_000;

  private final ClusterSimulation simulation;
  private final JobMix jobMix;
  private final Random random;
  private final double jobsPerSecond;
  private final Map<String, PendingUrgentJob> pendingUrgentJobs = new HashMap<>();

  /** Time from the scheduled submission to the reply that accepts the job. */
  final Histogram acceptedMillis = new Histogram(MAX_RECORDED_MILLIS, 3);

  /** Time from the scheduled submission of an urgent job to the start of its last task. */
  final Histogram urgentStartMillis = new Histogram(MAX_RECORDED_MILLIS, 3);

  long submittedCount;
  long acceptedCount;
  long refusedCount;
  long unansweredCount;
  long givenUpCount;
  long doneCount;
  long startCount;

  private int widestGangStarted;

  /** The scheduled times of counted submissions that are not accepted yet, by job. */
  private final Map<String, Double> scheduledSecondsOfOpenSubmissions = new HashMap<>();

  private boolean counting;
  private double countingStartedAtSeconds = Double.POSITIVE_INFINITY;

  /** An urgent job with tasks that have not started. */
  private static final class PendingUrgentJob {
    final double scheduledAtSeconds;
    final int taskCount;
    final Set<String> startedTasks = new HashSet<>();

    PendingUrgentJob(double scheduledAtSeconds, int taskCount) {
      this.scheduledAtSeconds = scheduledAtSeconds;
      this.taskCount = taskCount;
    }
  }

  OpenLoopLoad(ClusterSimulation simulation, LoadShape shape, long seed) {
    this.simulation = simulation;
    this.random = new Random(seed);
    this.jobMix = new JobMix(shape, random);
    this.jobsPerSecond = shape.jobsPerS();
    simulation.setOnTaskStarted(this::recordTaskStart);
  }

  /** Submits jobs for the given time, with exponentially distributed intervals. */
  void start(double durationSeconds) {
    scheduleNext(simulation.nowSeconds(), simulation.nowSeconds() + durationSeconds);
  }

  /** Starts counting: only jobs submitted and tasks started from now on are counted. */
  void startCounting() {
    counting = true;
    countingStartedAtSeconds = simulation.nowSeconds();
    startCount = 0;
  }

  private void scheduleNext(double previousSeconds, double untilSeconds) {
    double scheduledAtSeconds = previousSeconds - Math.log(1 - random.nextDouble()) / jobsPerSecond;
    if (scheduledAtSeconds < untilSeconds) {
      simulation.runAfter(
          Math.max(0, scheduledAtSeconds - simulation.nowSeconds()),
          () -> {
            submit(jobMix.nextJob(), scheduledAtSeconds);
            scheduleNext(scheduledAtSeconds, untilSeconds);
          });
    }
  }

  private void submit(ObjectNode job, double scheduledAtSeconds) {
    int taskCount = job.get("pieces").asInt();
    if (counting) {
      submittedCount++;
      scheduledSecondsOfOpenSubmissions.put(job.get("name_id").asText(), scheduledAtSeconds);
      if (job.get("jobclass").asText().equals(JobMix.URGENT_CLASS)) {
        pendingUrgentJobs.put(
            job.get("name_id").asText(), new PendingUrgentJob(scheduledAtSeconds, taskCount));
      }
    }
    send(job, scheduledAtSeconds, counting);
  }

  private void send(ObjectNode job, double scheduledAtSeconds, boolean counted) {
    simulation
        .callController("user", randomController(), "POST", "/work", Cbor.encode(job))
        .whenComplete((reply, failure) -> handleReply(job, scheduledAtSeconds, counted, reply));
  }

  private void handleReply(
      ObjectNode job, double scheduledAtSeconds, boolean counted, HttpClient.ClientResponse reply) {
    int status = reply == null ? 0 : reply.status();
    if (status == 200 || status == 201) {
      if (counted) {
        acceptedCount++;
        scheduledSecondsOfOpenSubmissions.remove(job.get("name_id").asText());
        record(acceptedMillis, simulation.nowSeconds() - scheduledAtSeconds);
      }
      simulation.runAfter(POLL_INTERVAL_SECONDS, () -> poll(job.get("name_id").asText()));
      return;
    }
    if (counted) {
      refusedCount += status == 0 ? 0 : 1;
      unansweredCount += status == 0 ? 1 : 0;
    }
    if (simulation.nowSeconds() - scheduledAtSeconds < GIVE_UP_AFTER_SECONDS) {
      simulation.runAfter(RETRY_DELAY_SECONDS, () -> send(job, scheduledAtSeconds, counted));
    } else if (counted) {
      givenUpCount++;
    }
  }

  private void poll(String id) {
    simulation
        .callController("user", randomController(), "GET", "/work/" + id, null)
        .whenComplete(
            (reply, failure) -> {
              if (isFinished(reply)) {
                doneCount++;
              } else {
                simulation.runAfter(POLL_INTERVAL_SECONDS, () -> poll(id));
              }
            });
  }

  private static boolean isFinished(HttpClient.ClientResponse reply) {
    try {
      return reply != null
          && reply.isOk()
          && Set.of("done", "cancelled").contains(Cbor.parse(reply.body()).path("status").asText());
    } catch (Cbor.MalformedMessageException exception) {
      return false;
    }
  }

  private void recordTaskStart(String task) {
    startCount++;
    String id = task.substring(0, task.indexOf('/'));
    PendingUrgentJob job = pendingUrgentJobs.get(id);
    if (job != null && job.startedTasks.add(task) && job.startedTasks.size() == job.taskCount) {
      pendingUrgentJobs.remove(id);
      widestGangStarted = Math.max(widestGangStarted, job.taskCount);
      record(urgentStartMillis, simulation.nowSeconds() - job.scheduledAtSeconds);
    }
  }

  /**
   * Returns the share of counted submissions that were accepted within the given time. Submissions
   * that are still open and within that time are excluded.
   */
  double acceptedShareWithin(double seconds) {
    long inTimeCount = acceptedMillis.getCountBetweenValues(0, Math.round(seconds * 1000));
    return inTimeCount / (double) Math.max(1, submittedCount - countUndecidedSubmissions(seconds));
  }

  /** Counts the open submissions that can still be accepted within the given time. */
  private long countUndecidedSubmissions(double seconds) {
    return scheduledSecondsOfOpenSubmissions.values().stream()
        .filter(scheduledAt -> simulation.nowSeconds() - scheduledAt <= seconds)
        .count();
  }

  /**
   * Returns the share of urgent jobs that took longer than the given time to start, among those
   * that have started or have been pending for longer than that.
   */
  double lateUrgentJobShare(double withinSeconds) {
    long lateCount = countLateUrgentJobs(withinSeconds);
    long inTimeCount = urgentStartMillis.getCountBetweenValues(0, Math.round(withinSeconds * 1000));
    long totalCount = urgentStartMillis.getTotalCount() + lateCount;
    return totalCount == 0 ? 0 : 1 - inTimeCount / (double) totalCount;
  }

  int widestGangStarted() {
    return widestGangStarted;
  }

  /** Counts the urgent jobs that have been pending for longer than the given time. */
  long countLateUrgentJobs(double withinSeconds) {
    return pendingUrgentJobs.values().stream()
        .filter(job -> simulation.nowSeconds() - job.scheduledAtSeconds > withinSeconds)
        .count();
  }

  /** Returns the task starts per second since counting started. */
  double startsPerSecond() {
    return startCount / Math.max(1, simulation.nowSeconds() - countingStartedAtSeconds);
  }

  private String randomController() {
    return ClusterSimulation.controllerName(random.nextInt(simulation.controllerCount()));
  }

  private static void record(Histogram histogram, double seconds) {
    histogram.recordValue(Math.min(MAX_RECORDED_MILLIS, Math.max(0, Math.round(seconds * 1000))));
  }
}
