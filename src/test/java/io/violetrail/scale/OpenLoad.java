package io.violetrail.scale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.fakes.World;
import io.violetrail.net.Http;
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
final class OpenLoad {
  private static final double RETRY_S = 1;
  private static final double GIVE_UP_S = 60;
  private static final double POLL_S = 5;
  private static final long LONGEST_MS = 600_000;

  private final World world;
  private final JobMix mix;
  private final Random random;
  private final double jobsPerS;
  private final Map<String, Urgent> urgent = new HashMap<>();

  /** From the scheduled submission to the answer that the job is accepted. */
  final Histogram acceptedMs = new Histogram(LONGEST_MS, 3);

  /** From the scheduled submission of an urgent job to the start of the last of its tasks. */
  final Histogram urgentStartMs = new Histogram(LONGEST_MS, 3);

  long submitted;
  long accepted;
  long refused;
  long unanswered;
  long givenUp;
  long done;
  long starts;

  private int widestGangStarted;

  /** Counted submissions that are not accepted yet, with their scheduled times. */
  private final Map<String, Double> underWay = new HashMap<>();

  private boolean counts;
  private double countsSinceS = Double.POSITIVE_INFINITY;

  /** An urgent job whose tasks have not all started. */
  private static final class Urgent {
    final double scheduledS;
    final int tasks;
    final Set<String> started = new HashSet<>();

    Urgent(double scheduledS, int tasks) {
      this.scheduledS = scheduledS;
      this.tasks = tasks;
    }
  }

  OpenLoad(World world, LoadShape shape, long seed) {
    this.world = world;
    this.random = new Random(seed);
    this.mix = new JobMix(shape, random);
    this.jobsPerS = shape.jobsPerS();
    world.onStart = this::started;
  }

  /** Submits with exponential pauses for so long. */
  void start(double forS) {
    scheduleNext(world.now(), world.now() + forS);
  }

  /** What is submitted from now on counts. */
  void beginCounting() {
    counts = true;
    countsSinceS = world.now();
    starts = 0;
  }

  private void scheduleNext(double after, double until) {
    double at = after - Math.log(1 - random.nextDouble()) / jobsPerS;
    if (at < until) {
      world.at(
          Math.max(0, at - world.now()),
          () -> {
            submit(mix.next(), at);
            scheduleNext(at, until);
          });
    }
  }

  private void submit(ObjectNode job, double scheduledS) {
    int tasks = job.get("pieces").asInt();
    if (counts) {
      submitted++;
      underWay.put(job.get("name_id").asText(), scheduledS);
      if (job.get("jobclass").asText().equals(JobMix.URGENT)) {
        urgent.put(job.get("name_id").asText(), new Urgent(scheduledS, tasks));
      }
    }
    send(job, scheduledS, counts);
  }

  private void send(ObjectNode job, double scheduledS, boolean counted) {
    world
        .ask("user", anyController(), "POST", "/work", Cbor.bytes(job))
        .whenComplete((reply, failure) -> answered(job, scheduledS, counted, reply));
  }

  private void answered(ObjectNode job, double scheduledS, boolean counted, Http.Reply reply) {
    int status = reply == null ? 0 : reply.status();
    if (status == 200 || status == 201) {
      if (counted) {
        accepted++;
        underWay.remove(job.get("name_id").asText());
        record(acceptedMs, world.now() - scheduledS);
      }
      world.at(POLL_S, () -> poll(job.get("name_id").asText()));
      return;
    }
    if (counted) {
      refused += status == 0 ? 0 : 1;
      unanswered += status == 0 ? 1 : 0;
    }
    if (world.now() - scheduledS < GIVE_UP_S) {
      world.at(RETRY_S, () -> send(job, scheduledS, counted));
    } else if (counted) {
      givenUp++;
    }
  }

  private void poll(String id) {
    world
        .ask("user", anyController(), "GET", "/work/" + id, null)
        .whenComplete(
            (reply, failure) -> {
              if (isOver(reply)) {
                done++;
              } else {
                world.at(POLL_S, () -> poll(id));
              }
            });
  }

  private static boolean isOver(Http.Reply reply) {
    try {
      return reply != null
          && reply.ok()
          && Set.of("done", "cancelled").contains(Cbor.parse(reply.body()).path("status").asText());
    } catch (Cbor.Malformed e) {
      return false;
    }
  }

  private void started(String task) {
    starts++;
    String id = task.substring(0, task.indexOf('/'));
    Urgent job = urgent.get(id);
    if (job != null && job.started.add(task) && job.started.size() == job.tasks) {
      urgent.remove(id);
      widestGangStarted = Math.max(widestGangStarted, job.tasks);
      record(urgentStartMs, world.now() - job.scheduledS);
    }
  }

  /** The part of all counted submissions that was accepted within so many seconds. */
  double acceptedWithin(double seconds) {
    long inTime = acceptedMs.getCountBetweenValues(0, Math.round(seconds * 1000));
    return inTime / (double) Math.max(1, submitted - tooRecent(seconds));
  }

  /** Submissions that are not answered yet and still may be in time. */
  private long tooRecent(double seconds) {
    return underWay.values().stream().filter(at -> world.now() - at <= seconds).count();
  }

  /** The part of urgent jobs that came so many seconds ago and had not started by then. */
  double urgentLateShare(double withinS) {
    long late = urgentLate(withinS);
    long inTime = urgentStartMs.getCountBetweenValues(0, Math.round(withinS * 1000));
    long all = urgentStartMs.getTotalCount() + late;
    return all == 0 ? 0 : 1 - inTime / (double) all;
  }

  int widestGangStarted() {
    return widestGangStarted;
  }

  /** Urgent jobs that came in time to have started within so many seconds, and have not. */
  long urgentLate(double withinS) {
    return urgent.values().stream().filter(j -> world.now() - j.scheduledS > withinS).count();
  }

  /** Task starts a second since counting began. */
  double startsPerS() {
    return starts / Math.max(1, world.now() - countsSinceS);
  }

  private String anyController() {
    return World.name(random.nextInt(world.controllers()));
  }

  private static void record(Histogram histogram, double seconds) {
    histogram.recordValue(Math.min(LONGEST_MS, Math.max(0, Math.round(seconds * 1000))));
  }
}
