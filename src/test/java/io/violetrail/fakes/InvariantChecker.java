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
 * Checks the rules of the protocol against the replies that users receive and the tasks that
 * workers start. It knows jobs from their submissions; from the controllers it sees only their
 * replies to users.
 */
public final class InvariantChecker {
  private static final double CHECK_INTERVAL_SECONDS = 0.25;
  private static final double ROUNDING_TOLERANCE = 1e-6;

  private final ClusterSimulation simulation;
  private final Map<String, ObjectNode> submissions = new HashMap<>();
  private final Set<String> cancellationRequested = new HashSet<>();
  private final Map<String, Set<Integer>> doneTasks = new HashMap<>();

  /** The value of {@link #logicalClock} at the first reply that accepted the job, by job id. */
  private final Map<String, Long> acceptedAt = new HashMap<>();

  private final Map<String, ReportedOutcome> outcomes = new HashMap<>();
  private final Map<String, Double> cancelledAtSeconds = new HashMap<>();

  /** Orders users' requests and replies, including those at the same virtual time. */
  private long logicalClock;

  /** Task starts after the job's confirmed cancellation, which {@code cancel_s} still allows. */
  private int startsAfterCancellation;

  /** The machine on which an attempt was first launched, by "task attempt number". */
  private final Map<String, String> workerByAttempt = new HashMap<>();

  private final LivenessChecker liveness;

  private final RunningTasks runningTasks = new RunningTasks(this::resourcesOfJob);

  /** A final status that a user has received, and the logical time of that reply. */
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

  /** Declares that no fault is injected any more; from now on liveness is checked as well. */
  public void faultsEnded() {
    liveness.faultsEnded();
  }

  /** Lets {@link #faultsEnded} also check that no job waits beside machines that can be rented. */
  public void countRentableMachines() {
    liveness.countRentableMachines();
  }

  private void check() {
    cancelledAtSeconds.forEach(
        (job, confirmedAtSeconds) -> {
          for (FakeWorker worker : workersWithValidLease(job)) {
            if (simulation.nowSeconds() - confirmedAtSeconds
                > simulation.workerSettings().cancelTimeoutSeconds()) {
              reportViolation(
                  "ran_cancelled", "job " + job + " still has a task on worker " + worker.id());
            }
          }
        });
    liveness.check();
    start();
  }

  /** Returns the workers that run a task of the job, after expiring their leases where due. */
  private Collection<FakeWorker> workersWithValidLease(String job) {
    runningTasks.workersOf(job).forEach(FakeWorker::expireLeaseIfDue);
    return runningTasks.workersOf(job);
  }

  /** Returns how many of the job's tasks are on machines, by zone, after expiring due leases. */
  Map<String, Integer> taskCountByZone(String job) {
    Map<String, Integer> taskCounts = new HashMap<>();
    workersWithValidLease(job);
    for (Collection<FakeWorker> holders : runningTasks.workersByTask(job).values()) {
      holders.forEach(holder -> taskCounts.merge(holder.zone(), 1, Integer::sum));
    }
    return taskCounts;
  }

  /** Records that a task occupies a worker from now on. */
  void taskArrived(FakeWorker worker, String task) {
    runningTasks.taskArrived(worker, task);
  }

  /** Records that a task no longer occupies a worker. */
  void taskDeparted(FakeWorker worker, String task) {
    runningTasks.taskDeparted(worker, task);
  }

  /** Returns whether the task occupies any worker, including one with an expired lease. */
  boolean isRunning(String task) {
    return !runningTasks.workersRunning(task).isEmpty();
  }

  /** Returns the resources of a team's tasks on all workers, after expiring leases where due. */
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

  /** Returns accepted jobs without a reported outcome and without a cancellation request. */
  List<ObjectNode> unfinishedJobs() {
    return acceptedAt.keySet().stream()
        .filter(id -> !outcomes.containsKey(id) && !cancellationRequested.contains(id))
        .map(submissions::get)
        .toList();
  }

  /** Returns accepted jobs without a cancellation request. */
  List<ObjectNode> uncancelledJobs() {
    return acceptedAt.keySet().stream()
        .filter(id -> !cancellationRequested.contains(id))
        .map(submissions::get)
        .toList();
  }

  /** Returns whether a worker has completed the task, even if it has not been reported yet. */
  public boolean isTaskDone(String task) {
    return doneTasks
        .getOrDefault(jobOf(task), Set.of())
        .contains(Integer.parseInt(task.substring(task.indexOf('/') + 1)));
  }

  /** Returns a task's resources by its job's submission; none if the job is unknown. */
  Resources resourcesOfTask(String task) {
    ObjectNode job = submissions.get(jobOf(task));
    return job == null ? Resources.NONE : resourcesOfOneTask(job);
  }

  /** Returns a description of each group that {@link LivenessChecker} finds underserved. */
  public List<String> findUnderservedGroups() {
    return liveness.findUnderservedGroups();
  }

  static Resources resourcesOfOneTask(ObjectNode job) {
    return new Resources(
        job.path("cores").asDouble(), job.path("gpus").asDouble(), job.path("mem_gb").asDouble());
  }

  /** Records a user's request; returns its logical time, to be passed to {@link #recordReply}. */
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
   * Checks the reply to a user's request; {@code reply} is null if there was none. A reply must not
   * show an older state than a reply that was received before the request was sent. Replies to
   * overlapping requests are concurrent, so either may show the older state; two different outcomes
   * of a job are never allowed.
   */
  public void recordReply(
      long requestClock,
      String method,
      String path,
      byte[] requestBody,
      HttpClient.ClientResponse reply) {
    logicalClock++;
    int status = reply == null ? 0 : reply.status();
    byte[] replyBody = reply == null ? null : reply.body();
    if (path.equals("/work") && method.equals("POST")) {
      ObjectNode job = parseOrNull(requestBody);
      if (job != null && job.has("name_id")) {
        recordSubmission(requestClock, job, status, replyBody);
      }
    } else if (path.startsWith("/work/")) {
      boolean cancels = path.endsWith("/abort");
      String id = path.substring(6, path.length() - (cancels ? 6 : 0));
      if (status == 404 && wasAcceptedBefore(id, requestClock)) {
        reportViolation("forgotten", "accepted job " + id + " is answered with status 404");
      }
      if (!cancels) {
        liveness.recordStatusRequest(id, status == 200);
      }
      if (status == 200) {
        recordStatus(requestClock, id, parseOrNull(replyBody));
      }
    }
  }

  private boolean wasAcceptedBefore(String id, long requestClock) {
    return acceptedAt.containsKey(id) && acceptedAt.get(id) < requestClock;
  }

  private void recordSubmission(long requestClock, ObjectNode job, int status, byte[] replyBody) {
    String id = job.get("name_id").asText();
    if ((status == 400 || status == 422) && wasAcceptedBefore(id, requestClock)) {
      reportViolation(
          "forgotten", "accepted job " + id + " is submitted again and rejected with " + status);
    }
    if (status == 200 || status == 201) {
      // A resubmission may differ in all but the id; the first accepted one defines the job.
      if (!acceptedAt.containsKey(id)) {
        runningTasks.updateJobDescription(id, () -> submissions.put(id, job));
        String rejectionReason = LivenessChecker.findRejectionReason(simulation, job);
        if (rejectionReason != null) {
          reportViolation("senseless", "job " + id + " is accepted although " + rejectionReason);
        }
      }
      acceptedAt.putIfAbsent(id, logicalClock);
      recordStatus(requestClock, id, parseOrNull(replyBody));
    }
  }

  private void recordStatus(long requestClock, String id, ObjectNode reply) {
    String status = reply == null ? "" : reply.path("status").asText();
    if (!submissions.containsKey(id)) {
      reportViolation("invented", "job " + id + " was never submitted and has status " + status);
      return;
    }
    acceptedAt.putIfAbsent(id, logicalClock);
    boolean isFinal = status.equals("done") || status.equals("cancelled");
    ReportedOutcome earlier = outcomes.get(id);
    if (earlier != null
        && !earlier.status().equals(status)
        && (isFinal || earlier.reportedAt() < requestClock)) {
      reportViolation(
          "went_back", "job " + id + " was " + earlier.status() + " and is now " + status);
    }
    if (!isFinal) {
      return;
    }
    outcomes.putIfAbsent(id, new ReportedOutcome(status, logicalClock));
    if (status.equals("done")) {
      int taskCount = submissions.get(id).get("pieces").asInt();
      if (doneTasks.getOrDefault(id, Set.of()).size() < taskCount) {
        reportViolation("not_done", "job " + id + " is reported as done before all tasks are done");
      }
    } else {
      if (!cancellationRequested.contains(id)) {
        reportViolation("went_back", "job " + id + " is reported as cancelled without a request");
      }
      cancelledAtSeconds.putIfAbsent(id, simulation.nowSeconds());
    }
  }

  /** Records that a worker has completed a task. */
  public void recordTaskDone(String task) {
    doneTasks
        .computeIfAbsent(jobOf(task), j -> new HashSet<>())
        .add(Integer.parseInt(task.substring(task.indexOf('/') + 1)));
  }

  /**
   * Checks that an attempt is not launched on a second machine. Tasks of gangs are left out: a
   * replacement completes its gang under the same attempt number.
   */
  void recordLaunch(FakeWorker worker, String task, long attempt) {
    ObjectNode job = submissions.get(jobOf(task));
    if (job == null || job.path("shape").asText().equals("ensemble")) {
      return;
    }
    String former = workerByAttempt.putIfAbsent(task + " attempt " + attempt, worker.id());
    if (former != null && !former.equals(worker.id())) {
      reportViolation(
          "reused_attempt",
          "attempt %d of task %s is launched on %s and was launched on %s"
              .formatted(attempt, task, worker.id(), former));
    }
  }

  /** Checks the rules for a task that a worker is about to start. */
  public void recordTaskStart(FakeWorker worker, String task) {
    for (FakeWorker holder : List.copyOf(runningTasks.workersRunning(task))) {
      holder.expireLeaseIfDue();
      if (holder != worker && holder.runsTask(task)) {
        reportViolation(
            "ran_twice",
            "task " + task + " runs on " + holder.id() + " and also starts on " + worker.id());
      }
    }
    String id = jobOf(task);
    Double confirmedAtSeconds = cancelledAtSeconds.get(id);
    startsAfterCancellation += confirmedAtSeconds == null ? 0 : 1;
    liveness.recordTaskStart(task);
    if (confirmedAtSeconds != null
        && simulation.nowSeconds() - confirmedAtSeconds
            > simulation.workerSettings().cancelTimeoutSeconds()) {
      reportViolation(
          "ran_cancelled", "cancelled task " + task + " starts on worker " + worker.id());
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
    // The sum may still include tasks of workers whose leases have expired.
    Resources used = usedBy(team.name()).plus(resourcesOfOneTask(job));
    if (!withinLimit(team, used)) {
      reportViolation(
          "quota",
          "team " + team.name() + " uses " + used.cpus() + " cores and " + used.gpus() + " gpus");
    }
  }

  private static boolean withinLimit(Team team, Resources used) {
    return used.cpus() <= team.maxCpus() + ROUNDING_TOLERANCE
        && used.gpus() <= team.maxGpus() + ROUNDING_TOLERANCE;
  }

  private void checkPlacement(FakeWorker worker, String task, ObjectNode job) {
    if (!isPlacementAllowed(worker, task, job)) {
      // Expires leases where due, so that tasks of workers with an expired lease do not count.
      workersWithValidLease(jobOf(task));
      if (!isPlacementAllowed(worker, task, job)) {
        reportViolation(
            "wrong_place",
            "task " + task + " starts on worker " + worker.id() + " in zone " + worker.zone());
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
