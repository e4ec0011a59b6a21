package io.violetrail.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Team;
import io.violetrail.model.Resources;
import io.violetrail.net.HttpClient;
import io.violetrail.wire.Cbor;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * The protocol's rules, checked on what users are told and on what workers start. It knows jobs
 * from their submissions, and learns nothing from the controllers but their answers to users.
 */
public final class InvariantChecker {
  private static final double CHECK_INTERVAL_SECONDS = 0.25;
  private static final double ROUNDING_TOLERANCE = 1e-6;

  private final ClusterSimulation simulation;
  private final Map<String, ObjectNode> submissions = new HashMap<>();
  private final Set<String> cancellationRequested = new HashSet<>();
  private final Map<String, Set<Integer>> doneTasks = new HashMap<>();

  /** When each job was first told to be accepted: as of which moment of {@link #logicalClock}. */
  private final Map<String, Long> acceptedAt = new HashMap<>();

  private final Map<String, ReportedOutcome> outcomes = new HashMap<>();
  private final Map<String, Double> cancelledAtSeconds = new HashMap<>();

  /** Orders what users ask and are answered, also within one moment of virtual time. */
  private long logicalClock;

  /** Starts of tasks whose cancellation had been confirmed, which {@code cancel_s} still allows. */
  private int startsAfterCancellation;

  private final LivenessChecker liveness;

  private final RunningTasks runningTasks = new RunningTasks(this::resourcesOfJob);

  /** An end that a user was told of, and when. */
  private record ReportedOutcome(String status, long reportedAt) {}

  InvariantChecker(ClusterSimulation simulation) {
    this.simulation = simulation;
    this.liveness = new LivenessChecker(simulation, this);
  }

  public int startsAfterCancellation() {
    return startsAfterCancellation;
  }

  void start() {
    simulation.runAfter(CHECK_INTERVAL_SECONDS, this::check);
  }

  /** From now on nothing is out of order any more, so that nothing may be left waiting either. */
  public void faultsEnded() {
    liveness.faultsEnded();
  }

  private void check() {
    cancelledAtSeconds.forEach(
        (job, confirmedAtSeconds) -> {
          for (FakeWorker worker : workersWithValidLease(job)) {
            if (simulation.nowSeconds() - confirmedAtSeconds
                > simulation.workerSettings().cancelTimeoutSeconds()) {
              reportViolation("ran_cancelled", job + " is still on " + worker.id());
            }
          }
        });
    liveness.check();
    start();
  }

  /** The workers that have a task of the job, those whose leases have run out left out. */
  private Collection<FakeWorker> workersWithValidLease(String job) {
    runningTasks.workersOf(job).forEach(FakeWorker::expireLeaseIfDue);
    return runningTasks.workersOf(job);
  }

  /** A task is on a worker from now on. */
  void taskArrived(FakeWorker worker, String task) {
    runningTasks.taskArrived(worker, task);
  }

  /** A task is on a worker no more. */
  void taskDeparted(FakeWorker worker, String task) {
    runningTasks.taskDeparted(worker, task);
  }

  /** Whether any worker has the task. */
  boolean isRunning(String task) {
    return !runningTasks.workersRunning(task).isEmpty();
  }

  /** What a team's tasks take on all workers. */
  Resources usedBy(String team) {
    simulation.cloud().workers().values().forEach(FakeWorker::expireLeaseIfDue);
    return runningTasks.usedBy(team);
  }

  private RunningTasks.TeamTaskResources resourcesOfJob(String id) {
    ObjectNode job = submissions.get(id);
    return job == null
        ? null
        : new RunningTasks.TeamTaskResources(job.path("crew").asText(), resourcesOfOneTask(job));
  }

  void reportViolation(String rule, String description) {
    String violation = rule + ": " + description;
    if (!simulation.violations().contains(violation)) {
      simulation.violations().add(violation);
    }
  }

  /** Accepted jobs that are not known to be over. */
  List<ObjectNode> unfinishedJobs() {
    return acceptedAt.keySet().stream()
        .filter(id -> !outcomes.containsKey(id) && !cancellationRequested.contains(id))
        .map(submissions::get)
        .toList();
  }

  /** Accepted jobs that nobody called off. */
  List<ObjectNode> uncancelledJobs() {
    return acceptedAt.keySet().stream()
        .filter(id -> !cancellationRequested.contains(id))
        .map(submissions::get)
        .toList();
  }

  /** Whether a worker has carried the task out, whoever knows of it. */
  public boolean isTaskDone(String task) {
    return doneTasks
        .getOrDefault(jobOf(task), Set.of())
        .contains(Integer.parseInt(task.substring(task.indexOf('/') + 1)));
  }

  /** What a task takes, by its job's submission. */
  Resources resourcesOfTask(String task) {
    ObjectNode job = submissions.get(jobOf(task));
    return job == null ? Resources.NONE : resourcesOfOneTask(job);
  }

  /** Classes and teams of which less than half is served, and classes' largest jobs. */
  public List<String> findUnderservedGroups() {
    return liveness.findUnderservedGroups();
  }

  static Resources resourcesOfOneTask(ObjectNode job) {
    return new Resources(
        job.path("cores").asDouble(), job.path("gpus").asDouble(), job.path("mem_gb").asDouble());
  }

  /** A user asks; returns as of when, for {@link #recordReply}. */
  public long recordRequest(String method, String path, byte[] body) {
    if (method.equals("POST") && path.endsWith("/abort")) {
      cancellationRequested.add(path.substring(6, path.length() - 6));
    }
    ObjectNode job = method.equals("POST") && path.equals("/work") ? parseOrNull(body) : null;
    if (job != null && job.has("name_id")) {
      String id = job.get("name_id").asText();
      runningTasks.updateJobDescription(id, () -> submissions.putIfAbsent(id, job));
    }
    return ++logicalClock;
  }

  /**
   * A user has asked for something; {@code reply} is null if nobody answered. An answer must not be
   * older than one that was received before it was asked for. Answers that overlap are concurrent,
   * and either may come first; only two different ends are never allowed.
   */
  public void recordReply(
      long askedAt, String method, String path, byte[] requestBody, HttpClient.ClientReply reply) {
    logicalClock++;
    int status = reply == null ? 0 : reply.status();
    byte[] replyBody = reply == null ? null : reply.body();
    if (path.equals("/work") && method.equals("POST")) {
      ObjectNode job = parseOrNull(requestBody);
      if (job != null && job.has("name_id")) {
        recordSubmission(askedAt, job, status, replyBody);
      }
    } else if (path.startsWith("/work/")) {
      boolean cancels = path.endsWith("/abort");
      String id = path.substring(6, path.length() - (cancels ? 6 : 0));
      if (status == 404 && wasAcceptedBefore(id, askedAt)) {
        reportViolation("forgotten", id + " gets 404");
      }
      if (!cancels) {
        liveness.recordQuestion(id, status == 200);
      }
      if (status == 200) {
        recordStatus(askedAt, id, parseOrNull(replyBody));
      }
    }
  }

  private boolean wasAcceptedBefore(String id, long askedAt) {
    return acceptedAt.containsKey(id) && acceptedAt.get(id) < askedAt;
  }

  private void recordSubmission(long askedAt, ObjectNode job, int status, byte[] replyBody) {
    String id = job.get("name_id").asText();
    if ((status == 400 || status == 422) && wasAcceptedBefore(id, askedAt)) {
      reportViolation("forgotten", id + " was accepted and is refused with " + status);
    }
    if (status == 200 || status == 201) {
      // A repeat may say anything beside the id; the first one that was taken in is the job.
      if (!acceptedAt.containsKey(id)) {
        runningTasks.updateJobDescription(id, () -> submissions.put(id, job));
        String rejectionReason = LivenessChecker.findRejectionReason(simulation, job);
        if (rejectionReason != null) {
          reportViolation("senseless", id + " is accepted: " + rejectionReason);
        }
      }
      acceptedAt.putIfAbsent(id, logicalClock);
      recordStatus(askedAt, id, parseOrNull(replyBody));
    }
  }

  private void recordStatus(long askedAt, String id, ObjectNode reply) {
    String status = reply == null ? "" : reply.path("status").asText();
    if (!submissions.containsKey(id)) {
      reportViolation("invented", id + " is " + status);
      return;
    }
    acceptedAt.putIfAbsent(id, logicalClock);
    boolean isFinal = status.equals("done") || status.equals("cancelled");
    ReportedOutcome earlier = outcomes.get(id);
    if (earlier != null
        && !earlier.status().equals(status)
        && (isFinal || earlier.reportedAt() < askedAt)) {
      reportViolation("went_back", id + " was " + earlier.status() + " and is " + status);
    }
    if (!isFinal) {
      return;
    }
    outcomes.putIfAbsent(id, new ReportedOutcome(status, logicalClock));
    if (status.equals("done")) {
      int taskCount = submissions.get(id).get("pieces").asInt();
      if (doneTasks.getOrDefault(id, Set.of()).size() < taskCount) {
        reportViolation("not_done", id + " is called done");
      }
    } else {
      if (!cancellationRequested.contains(id)) {
        reportViolation("went_back", id + " is called cancelled, which nobody asked for");
      }
      cancelledAtSeconds.putIfAbsent(id, simulation.nowSeconds());
    }
  }

  /** A task is done on a worker. */
  public void recordTaskDone(String task) {
    doneTasks
        .computeIfAbsent(jobOf(task), j -> new HashSet<>())
        .add(Integer.parseInt(task.substring(task.indexOf('/') + 1)));
  }

  /** A worker is about to start a task. */
  public void recordTaskStart(FakeWorker worker, String task) {
    for (FakeWorker holder : List.copyOf(runningTasks.workersRunning(task))) {
      holder.expireLeaseIfDue();
      if (holder != worker && holder.runsTask(task)) {
        reportViolation(
            "ran_twice", task + " is on " + holder.id() + " and starts on " + worker.id());
      }
    }
    String id = jobOf(task);
    Double confirmedAtSeconds = cancelledAtSeconds.get(id);
    startsAfterCancellation += confirmedAtSeconds == null ? 0 : 1;
    liveness.recordTaskStart(task);
    if (confirmedAtSeconds != null
        && simulation.nowSeconds() - confirmedAtSeconds
            > simulation.workerSettings().cancelTimeoutSeconds()) {
      reportViolation("ran_cancelled", task + " starts on " + worker.id());
    }
    ObjectNode job = submissions.get(id);
    if (job != null) {
      checkQuota(job);
      checkPlacement(worker, task, job);
    }
  }

  private void checkQuota(ObjectNode job) {
    Team team = simulation.teamLimit().apply(job.path("crew").asText());
    if (team == null
        || withinLimit(team, runningTasks.usedBy(team.name()).plus(resourcesOfOneTask(job)))) {
      return;
    }
    // The sum may still hold tasks of workers whose leases have run out.
    Resources used = usedBy(team.name()).plus(resourcesOfOneTask(job));
    if (!withinLimit(team, used)) {
      reportViolation(
          "quota", team.name() + " uses " + used.cpus() + " cores and " + used.gpus() + " gpus");
    }
  }

  private static boolean withinLimit(Team team, Resources used) {
    return used.cpus() <= team.maxCpus() + ROUNDING_TOLERANCE
        && used.gpus() <= team.maxGpus() + ROUNDING_TOLERANCE;
  }

  private void checkPlacement(FakeWorker worker, String task, ObjectNode job) {
    if (!isPlacementAllowed(worker, task, job)) {
      // Tasks of workers whose leases have run out do not count.
      workersWithValidLease(jobOf(task));
      if (!isPlacementAllowed(worker, task, job)) {
        reportViolation("wrong_place", task + " starts on " + worker.id() + " in " + worker.zone());
      }
    }
  }

  private boolean isPlacementAllowed(FakeWorker worker, String task, ObjectNode job) {
    JsonNode types = job.path("hosttypes");
    boolean typeAllowed = !types.isArray() || types.isEmpty();
    for (JsonNode allowedType : types) {
      typeAllowed |= allowedType.asText().equals(worker.type());
    }
    String requiredZone = job.path("yard").asText("");
    boolean oneZone = job.path("one_zone").asBoolean();
    boolean apart = job.path("apart").asBoolean();
    boolean allowed =
        typeAllowed
            && (requiredZone.isEmpty()
                || requiredZone.equals("null")
                || requiredZone.equals(worker.zone()))
            && (!worker.isSpot() || job.path("loaners").asBoolean());
    if (!allowed || (!oneZone && !apart)) {
      return allowed;
    }
    int sameZone = 0;
    int otherZones = 0;
    for (var entry : runningTasks.workersByTask(jobOf(task)).entrySet()) {
      if (!entry.getKey().equals(task)) {
        for (FakeWorker holder : entry.getValue()) {
          sameZone += holder.zone().equals(worker.zone()) ? 1 : 0;
          otherZones += holder.zone().equals(worker.zone()) ? 0 : 1;
        }
      }
    }
    int maxInZone = (job.path("pieces").asInt() + 1) / 2;
    return !(oneZone && otherZones > 0) && !(apart && sameZone + 1 > maxInZone);
  }

  static String jobOf(String task) {
    return task.substring(0, task.indexOf('/'));
  }

  private static ObjectNode parseOrNull(byte[] body) {
    try {
      return body == null || body.length == 0 ? null : Objects.requireNonNull(Cbor.parse(body));
    } catch (Cbor.MalformedMessageException exception) {
      return null;
    }
  }
}
