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
 * Users who submit jobs at scheduled times, whatever the answers, repeat what is refused, and ask
 * about each job until it is over. Waits count from the scheduled time, so a slow answer hides
 * none.
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
  private final Map<String, UrgentJob> urgentJobs = new HashMap<>();

  /** From the scheduled submission to the answer that the job is accepted. */
  final Histogram acceptedMillis = new Histogram(MAX_RECORDED_MILLIS, 3);

  /** From the scheduled submission of an urgent job to the start of the last of its tasks. */
  final Histogram urgentStartMillis = new Histogram(MAX_RECORDED_MILLIS, 3);

  long submittedCount;
  long acceptedCount;
  long refusedCount;
  long unansweredCount;
  long givenUpCount;
  long doneCount;
  long startCount;

  private int widestGangStarted;

  /** Counted submissions that are not accepted yet, with their scheduled times. */
  private final Map<String, Double> scheduledSecondsOfOpenSubmissions = new HashMap<>();

  private boolean counting;
  private double countingSinceSeconds = Double.POSITIVE_INFINITY;

  /** An urgent job whose tasks have not all started. */
  private static final class UrgentJob {
    final double scheduledAtSeconds;
    final int taskCount;
    final Set<String> startedTasks = new HashSet<>();

    UrgentJob(double scheduledAtSeconds, int taskCount) {
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

  /** Submits with exponential pauses for so long. */
  void start(double durationSeconds) {
    scheduleNext(simulation.nowSeconds(), simulation.nowSeconds() + durationSeconds);
  }

  /** What is submitted from now on counts. */
  void beginCounting() {
    counting = true;
    countingSinceSeconds = simulation.nowSeconds();
    startCount = 0;
  }

  private void scheduleNext(double previousSeconds, double untilSeconds) {
    double atSeconds = previousSeconds - Math.log(1 - random.nextDouble()) / jobsPerSecond;
    if (atSeconds < untilSeconds) {
      simulation.runAfter(
          Math.max(0, atSeconds - simulation.nowSeconds()),
          () -> {
            submit(jobMix.nextJob(), atSeconds);
            scheduleNext(atSeconds, untilSeconds);
          });
    }
  }

  private void submit(ObjectNode job, double scheduledAtSeconds) {
    int taskCount = job.get("pieces").asInt();
    if (counting) {
      submittedCount++;
      scheduledSecondsOfOpenSubmissions.put(job.get("name_id").asText(), scheduledAtSeconds);
      if (job.get("jobclass").asText().equals(JobMix.URGENT_CLASS)) {
        urgentJobs.put(job.get("name_id").asText(), new UrgentJob(scheduledAtSeconds, taskCount));
      }
    }
    send(job, scheduledAtSeconds, counting);
  }

  private void send(ObjectNode job, double scheduledAtSeconds, boolean counted) {
    simulation
        .callController("user", anyController(), "POST", "/work", Cbor.encode(job))
        .whenComplete((reply, failure) -> handleReply(job, scheduledAtSeconds, counted, reply));
  }

  private void handleReply(
      ObjectNode job, double scheduledAtSeconds, boolean counted, HttpClient.ClientReply reply) {
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
        .callController("user", anyController(), "GET", "/work/" + id, null)
        .whenComplete(
            (reply, failure) -> {
              if (isFinished(reply)) {
                doneCount++;
              } else {
                simulation.runAfter(POLL_INTERVAL_SECONDS, () -> poll(id));
              }
            });
  }

  private static boolean isFinished(HttpClient.ClientReply reply) {
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
    UrgentJob job = urgentJobs.get(id);
    if (job != null && job.startedTasks.add(task) && job.startedTasks.size() == job.taskCount) {
      urgentJobs.remove(id);
      widestGangStarted = Math.max(widestGangStarted, job.taskCount);
      record(urgentStartMillis, simulation.nowSeconds() - job.scheduledAtSeconds);
    }
  }

  /** The part of all counted submissions that was accepted within so many seconds. */
  double acceptedShareWithin(double seconds) {
    long inTimeCount = acceptedMillis.getCountBetweenValues(0, Math.round(seconds * 1000));
    return inTimeCount / (double) Math.max(1, submittedCount - countTooRecent(seconds));
  }

  /** Submissions that are not answered yet and still may be in time. */
  private long countTooRecent(double seconds) {
    return scheduledSecondsOfOpenSubmissions.values().stream()
        .filter(at -> simulation.nowSeconds() - at <= seconds)
        .count();
  }

  /** The part of urgent jobs that came so many seconds ago and had not started by then. */
  double lateUrgentShare(double withinSeconds) {
    long lateCount = countLateUrgent(withinSeconds);
    long inTimeCount = urgentStartMillis.getCountBetweenValues(0, Math.round(withinSeconds * 1000));
    long totalCount = urgentStartMillis.getTotalCount() + lateCount;
    return totalCount == 0 ? 0 : 1 - inTimeCount / (double) totalCount;
  }

  int widestGangStarted() {
    return widestGangStarted;
  }

  /** Urgent jobs that came in time to have started within so many seconds, and have not. */
  long countLateUrgent(double withinSeconds) {
    return urgentJobs.values().stream()
        .filter(j -> simulation.nowSeconds() - j.scheduledAtSeconds > withinSeconds)
        .count();
  }

  /** Task starts a second since counting began. */
  double startsPerSecond() {
    return startCount / Math.max(1, simulation.nowSeconds() - countingSinceSeconds);
  }

  private String anyController() {
    return ClusterSimulation.controllerName(random.nextInt(simulation.controllerCount()));
  }

  private static void record(Histogram histogram, double seconds) {
    histogram.recordValue(Math.min(MAX_RECORDED_MILLIS, Math.max(0, Math.round(seconds * 1000))));
  }
}
