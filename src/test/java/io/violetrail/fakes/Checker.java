package io.violetrail.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Team;
import io.violetrail.model.Amounts;
import io.violetrail.net.Http;
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
public final class Checker {
  private static final double EVERY_S = 0.25;
  private static final double ROUNDING = 1e-6;

  private final World world;
  private final Map<String, ObjectNode> jobs = new HashMap<>();
  private final Set<String> abortAsked = new HashSet<>();
  private final Map<String, Set<Integer>> done = new HashMap<>();

  /** When each job was first told to be accepted: as of which moment of {@link #clock}. */
  private final Map<String, Long> accepted = new HashMap<>();

  private final Map<String, Told> over = new HashMap<>();
  private final Map<String, Double> cancelledS = new HashMap<>();

  /** Orders what users ask and are answered, also within one moment of the world's time. */
  private long clock;

  /** For each cancelled job, how long after the confirmation its last task was seen. */
  public final Map<String, Double> lastSeenAfterS = new HashMap<>();

  /** Starts of tasks whose cancellation had been confirmed, which {@code cancel_s} still allows. */
  public int startsAfterCancellation;

  private final Liveness liveness;

  private final RunningTasks running = new RunningTasks(this::resourcesOfJob);

  /** An end that a user was told of, and when. */
  private record Told(String status, long at) {}

  Checker(World world) {
    this.world = world;
    this.liveness = new Liveness(world, this);
  }

  void start() {
    world.at(EVERY_S, this::tick);
  }

  /** From now on nothing is out of order any more, so that nothing may be left waiting either. */
  public void troublesOver() {
    liveness.troublesOver();
  }

  private void tick() {
    cancelledS.forEach(
        (job, toldS) -> {
          for (FakeWorker w : present(job)) {
            lastSeenAfterS.put(job, world.now() - toldS);
            if (world.now() - toldS > world.workers.cancelS()) {
              broken("ran_cancelled", job + " is still on " + w.id);
            }
          }
        });
    liveness.tick();
    start();
  }

  /** The workers that have a task of the job, those whose leases have run out left out. */
  private Collection<FakeWorker> present(String job) {
    running.workersOf(job).forEach(FakeWorker::expire);
    return running.workersOf(job);
  }

  /** A task is on a worker from now on. */
  void arrived(FakeWorker worker, String task) {
    running.arrived(worker, task);
  }

  /** A task is on a worker no more. */
  void departed(FakeWorker worker, String task) {
    running.departed(worker, task);
  }

  /** Whether any worker has the task. */
  boolean isRunning(String task) {
    return !running.with(task).isEmpty();
  }

  /** What a team's tasks take on all workers. */
  Amounts usedBy(String team) {
    world.cloud.workers.values().forEach(FakeWorker::expire);
    return running.usedBy(team);
  }

  private RunningTasks.Resources resourcesOfJob(String id) {
    ObjectNode job = jobs.get(id);
    return job == null ? null : new RunningTasks.Resources(job.path("crew").asText(), amounts(job));
  }

  void broken(String rule, String what) {
    String text = rule + ": " + what;
    if (!world.broken.contains(text)) {
      world.broken.add(text);
    }
  }

  /** Accepted jobs that are not known to be over. */
  List<ObjectNode> open() {
    return accepted.keySet().stream()
        .filter(id -> !over.containsKey(id) && !abortAsked.contains(id))
        .map(jobs::get)
        .toList();
  }

  /** Accepted jobs that nobody called off. */
  List<ObjectNode> wanted() {
    return accepted.keySet().stream()
        .filter(id -> !abortAsked.contains(id))
        .map(jobs::get)
        .toList();
  }

  /** Whether a worker has carried the task out, whoever knows of it. */
  public boolean ended(String task) {
    return done.getOrDefault(jobOf(task), Set.of())
        .contains(Integer.parseInt(task.substring(task.indexOf('/') + 1)));
  }

  /** What a task takes, by its job's submission. */
  Amounts takes(String task) {
    ObjectNode job = jobs.get(jobOf(task));
    return job == null ? Amounts.NONE : amounts(job);
  }

  /** Classes and teams of which less than half is served, and classes' largest jobs. */
  public List<String> badlyServed() {
    return liveness.badlyServed();
  }

  static Amounts amounts(ObjectNode job) {
    return new Amounts(
        job.path("cores").asDouble(), job.path("gpus").asDouble(), job.path("mem_gb").asDouble());
  }

  /** A user asks; returns as of when, for {@link #answered}. */
  public long asks(String method, String path, byte[] body) {
    if (method.equals("POST") && path.endsWith("/abort")) {
      abortAsked.add(path.substring(6, path.length() - 6));
    }
    ObjectNode job = method.equals("POST") && path.equals("/work") ? map(body) : null;
    if (job != null && job.has("name_id")) {
      String id = job.get("name_id").asText();
      running.describe(id, () -> jobs.putIfAbsent(id, job));
    }
    return ++clock;
  }

  /**
   * A user has asked for something; {@code reply} is null if nobody answered. An answer must not be
   * older than one that was received before it was asked for. Answers that overlap are concurrent,
   * and either may come first; only two different ends are never allowed.
   */
  public void answered(long askedAt, String method, String path, byte[] asked, Http.Reply reply) {
    clock++;
    int status = reply == null ? 0 : reply.status();
    byte[] answer = reply == null ? null : reply.body();
    if (path.equals("/work") && method.equals("POST")) {
      ObjectNode job = map(asked);
      if (job != null && job.has("name_id")) {
        submitted(askedAt, job, status, answer);
      }
    } else if (path.startsWith("/work/")) {
      boolean abort = path.endsWith("/abort");
      String id = path.substring(6, path.length() - (abort ? 6 : 0));
      if (status == 404 && knownBefore(id, askedAt)) {
        broken("forgotten", id + " gets 404");
      }
      if (!abort) {
        liveness.asked(id, status == 200);
      }
      if (status == 200) {
        told(askedAt, id, map(answer));
      }
    }
  }

  private boolean knownBefore(String id, long askedAt) {
    return accepted.containsKey(id) && accepted.get(id) < askedAt;
  }

  private void submitted(long askedAt, ObjectNode job, int status, byte[] answer) {
    String id = job.get("name_id").asText();
    if ((status == 400 || status == 422) && knownBefore(id, askedAt)) {
      broken("forgotten", id + " was accepted and is refused with " + status);
    }
    if (status == 200 || status == 201) {
      // A repeat may say anything beside the id; the first one that was taken in is the job.
      if (!accepted.containsKey(id)) {
        running.describe(id, () -> jobs.put(id, job));
        String never = Liveness.neverRuns(world, job);
        if (never != null) {
          broken("senseless", id + " is accepted: " + never);
        }
      }
      accepted.putIfAbsent(id, clock);
      told(askedAt, id, map(answer));
    }
  }

  private void told(long askedAt, String id, ObjectNode answer) {
    String status = answer == null ? "" : answer.path("status").asText();
    if (!jobs.containsKey(id)) {
      broken("invented", id + " is " + status);
      return;
    }
    accepted.putIfAbsent(id, clock);
    boolean ends = status.equals("done") || status.equals("cancelled");
    Told before = over.get(id);
    if (before != null && !before.status().equals(status) && (ends || before.at() < askedAt)) {
      broken("went_back", id + " was " + before.status() + " and is " + status);
    }
    if (!ends) {
      return;
    }
    over.putIfAbsent(id, new Told(status, clock));
    if (status.equals("done")) {
      int tasks = jobs.get(id).get("pieces").asInt();
      if (done.getOrDefault(id, Set.of()).size() < tasks) {
        broken("not_done", id + " is called done");
      }
    } else {
      if (!abortAsked.contains(id)) {
        broken("went_back", id + " is called cancelled, which nobody asked for");
      }
      cancelledS.putIfAbsent(id, world.now());
    }
  }

  /** A task is done on a worker. */
  public void done(String task) {
    done.computeIfAbsent(jobOf(task), j -> new HashSet<>())
        .add(Integer.parseInt(task.substring(task.indexOf('/') + 1)));
  }

  /** A worker is about to start a task. */
  public void starts(FakeWorker on, String task) {
    for (FakeWorker w : List.copyOf(running.with(task))) {
      w.expire();
      if (w != on && w.has(task)) {
        broken("ran_twice", task + " is on " + w.id + " and starts on " + on.id);
      }
    }
    String id = jobOf(task);
    Double toldS = cancelledS.get(id);
    startsAfterCancellation += toldS == null ? 0 : 1;
    liveness.started(task);
    if (toldS != null && world.now() - toldS > world.workers.cancelS()) {
      broken("ran_cancelled", task + " starts on " + on.id);
    }
    ObjectNode job = jobs.get(id);
    if (job != null) {
      quota(job);
      place(on, task, job);
    }
  }

  private void quota(ObjectNode job) {
    Team team = world.limitOf.apply(job.path("crew").asText());
    if (team == null || withinLimit(team, running.usedBy(team.name()).plus(amounts(job)))) {
      return;
    }
    // The sum may still hold tasks of workers whose leases have run out.
    Amounts used = usedBy(team.name()).plus(amounts(job));
    if (!withinLimit(team, used)) {
      broken("quota", team.name() + " uses " + used.cpus() + " cores and " + used.gpus() + " gpus");
    }
  }

  private static boolean withinLimit(Team team, Amounts used) {
    return used.cpus() <= team.cpusMax() + ROUNDING && used.gpus() <= team.gpusMax() + ROUNDING;
  }

  private void place(FakeWorker on, String task, ObjectNode job) {
    if (!placeAllowed(on, task, job)) {
      // Tasks of workers whose leases have run out do not count.
      present(jobOf(task));
      if (!placeAllowed(on, task, job)) {
        broken("wrong_place", task + " starts on " + on.id + " in " + on.zone);
      }
    }
  }

  private boolean placeAllowed(FakeWorker on, String task, ObjectNode job) {
    JsonNode types = job.path("hosttypes");
    boolean typeAllowed = !types.isArray() || types.isEmpty();
    for (JsonNode t : types) {
      typeAllowed |= t.asText().equals(on.type);
    }
    String only = job.path("yard").asText("");
    boolean oneZone = job.path("one_zone").asBoolean();
    boolean apart = job.path("apart").asBoolean();
    boolean allowed =
        typeAllowed
            && (only.isEmpty() || only.equals("null") || only.equals(on.zone))
            && (!on.spot || job.path("loaners").asBoolean());
    if (!allowed || (!oneZone && !apart)) {
      return allowed;
    }
    int sameZone = 0;
    int otherZones = 0;
    for (var e : running.ofJob(jobOf(task)).entrySet()) {
      if (!e.getKey().equals(task)) {
        for (FakeWorker w : e.getValue()) {
          sameZone += w.zone.equals(on.zone) ? 1 : 0;
          otherZones += w.zone.equals(on.zone) ? 0 : 1;
        }
      }
    }
    int most = (job.path("pieces").asInt() + 1) / 2;
    return !(oneZone && otherZones > 0) && !(apart && sameZone + 1 > most);
  }

  static String jobOf(String task) {
    return task.substring(0, task.indexOf('/'));
  }

  private static ObjectNode map(byte[] body) {
    try {
      return body == null || body.length == 0 ? null : Objects.requireNonNull(Cbor.parse(body));
    } catch (Cbor.Malformed e) {
      return null;
    }
  }
}
