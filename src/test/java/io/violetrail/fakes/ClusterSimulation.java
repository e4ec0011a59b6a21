package io.violetrail.fakes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Options;
import io.violetrail.config.Settings;
import io.violetrail.config.Settings.CloudLimits;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.ProcessLimits;
import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.config.Settings.Team;
import io.violetrail.config.Settings.WorkerTiming;
import io.violetrail.controller.Controller;
import io.violetrail.kubernetes.KubernetesApi;
import io.violetrail.model.ControllerId;
import io.violetrail.net.EventLoop;
import io.violetrail.net.HttpClient;
import io.violetrail.net.RequestHandler;
import io.violetrail.tracing.JobTracer;
import io.violetrail.tracing.OpenTelemetryJobTracer;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Function;
import java.util.function.ToDoubleBiFunction;

/**
 * A whole deployment in memory: virtual time, a network that can lose and hold back messages, the
 * state service, the cloud, its workers, and controllers that can be killed and restarted.
 */
public final class ClusterSimulation {
  /** Reply time-out of users' requests. */
  private static final double USER_TIMEOUT_SECONDS = 5;

  /** Reply time-out of workers' reports. */
  private static final double WORKER_TIMEOUT_SECONDS = 4;

  public static final HostPort STATE_ADDRESS = new HostPort("state", 1);
  public static final HostPort CLOUD_ADDRESS = new HostPort("cloud", 1);
  public static final int KUBERNETES_PORT = 6443;

  private final VirtualTime time = new VirtualTime();
  private final ControllerProcesses processes = new ControllerProcesses(time);
  private final Map<String, Controller> controllers = new LinkedHashMap<>();
  private final SimulatedTransport transport =
      new SimulatedTransport(time, processes, controllers::containsKey);
  private final Random random;
  private final FakeStateService stateService = new FakeStateService(this);
  private final FakeCloud cloud = new FakeCloud(this);
  private final List<String> violations = new ArrayList<>();

  /** Ids of jobs whose tasks fail on every machine, as after a user's mistake. */
  private final Set<String> alwaysFailingJobs = new HashSet<>();

  /** Whether controllers that start serve the Kubernetes API. */
  private boolean kubernetesEnabled;

  /** Whether controllers that start serve and fire schedules. */
  private boolean schedulesEnabled;

  private final Map<String, KubernetesApi> kubernetesApis = new HashMap<>();

  /** Whether launches are kept in {@link #launches}; off in runs with very many launches. */
  private boolean recordsLaunches = true;

  /** Every launch as "time task machine", in order. */
  private final List<String> launches = new ArrayList<>();

  private final Map<String, Team> teams = new LinkedHashMap<>();
  private WorkerTiming workerSettings = new WorkerTiming(1, 10, 45, 4, 40);
  private final InvariantChecker checker = new InvariantChecker(this);
  private StateStoreLimits stateLimits = new StateStoreLimits(500, 200, 8192, 24);

  /**
   * Whether workers report changes at once, as the protocol specifies, or only at their regular
   * interval.
   */
  private boolean reportsOnChange;

  /** Access to controllers that are real processes; null if the controllers are simulated. */
  private ExternalControllers externalControllers;

  /** Options with which controllers start. */
  private Options options = Options.DEFAULTS;

  /** Service-level objectives of the job classes. */
  private List<Objective> objectives = List.of(new Objective("wait", "urgent", 8, 0.9, 1));

  /** How workers treat a reply without a token; the default is harder for controllers. */
  private MissingTokenBehavior missingTokenBehavior = MissingTokenBehavior.TREAT_AS_LOWEST;

  /** Maps the average task duration of a worker to the duration of one task. */
  private DoubleUnaryOperator taskDurationSeconds = averageSeconds -> averageSeconds;

  /**
   * The quota that a team must keep now, by team name; null for an unknown team. By default the
   * quota of the settings file; tests that change or lift quotas replace it.
   */
  private Function<String, Team> teamLimit = teams::get;

  /** Called with each worker after its creation. */
  private Consumer<FakeWorker> onWorkerCreated = worker -> {};

  /** Called with the id of each task that a worker starts. */
  private Consumer<String> onTaskStarted = task -> {};

  private final int controllerCount;

  /** Creates a cluster of the given number of controllers, none of which is started yet. */
  public ClusterSimulation(int controllers, long seed) {
    random = new Random(seed);
    controllerCount = controllers;
    teams.put("red", new Team("red", 0, 0, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY));
    transport.serve(STATE_ADDRESS, stateService);
    transport.serve(CLOUD_ADDRESS, cloud);
    checker.start();
  }

  public Random random() {
    return random;
  }

  public FakeStateService stateService() {
    return stateService;
  }

  public FakeCloud cloud() {
    return cloud;
  }

  public Map<String, Controller> controllers() {
    return controllers;
  }

  public List<String> violations() {
    return violations;
  }

  public Set<String> alwaysFailingJobs() {
    return alwaysFailingJobs;
  }

  public Map<String, KubernetesApi> kubernetesApis() {
    return kubernetesApis;
  }

  public List<String> launches() {
    return launches;
  }

  public Map<String, Team> teams() {
    return teams;
  }

  public InvariantChecker checker() {
    return checker;
  }

  public NetworkFaults networkFaults() {
    return transport.networkFaults();
  }

  public TrafficCounter traffic() {
    return transport.traffic();
  }

  public void setKubernetesEnabled(boolean kubernetesEnabled) {
    this.kubernetesEnabled = kubernetesEnabled;
  }

  public void setSchedulesEnabled(boolean schedulesEnabled) {
    this.schedulesEnabled = schedulesEnabled;
  }

  public void setRecordsLaunches(boolean recordsLaunches) {
    this.recordsLaunches = recordsLaunches;
  }

  public WorkerTiming workerSettings() {
    return workerSettings;
  }

  public void setWorkerSettings(WorkerTiming workerSettings) {
    this.workerSettings = workerSettings;
  }

  public StateStoreLimits stateLimits() {
    return stateLimits;
  }

  public void setStateLimits(StateStoreLimits stateLimits) {
    this.stateLimits = stateLimits;
  }

  public boolean reportsOnChange() {
    return reportsOnChange;
  }

  public void setReportsOnChange(boolean reportsOnChange) {
    this.reportsOnChange = reportsOnChange;
  }

  public void setOptions(Options options) {
    this.options = options;
  }

  public List<Objective> objectives() {
    return objectives;
  }

  public void setObjectives(List<Objective> objectives) {
    this.objectives = objectives;
  }

  public MissingTokenBehavior missingTokenBehavior() {
    return missingTokenBehavior;
  }

  public void setMissingTokenBehavior(MissingTokenBehavior missingTokenBehavior) {
    this.missingTokenBehavior = missingTokenBehavior;
  }

  /** Returns the one-way delay of a message, by its sender's and receiver's host. */
  public ToDoubleBiFunction<String, String> oneWayDelaySeconds() {
    return transport.oneWayDelaySeconds();
  }

  public void setOneWayDelaySeconds(ToDoubleBiFunction<String, String> oneWayDelaySeconds) {
    transport.setOneWayDelaySeconds(oneWayDelaySeconds);
  }

  public DoubleUnaryOperator taskDurationSeconds() {
    return taskDurationSeconds;
  }

  public void setTaskDurationSeconds(DoubleUnaryOperator taskDurationSeconds) {
    this.taskDurationSeconds = taskDurationSeconds;
  }

  public Function<String, Team> teamLimit() {
    return teamLimit;
  }

  public void setTeamLimit(Function<String, Team> teamLimit) {
    this.teamLimit = teamLimit;
  }

  public void setOnWorkerCreated(Consumer<FakeWorker> onWorkerCreated) {
    this.onWorkerCreated = onWorkerCreated;
  }

  public void setOnTaskStarted(Consumer<String> onTaskStarted) {
    this.onTaskStarted = onTaskStarted;
  }

  /** Sets the observer of all messages between the hosts. */
  public void setOnMessage(MessageObserver onMessage) {
    transport.setObserver(onMessage);
  }

  public void setExternalControllers(ExternalControllers externalControllers) {
    this.externalControllers = externalControllers;
  }

  /** Starts all controllers and runs for 5 s. */
  public ClusterSimulation startAllControllers() {
    for (int i = 0; i < controllerCount; i++) {
      startController(controllerName(i));
    }
    return runFor(5);
  }

  public static String controllerName(int number) {
    return "c" + number;
  }

  /** Returns the index of a controller by its name; the inverse of {@link #controllerName}. */
  static int controllerIndex(String name) {
    return Integer.parseInt(name.substring(1));
  }

  /** Returns the number of controllers in the deployment, whether they run or not. */
  public int controllerCount() {
    return controllerCount;
  }

  public double nowSeconds() {
    return time.nowSeconds();
  }

  /** Runs all events of the next {@code seconds} of virtual time. */
  public ClusterSimulation runFor(double seconds) {
    time.runFor(seconds);
    return this;
  }

  /** Runs until the condition holds; fails the test if it does not hold within the time-out. */
  public ClusterSimulation runUntil(
      double timeoutSeconds, java.util.function.BooleanSupplier condition) {
    double deadlineSeconds = nowSeconds() + timeoutSeconds;
    while (!condition.getAsBoolean()) {
      if (nowSeconds() >= deadlineSeconds) {
        throw new AssertionError("condition did not hold within " + timeoutSeconds + " s");
      }
      runFor(0.1);
    }
    return this;
  }

  public void runAfter(double delaySeconds, Runnable task) {
    time.runAfter(delaySeconds, task);
  }

  /** Starts a new process of the named controller. */
  public Controller startController(String name) {
    int incarnation = processes.start(name);
    Settings settings = settings(name);
    EventLoop loop = processes.eventLoop(name, incarnation);
    HttpClient http =
        (to, method, path, body, timeout) ->
            sendRequest(name, incarnation, to, method, path, body, timeout);
    Controller controller =
        new Controller(
            settings, options, loop, http, new Random(random.nextLong()), createJobTracer(loop));
    controllers.put(name, controller);
    transport.serve(settings.apiAddress(), processes.servedBy(name, incarnation, controller.api()));
    transport.serve(
        settings.clusterListenAddress(),
        processes.servedBy(name, incarnation, controller.peerService()));
    controller.start();
    if (schedulesEnabled) {
      controller.serveSchedules();
    }
    if (options.configurationEnabled()) {
      controller.serveConfiguration();
    }
    if (kubernetesEnabled) {
      KubernetesApi kubernetesApi = controller.startKubernetes(KUBERNETES_PORT);
      kubernetesApis.put(name, kubernetesApi);
      transport.serve(
          new HostPort(name, KUBERNETES_PORT),
          processes.servedBy(name, incarnation, KubernetesTestClient.asService(kubernetesApi)));
    }
    return controller;
  }

  private JobTracer createJobTracer(EventLoop loop) {
    return options.maxTraceSpans() == null
        ? JobTracer.NO_OP
        : new OpenTelemetryJobTracer(loop, options.maxTraceSpans());
  }

  /** Ends a controller's process at once, without its shutdown steps. */
  public void killController(String name) {
    processes.end(name);
    controllers.remove(name);
    kubernetesApis.remove(name);
  }

  /** Lets {@code api} answer workers and users in place of a controller that does not run. */
  void startStandIn(String name, RequestHandler api) {
    transport.startStandIn(name, apiAddress(name), api);
  }

  void stopStandIn(String name) {
    transport.stopStandIn(name);
  }

  /** Stores the row of a schedule directly, as if it had been created earlier. */
  public void storeSchedule(String name, ObjectNode definition, String entity) {
    ObjectNode row = Cbor.newMap().put("uid", name).put("entity", entity).put("version", 1);
    row.put("paused", false).put("cursor", time.wallMillis());
    row.put("blocks", 0).set("def", definition);
    row.putArray("runs");
    row.putArray("past");
    stateService.put("cal/s/" + name, row);
  }

  /**
   * Freezes a controller while its clocks continue to run. Timers, requests and replies that would
   * reach it meanwhile are delivered in order when the freeze ends.
   */
  public void freezeController(String name, double seconds) {
    processes.freeze(name, seconds);
  }

  /** Returns the processor time of a controller's own callbacks, without that of the fakes. */
  public double controllerCpuSeconds(String name) {
    return processes.cpuSeconds(name);
  }

  /** Records that a worker has started a task. */
  void recordTaskStart(String task, String worker) {
    if (recordsLaunches) {
      launches.add("%.3f %s %s".formatted(nowSeconds(), task, worker));
    }
    onTaskStarted.accept(task);
  }

  /** Makes a new worker's service reachable at its address. */
  void registerWorker(FakeWorker worker) {
    transport.serve(worker.address(), worker.service());
    onWorkerCreated.accept(worker);
  }

  /**
   * Sends a request over the simulated network on behalf of one process of the sender.
   *
   * @param incarnation number of the sender's process; a reply to an earlier process is dropped
   * @param timeoutSeconds seconds of virtual time until the future fails
   */
  public CompletableFuture<HttpClient.ClientResponse> sendRequest(
      String from,
      int incarnation,
      HostPort to,
      String method,
      String path,
      byte[] body,
      double timeoutSeconds) {
    return transport.send(from, incarnation, to, method, path, body, timeoutSeconds);
  }

  /** Sends requests to controllers outside of this simulation. */
  public interface ExternalControllers {
    CompletableFuture<HttpClient.ClientResponse> callController(
        String from, String controller, String method, String path, byte[] body);
  }

  /** Returns whether workers have any controller to report to. */
  boolean hasControllers() {
    return externalControllers != null || !controllers.isEmpty();
  }

  /** Sends a user's or worker's request to a controller; the checker sees the users' requests. */
  public CompletableFuture<HttpClient.ClientResponse> callController(
      String from, String controller, String method, String path, byte[] body) {
    boolean fromUser = from.equals("user");
    long requestClock = fromUser ? checker.recordRequest(method, path, body) : 0;
    var answer =
        externalControllers != null
            ? externalControllers.callController(from, controller, method, path, body)
            : sendRequest(
                from,
                SimulatedTransport.NO_INCARNATION,
                apiAddress(controller),
                method,
                path,
                body,
                fromUser ? USER_TIMEOUT_SECONDS : WORKER_TIMEOUT_SECONDS);
    return fromUser
        ? answer.whenComplete(
            (reply, failure) -> checker.recordReply(requestClock, method, path, body, reply))
        : answer;
  }

  public static HostPort apiAddress(String controller) {
    return new HostPort(controller, 8080);
  }

  /** Returns the settings of the named controller, with all others as its peers. */
  public Settings settings(String name) {
    Map<ControllerId, HostPort> peers = new LinkedHashMap<>();
    for (int i = 0; i < controllerCount; i++) {
      if (!controllerName(i).equals(name)) {
        peers.put(new ControllerId(controllerName(i)), new HostPort(controllerName(i), 8081));
      }
    }
    return new Settings(
        new ControllerId(name),
        "z",
        apiAddress(name),
        new HostPort(name, 8081),
        peers,
        CLOUD_ADDRESS,
        STATE_ADDRESS,
        0.1,
        teams,
        objectives,
        workerSettings,
        stateLimits,
        new CloudLimits(20, 5),
        new ProcessLimits(1, 200, 500));
  }

  /** Creates the event loop of a controller that does not run, for tests of its components. */
  public EventLoop createEventLoop(String name) {
    return processes.eventLoop(name, processes.start(name));
  }
}
