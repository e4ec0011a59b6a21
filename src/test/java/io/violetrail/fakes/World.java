package io.violetrail.fakes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Options;
import io.violetrail.config.Settings;
import io.violetrail.config.Settings.CloudLimits;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.config.Settings.Limits;
import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.StateLimits;
import io.violetrail.config.Settings.Team;
import io.violetrail.config.Settings.Workers;
import io.violetrail.controller.Controller;
import io.violetrail.kubernetes.KubernetesApi;
import io.violetrail.model.ControllerId;
import io.violetrail.net.Http;
import io.violetrail.net.Loop;
import io.violetrail.net.Service;
import io.violetrail.tracing.SpanTraces;
import io.violetrail.tracing.Traces;
import io.violetrail.wire.Cbor;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Function;
import java.util.function.ToDoubleBiFunction;

/**
 * A whole deployment in memory: virtual time, a network that can lose and hold back, the state
 * service, the cloud, its workers, and controllers that can be killed and started again.
 */
public final class World {
  private static final double DELAY_S = 0.005;

  /** How long users and workers wait for an answer. */
  private static final double USER_S = 5;

  private static final double WORKER_S = 4;
  public static final HostPort STATE = new HostPort("state", 1);
  public static final HostPort CLOUD = new HostPort("cloud", 1);

  public final Random random;
  public final FakeState state = new FakeState(this);
  public final FakeCloud cloud = new FakeCloud(this);
  public final Map<String, Controller> nodes = new LinkedHashMap<>();
  public final List<String> broken = new ArrayList<>();

  /** Jobs that were submitted with a mistake: they fail on every machine. */
  public final Set<String> mistaken = new HashSet<>();

  /** Whether controllers serve the Kubernetes API as well. */
  public boolean kubernetes;

  /** Whether controllers fire schedules as well. */
  public boolean calendar;

  public static final int KUBERNETES_PORT = 6443;
  public final Map<String, KubernetesApi> kubernetesApis = new HashMap<>();

  /** Whether launches are kept in {@link #launches}; not where there are very many. */
  public boolean keepsLaunches = true;

  /** Every launch as "time task machine", in order. */
  public final List<String> launches = new ArrayList<>();

  public final Map<String, Team> teams = new LinkedHashMap<>();
  public Workers workers = new Workers(1, 10, 45, 4, 40);
  public final Checker checker = new Checker(this);
  public StateLimits stateLimits = new StateLimits(500, 200, 8192, 24);
  private final Map<HostPort, Service> places = new HashMap<>();
  private final Map<String, Integer> lives = new HashMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Set<String> standIns = new HashSet<>();
  private final Map<String, Double> frozenUntil = new HashMap<>();

  /** What is wrong between the hosts. */
  public final NetworkFaults network = new NetworkFaults(lives::containsKey);

  /** What was sent so far. */
  public final Traffic traffic = new Traffic();

  /**
   * Whether workers report when something changes, as the protocol has it, or by the clock only.
   */
  public boolean reportsOnChange;

  /** The operators' settings that controllers start with. */
  public Options options = Options.DEFAULTS;

  /** What the users state for their classes. */
  public List<Objective> objectives = List.of(new Objective("wait", "urgent", 8, 0.9, 1));

  /** What workers make of an answer without a token; by default what is harder on controllers. */
  public AbsentToken absentToken = AbsentToken.READ_AS_LOWEST;

  /** How long a message takes between two hosts, one way. */
  public ToDoubleBiFunction<String, String> delayS = (from, to) -> DELAY_S;

  /** How long a task really runs, from how long its worker's tasks run on average. */
  public DoubleUnaryOperator runS = averageS -> averageS;

  /** The limit that a team must keep to now; it follows the settings file unless that changes. */
  public Function<String, Team> limitOf = teams::get;

  /** Told of each worker that is made. */
  public Consumer<FakeWorker> onWorker = worker -> {};

  /** Told of each task that a worker starts. */
  public Consumer<String> onStart = task -> {};

  /** Told of each message between the hosts. */
  public MessageObserver onMessage = MessageObserver.NONE;

  private final Map<String, Long> controllerNanos = new HashMap<>();
  private final int count;
  private double now = 100;
  private long order;

  private record Event(double at, long order, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return at != o.at ? Double.compare(at, o.at) : Long.compare(order, o.order);
    }
  }

  /** Creates a cluster with an equal number of names and places; no controller is started yet. */
  public World(int controllers, long seed) {
    random = new Random(seed);
    count = controllers;
    teams.put("red", new Team("red", 0, 0, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY));
    places.put(STATE, state);
    places.put(CLOUD, cloud);
    checker.start();
  }

  /** Starts all controllers and lets them settle. */
  public World up() {
    for (int i = 0; i < count; i++) {
      start(name(i));
    }
    return run(5);
  }

  public static String name(int i) {
    return "c" + i;
  }

  /** Which controller has the name; the inverse of {@link #name}. */
  static int index(String name) {
    return Integer.parseInt(name.substring(1));
  }

  /** How many controllers the deployment has. */
  public int controllers() {
    return count;
  }

  public double now() {
    return now;
  }

  /** Runs all events of the next {@code seconds} of virtual time. */
  public World run(double seconds) {
    double until = now + seconds;
    while (!events.isEmpty() && events.peek().at <= until) {
      Event e = events.poll();
      now = Math.max(now, e.at);
      e.task.run();
    }
    now = until;
    return this;
  }

  /** Runs until the condition holds; fails the story if it does not within the time. */
  public World until(double atMost, java.util.function.BooleanSupplier condition) {
    double end = now + atMost;
    while (!condition.getAsBoolean()) {
      if (now >= end) {
        throw new AssertionError("not within " + atMost + " s");
      }
      run(0.1);
    }
    return this;
  }

  public void at(double inSeconds, Runnable task) {
    events.add(new Event(now + inSeconds, order++, task));
  }

  /** Starts a new process of the named controller. */
  public Controller start(String name) {
    int life = lives.merge(name, 1, Integer::sum);
    Settings settings = settings(name);
    NodeLoop loop = new NodeLoop(name, life);
    Http http =
        (to, method, path, body, timeout) -> call(name, life, to, method, path, body, timeout);
    Controller node =
        new Controller(settings, options, loop, http, new Random(random.nextLong()), traces(loop));
    nodes.put(name, node);
    places.put(settings.api(), guarded(name, life, node.api()));
    places.put(settings.listen(), guarded(name, life, node.peerService()));
    node.start();
    if (calendar) {
      node.serveSchedules();
    }
    if (options.configuration()) {
      node.serveConfiguration();
    }
    if (kubernetes) {
      KubernetesApi kubernetesApi = node.startKubernetes(KUBERNETES_PORT);
      kubernetesApis.put(name, kubernetesApi);
      places.put(
          new HostPort(name, KUBERNETES_PORT),
          guarded(name, life, KubeClient.served(kubernetesApi)));
    }
    return node;
  }

  private Traces traces(Loop loop) {
    return options.traceSpans() == null ? Traces.NONE : new SpanTraces(loop, options.traceSpans());
  }

  /** Ends a controller's process at once, without any of its shutdown steps. */
  public void kill(String name) {
    lives.merge(name, 1, Integer::sum);
    nodes.remove(name);
    kubernetesApis.remove(name);
  }

  /** Something else answers workers and users in the place of a controller that is not running. */
  void standIn(String name, Service api) {
    standIns.add(name);
    places.put(api(name), api);
  }

  void endStandIn(String name) {
    standIns.remove(name);
  }

  /** A schedule that is there already, as its row would hold it. */
  public void schedule(String name, ObjectNode definition, String entity) {
    ObjectNode row = Cbor.map().put("uid", name).put("entity", entity).put("version", 1);
    row.put("paused", false).put("cursor", 1_700_000_000_000L + (long) (now * 1000));
    row.put("blocks", 0).set("def", definition);
    row.putArray("runs");
    row.putArray("past");
    state.put("cal/s/" + name, row);
  }

  /**
   * A controller stands still while its clocks run on: timers, requests and answers that would
   * reach it are all there when it goes on, in their order.
   */
  public void freeze(String name, double seconds) {
    frozenUntil.put(name, now + seconds);
  }

  private void awake(String name, int life, Runnable task) {
    double until = frozenUntil.getOrDefault(name, 0.0);
    if (now < until) {
      at(until - now, () -> awake(name, life, task));
    } else if (lives(name, life)) {
      long began = System.nanoTime();
      task.run();
      controllerNanos.merge(name, System.nanoTime() - began, Long::sum);
    }
  }

  /** Processor time that a controller's own callbacks have taken, the fakes' share left out. */
  public double controllerCpuS(String name) {
    return controllerNanos.getOrDefault(name, 0L) / 1e9;
  }

  /** A worker has started a task. */
  void started(String task, String worker) {
    if (keepsLaunches) {
      launches.add("%.3f %s %s".formatted(now, task, worker));
    }
    onStart.accept(task);
  }

  /** A worker's own address answers from now on. */
  void place(FakeWorker worker) {
    places.put(worker.address(), worker.service());
    onWorker.accept(worker);
  }

  private boolean lives(String name, int life) {
    return lives.get(name) == life;
  }

  private Service guarded(String name, int life, Service service) {
    return (method, path, body, done) ->
        awake(name, life, () -> service.handle(method, path, body, done));
  }

  /**
   * Sends a request over the simulated network on behalf of one life of the sender.
   *
   * @param life count of the sender's starts; a reply to an earlier process is not delivered
   * @param timeoutS seconds of virtual time until the future fails
   */
  public CompletableFuture<Http.Reply> call(
      String from,
      int life,
      HostPort to,
      String method,
      String path,
      byte[] body,
      double timeoutS) {
    CompletableFuture<Http.Reply> future = new CompletableFuture<>();
    final String message = from + " " + to.host() + " " + method + " " + path;
    String kind = Traffic.kind(method, path);
    traffic.asked(kind, body);
    var observed = new MessageObserver.Request(from, to.host(), method, path, body);
    onMessage.sent(observed);
    at(
        timeoutS,
        () -> {
          if (!future.isDone() && alive(from, life)) {
            back(from, life, () -> future.completeExceptionally(new IOException("time out")));
          }
        });
    Runnable deliver =
        () -> {
          Service service = places.get(to);
          if (service != null) {
            onMessage.delivered(observed);
            service.handle(
                method,
                inner(to) ? from + " " + path : path,
                body,
                answer ->
                    at(
                        delayS.applyAsDouble(to.host(), from),
                        () -> {
                          traffic.answered(kind, answer.body());
                          onMessage.answered(observed, answer);
                          if (!network.loses(from, to.host(), message)) {
                            back(
                                from,
                                life,
                                () ->
                                    future.complete(
                                        new Http.Reply(answer.status(), answer.body())));
                          }
                        }));
          }
        };
    at(
        delayS.applyAsDouble(from, to.host()),
        () -> {
          if (network.refuses(message)
              || (lives.containsKey(to.host())
                  && !nodes.containsKey(to.host())
                  && !standIns.contains(to.host()))) {
            // The host is up but the process is not: its connections are refused.
            future.completeExceptionally(new IOException("refused"));
          } else if (!network.holds(message, deliver) && !network.loses(from, to.host(), message)) {
            deliver.run();
          }
        });
    return future;
  }

  /** What comes back to a caller: a controller hears of it when it is awake. */
  private void back(String from, int life, Runnable task) {
    if (life < 0) {
      task.run();
    } else {
      awake(from, life, task);
    }
  }

  private static boolean inner(HostPort to) {
    return to.equals(STATE) || to.equals(CLOUD);
  }

  private boolean alive(String from, int life) {
    return life < 0 || lives(from, life);
  }

  /** Where controllers are real processes: how workers reach them; otherwise null. */
  public Outside outside;

  /** A way to controllers outside of this world. */
  public interface Outside {
    CompletableFuture<Http.Reply> ask(
        String from, String node, String method, String path, byte[] body);
  }

  /** Whether there is any controller to report to. */
  boolean served() {
    return outside != null || !nodes.isEmpty();
  }

  /** A user's or worker's call to a controller. */
  public CompletableFuture<Http.Reply> ask(
      String from, String node, String method, String path, byte[] body) {
    boolean user = from.equals("user");
    long asked = user ? checker.asks(method, path, body) : 0;
    var answer =
        outside != null
            ? outside.ask(from, node, method, path, body)
            : call(from, -1, api(node), method, path, body, user ? USER_S : WORKER_S);
    return user
        ? answer.whenComplete((r, failure) -> checker.answered(asked, method, path, body, r))
        : answer;
  }

  public static HostPort api(String node) {
    return new HostPort(node, 8080);
  }

  /** Returns the settings of the named controller, with all others as its peers. */
  public Settings settings(String name) {
    Map<ControllerId, HostPort> peers = new LinkedHashMap<>();
    for (int i = 0; i < count; i++) {
      if (!name(i).equals(name)) {
        peers.put(new ControllerId(name(i)), new HostPort(name(i), 8081));
      }
    }
    return new Settings(
        new ControllerId(name),
        "z",
        api(name),
        new HostPort(name, 8081),
        peers,
        CLOUD,
        STATE,
        0.1,
        teams,
        objectives,
        workers,
        stateLimits,
        new CloudLimits(20, 5),
        new Limits(1, 200, 500));
  }

  /** Time and turns of a controller that is not running, for tests of its parts. */
  public Loop loopOf(String name) {
    return new NodeLoop(name, lives.merge(name, 1, Integer::sum));
  }

  private final class NodeLoop implements Loop {
    private final String name;
    private final int life;

    NodeLoop(String name, int life) {
      this.name = name;
      this.life = life;
    }

    @Override
    public long nanos() {
      return (long) (now * 1e9);
    }

    @Override
    public long wallMillis() {
      return 1_700_000_000_000L + (long) (now * 1000);
    }

    @Override
    public void execute(Runnable task) {
      after(0, task);
    }

    @Override
    public Cancellable after(double seconds, Runnable task) {
      boolean[] off = new boolean[1];
      at(
          seconds,
          () -> {
            awake(
                name,
                life,
                () -> {
                  if (!off[0]) {
                    task.run();
                  }
                });
          });
      return () -> off[0] = true;
    }
  }
}
