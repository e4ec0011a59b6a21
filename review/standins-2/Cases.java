import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs one case: {@code Cases NAME RECORD}. Ends with 1 if the rule was broken, 0 if it held, and 2
 * if the case could not run. With the variable TROUBLE=0 the disruption is left out.
 */
public final class Cases {
  private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  /** The time for which a job may wait by the operators' page. */
  private static final double WAIT_S = 90;

  private final World world;

  private Cases(World world) {
    this.world = world;
  }

  /** Tells that the case could not run, because what it needs before the disruption failed. */
  private static final class CannotRun extends RuntimeException {
    CannotRun(String reason) {
      super(reason);
    }
  }

  public static void main(String[] args) throws IOException {
    World world = new World(Path.of(args[1]));
    int verdict;
    try {
      world.start();
      boolean broken = new Cases(world).run(args[0]);
      verdict = broken ? 1 : 0;
      world.close("verdict: the rule " + (broken ? "was broken" : "held"));
    } catch (CannotRun | IOException exception) {
      world.close("verdict: the case could not run: " + exception);
      verdict = 2;
    }
    System.exit(verdict);
  }

  private boolean run(String name) throws IOException {
    return switch (name) {
      case "service" -> serviceCountsAsFreeRoom();
      case "apart" -> lostReplicaOfJobThatIsSpread();
      case "accelerators" -> processorJobBesideAcceleratorJobs();
      case "tiny" -> manyTinyTasks();
      case "wide" -> wideJobs();
      default -> throw new IllegalArgumentException(name);
    };
  }

  private interface Condition {
    boolean holds();
  }

  private boolean waitFor(double seconds, Condition condition) {
    double until = world.now() + seconds;
    while (world.now() < until) {
      if (condition.holds()) {
        return true;
      }
      World.sleep(0.1);
    }
    return condition.holds();
  }

  private void require(double seconds, String what, Condition condition) {
    if (!waitFor(seconds, condition)) {
      throw new CannotRun(what);
    }
    world.log("%s", what);
  }

  private int running(String job) {
    return world.cloud.all().stream().mapToInt(worker -> worker.count(job, "running")).sum();
  }

  private Worker machineOf(String job) {
    return world.cloud.all().stream().filter(worker -> worker.runs(job)).findFirst().orElseThrow();
  }

  private void submit(ObjectNode job, double runSeconds) throws IOException {
    if (!world.submit(0, job, runSeconds)) {
      throw new CannotRun("the job was not accepted: " + job);
    }
  }

  private boolean isDone(String id) {
    return world.get(0, "/work/" + id).text("status").equals("done");
  }

  /** Polls every 5 s as users do; returns whether the condition held within the time. */
  private boolean pollUntil(double seconds, String id, Condition condition) {
    double until = world.now() + seconds;
    if (until > 114) {
      throw new CannotRun("too little time is left");
    }
    while (world.now() < until) {
      world.poll((int) (world.now() / 5) % 3, id);
      world.log("workers: %d tasks of %s run", running(id), id);
      if (waitFor(Math.min(5, until - world.now()), condition)) {
        return true;
      }
    }
    return false;
  }

  private boolean serviceCountsAsFreeRoom() throws IOException {
    ObjectNode job = World.job("job-000101", "recall-train", "batch", 8, 4);
    submit(job.put("loaners", true), 40);
    require(25, "all tasks of job-000101 run", () -> running("job-000101") == 8);
    submit(World.job("job-000102", "card-server", "daemon", 8, 4), 1e9);
    require(25, "all replicas of job-000102 run", () -> running("job-000102") == 8);
    if (TROUBLE) {
      world.cloud.take(machineOf("job-000101"));
    }
    int rentals = world.cloud.rentalCount();
    boolean ran =
        pollUntil(
            WAIT_S, "job-000101", () -> isDone("job-000101") || (TROUBLE && running("job-000101") > 0));
    world.poll(0, "job-000101");
    world.log(
        "requests to rent since then: %d; machines that are up: %d",
        world.cloud.rentalCount() - rentals, world.cloud.all().size());
    if (!ran && TROUBLE) {
      world.cancel(0, "job-000102");
      world.log(
          "after the service was cancelled, tasks of job-000101 run: %b",
          waitFor(4, () -> running("job-000101") > 0));
    }
    return !ran;
  }

  private boolean lostReplicaOfJobThatIsSpread() throws IOException {
    submit(
        World.job("job-000201", "deck-check", "batch", 1, 2).put("yard", "millrow").put("loaners", true),
        7);
    submit(World.job("job-000202", "deck-check", "batch", 1, 2).put("yard", "harbour"), 7);
    require(
        25,
        "a machine is up in each of two zones",
        () -> running("job-000201") == 1 && running("job-000202") == 1);
    ObjectNode service = World.job("job-000203", "card-server", "daemon", 2, 4);
    submit(service.put("apart", true).put("loaners", true), 1e9);
    require(20, "both replicas of job-000203 run", () -> running("job-000203") == 2);
    require(
        30,
        "the two other jobs are done",
        () -> isDone("job-000201") && isDone("job-000202"));
    if (TROUBLE) {
      world.cloud.take(
          world.cloud.all().stream()
              .filter(worker -> worker.runs("job-000203") && worker.zone.equals("millrow"))
              .findFirst()
              .orElseThrow(() -> new CannotRun("no replica in millrow")));
    }
    int rentals = world.cloud.rentalCount();
    if (!TROUBLE) {
      pollUntil(WAIT_S, "job-000203", () -> running("job-000203") < 2);
      return running("job-000203") < 2;
    }
    boolean ran = pollUntil(WAIT_S, "job-000203",
        () -> running("job-000203") == 2);
    world.poll(0, "job-000203");
    world.log("requests to rent since then: %d", world.cloud.rentalCount() - rentals);
    return !ran;
  }

  private boolean processorJobBesideAcceleratorJobs() throws IOException {
    submit(World.job("job-000301", "card-server", "daemon", 1, 40), 1e9);
    require(20, "job-000301 runs", () -> running("job-000301") == 1);
    Worker machine = machineOf("job-000301");
    if (TROUBLE) {
      for (int i = 0; i < 3; i++) {
        ObjectNode job = World.job("job-00031" + i, "recall-train", "batch", 2, 6);
        job.put("gpus", 1.0).put("mem_gb", 24.0).putArray("hosttypes").add("glint16");
        submit(job.put("loaners", true), 2);
      }
    }
    submit(World.job("job-000302", "corpus-scan", "batch", 1, 40), 5);
    if (TROUBLE) {
      require(
          25,
          "the jobs with accelerators are done",
          () -> isDone("job-000310") && isDone("job-000311") && isDone("job-000312"));
    }
    boolean ran = pollUntil(WAIT_S, "job-000302", () -> isDone("job-000302"));
    world.poll(0, "job-000302");
    world.log(
        "%s (%s in %s) is up: %b, its free processors: %.0f",
        machine.name, machine.flavor.name(), machine.zone, machine.isUp(), machine.freeCpus());
    return !ran && machine.isUp();
  }

  private boolean manyTinyTasks() throws IOException {
    int pieces = TROUBLE ? 3000 : 400;
    ObjectNode job = World.job("job-000501", "corpus-scan", "batch", pieces, 0.01);
    submit(job.put("mem_gb", 0.01), 20);
    boolean done = pollUntil(WAIT_S, "job-000501", () -> isDone("job-000501"));
    world.poll(0, "job-000501");
    List<Worker> workers = world.cloud.all();
    for (Worker worker : workers) {
      world.log(
          "%s: largest report %d bytes, reports refused %d, leases that ran out %d",
          worker.name, worker.largestReportBytes, worker.refusedReports, worker.expiredLeases);
    }
    return !done && workers.stream().anyMatch(worker -> worker.expiredLeases > 0);
  }

  private boolean wideJobs() throws IOException {
    submit(World.job("job-000601", "deck-check", "batch", 8, 4), 300);
    require(20, "all tasks of job-000601 run", () -> running("job-000601") == 8);
    double cpus = 0.0001;
    AtomicInteger acceptedCount = new AtomicInteger();
    List<Thread> users = new ArrayList<>();
    for (int i = 0; i < (TROUBLE ? 12 : 3); i++) {
      int number = i;
      ObjectNode job =
          World.job("job-0006%02d".formatted(10 + i), "corpus-scan", "batch",
              TROUBLE ? 100_000 : 100, cpus);
      job.put("mem_gb", cpus / 2);
      users.add(
          new Thread(
              () -> {
                if (world.submitOnce(number % 3, job, 20)) {
                  acceptedCount.incrementAndGet();
                }
              }));
    }
    users.forEach(Thread::start);
    for (Thread user : users) {
      try {
        user.join();
      } catch (InterruptedException exception) {
        throw new IllegalStateException(exception);
      }
    }
    int accepted = acceptedCount.get();
    if (accepted == 0) {
      throw new CannotRun("no wide job was accepted");
    }
    world.log("accepted wide jobs: %d", accepted);
    double until = world.now() + 85;
    if (until > 108) {
      throw new CannotRun("too little time is left");
    }
    double answeredAt = world.now();
    double longestSilence = 0;
    while (world.now() < until) {
      for (int controller = 0; controller < 3; controller++) {
        if (world.poll(controller, "job-000601").status() == 200) {
          answeredAt = world.now();
        }
      }
      world.log("workers: %d tasks of job-000601 run", running("job-000601"));
      longestSilence = Math.max(longestSilence, world.now() - answeredAt);
      World.sleep(Math.min(3, Math.max(0, until - world.now())));
    }
    world.log(
        "longest time without an answer about job-000601: %.0f s; its tasks that still run: %d;"
            + " controller processes that are alive: all = %b",
        longestSilence, running("job-000601"), world.allControllersRun());
    return longestSilence >= 75;
  }
}
