package io.violetrail.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.fleet.MachineOffering;
import io.violetrail.model.Resources;
import io.violetrail.net.HttpClient;
import io.violetrail.net.RequestHandler;
import io.violetrail.wire.Cbor;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * A simulated worker that follows the worker protocol. It reports every task start to the {@link
 * InvariantChecker}, which checks that no other worker runs the task.
 */
public final class FakeWorker {
  private static final double REPLY_TIMEOUT_SECONDS = 4;

  /** Lower limit for the controller addresses that a worker tries; some may not exist. */
  private static final int MIN_KNOWN_CONTROLLERS = 3;

  /** Lower limit for the time between a report and the next report of a change. */
  private static final double MIN_REPORT_INTERVAL_SECONDS = 0.5;

  /** Delay before the next controller is tried after one that did not accept a report. */
  private static final double NEXT_CONTROLLER_DELAY_SECONDS = 1;

  private static final class LocalTask {
    String taskId;
    long attempt;
    String status;
    String cause;
    double endsAtSeconds;

    /** Returns whether the task has its image and has not ended. */
    boolean occupiesMachine() {
      return !status.equals("ended") && !status.equals("fetching");
    }
  }

  private void putTask(LocalTask localTask) {
    LocalTask replaced = tasksById.put(localTask.taskId, localTask);
    if (replaced != null && replaced.occupiesMachine()) {
      simulation.checker().taskDeparted(this, localTask.taskId);
    }
    if (localTask.occupiesMachine()) {
      simulation.checker().taskArrived(this, localTask.taskId);
    }
  }

  private void changeStatus(LocalTask localTask, String status) {
    boolean occupiedBefore = localTask.occupiesMachine();
    localTask.status = status;
    if (occupiedBefore && !localTask.occupiesMachine()) {
      simulation.checker().taskDeparted(this, localTask.taskId);
    } else if (!occupiedBefore && localTask.occupiesMachine()) {
      simulation.checker().taskArrived(this, localTask.taskId);
    }
  }

  private void dropAllTasks() {
    List<LocalTask> dropped = List.copyOf(tasksById.values());
    tasksById.clear();
    for (LocalTask localTask : dropped) {
      if (localTask.occupiesMachine()) {
        simulation.checker().taskDeparted(this, localTask.taskId);
      }
    }
  }

  private final String id;
  private final ClusterSimulation simulation;
  private final String type;
  private final String zone;
  private final boolean spot;
  private final Resources capacity;
  private final Map<String, LocalTask> tasksById = new LinkedHashMap<>();
  private final Map<String, Double> durationSecondsByTask = new LinkedHashMap<>();
  private double taskDurationSeconds = 20;

  /** Image fetch time before a task starts; until then the task is reported as fetching. */
  private double imageFetchSeconds;

  private boolean failsEveryTask;

  /** Whether replies and direct commands to this worker are lost; its reports still arrive. */
  private boolean inboundCut;

  /** Whether reports of this worker are lost; direct commands still arrive. */
  private boolean outboundCut;

  /** Until this time the worker hangs: nothing runs on it, and what arrives waits. */
  private double hangsUntilSeconds;

  private double lastReportAtSeconds = Double.NEGATIVE_INFINITY;

  /** Whether a report of a change is scheduled. */
  private boolean reportScheduled;

  /** Whether another report is due once the one in flight is answered. */
  private boolean changedWhileInFlight;

  private final WorkerMessageLog messageLog = new WorkerMessageLog();

  /** Counts the starts of this worker's process; callbacks of former processes do nothing. */
  private int processNumber;

  /** The length of the longest report in JSON form, in which the protocol counts sizes. */
  private int largestReportBytes;

  private Double preemptionNoticeSeconds;
  private int launchCount;

  /** Launch commands in replies that were lost because of {@link #inboundCut}. */
  private int lostLaunchCount;

  private HostPort address;
  private String controller;
  private int nextControllerIndex;
  private long session = 1;
  private long reportSequence;
  private long highestFencingToken;
  private double leaseRenewedAtSeconds;
  private boolean up;
  private boolean inFlight;

  FakeWorker(
      ClusterSimulation simulation,
      String id,
      String type,
      String zone,
      boolean spot,
      Resources capacity) {
    this.simulation = simulation;
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.capacity = capacity;
    this.address = new HostPort(id, 9000);
  }

  public String id() {
    return id;
  }

  public String type() {
    return type;
  }

  public Map<String, Double> durationSecondsByTask() {
    return durationSecondsByTask;
  }

  public void setTaskDurationSeconds(double taskDurationSeconds) {
    this.taskDurationSeconds = taskDurationSeconds;
  }

  public void setImageFetchSeconds(double imageFetchSeconds) {
    this.imageFetchSeconds = imageFetchSeconds;
  }

  public void setFailsEveryTask(boolean failsEveryTask) {
    this.failsEveryTask = failsEveryTask;
  }

  public void setInboundCut(boolean inboundCut) {
    this.inboundCut = inboundCut;
  }

  public void setOutboundCut(boolean outboundCut) {
    this.outboundCut = outboundCut;
  }

  public void setRecordsReports(boolean recordsReports) {
    messageLog.setRecording(recordsReports);
  }

  public void setPreemptionNoticeSeconds(Double preemptionNoticeSeconds) {
    this.preemptionNoticeSeconds = preemptionNoticeSeconds;
  }

  public int launchCount() {
    return launchCount;
  }

  /** Returns the length of the longest report so far in JSON form, in bytes. */
  public int largestReportBytes() {
    return largestReportBytes;
  }

  public int lostLaunchCount() {
    return lostLaunchCount;
  }

  /** Returns the capacity that tasks which have not ended leave free. */
  Resources freeResources(Function<String, Resources> resourcesOfTask) {
    Resources free = capacity;
    for (LocalTask localTask : tasksById.values()) {
      free =
          localTask.status.equals("ended")
              ? free
              : free.minus(resourcesOfTask.apply(localTask.taskId));
    }
    return free;
  }

  HostPort address() {
    return address;
  }

  /** Sets the address of this worker's service; by default its host is the worker's id. */
  public void setAddress(HostPort newAddress) {
    address = newAddress;
  }

  /** Returns the service of this worker, which serves status requests and direct commands. */
  public RequestHandler service() {
    return (method, path, body, done) -> {
      if (up && simulation.nowSeconds() < hangsUntilSeconds) {
        simulation.runAfter(
            hangsUntilSeconds - simulation.nowSeconds(),
            () -> service().handle(method, path, body, done));
      } else if (up && inboundCut) {
        return;
      } else if (up && path.equals("/status")) {
        done.accept(RequestHandler.HttpResponse.of(200, Cbor.newMap()));
      } else if (up && path.equals("/orders")) {
        messageLog.addDirectCommands(body);
        done.accept(RequestHandler.HttpResponse.empty(executeCommands(body) ? 200 : 409));
      }
    };
  }

  private boolean executeCommands(byte[] body) {
    try {
      ObjectNode message = Cbor.parse(body);
      if (message.get("baton").asLong() < highestFencingToken
          || message.get("tenure").asLong() != session) {
        return false;
      }
      message.get("orders").forEach(this::executeCommand);
      return true;
    } catch (Cbor.MalformedMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  /** Lets the worker hang for the given time. Its lease continues to run, its tasks do not. */
  public void hangFor(double durationSeconds) {
    hangsUntilSeconds = simulation.nowSeconds() + durationSeconds;
    tasksById.values().forEach(localTask -> localTask.endsAtSeconds += durationSeconds);
  }

  /** Returns whether the machine could run new tasks now, whatever its free capacity. */
  boolean canRunTasks() {
    return up
        && !outboundCut
        && !inboundCut
        && !failsEveryTask
        && preemptionNoticeSeconds == null
        && simulation.nowSeconds() >= hangsUntilSeconds;
  }

  /**
   * Restarts the machine: its tasks are lost, and its worker begins with the first session and
   * without a fencing token.
   */
  public void restart(double downSeconds) {
    destroy();
    processNumber++;
    simulation.runAfter(
        downSeconds,
        () -> {
          if (simulation.cloud().workers().get(id) != this || up) {
            return;
          }
          session = 1;
          reportSequence = 0;
          highestFencingToken = 0;
          controller = null;
          inFlight = false;
          changedWhileInFlight = false;
          boot();
        });
  }

  public int receivedReplyCount() {
    return messageLog.replies().size();
  }

  /**
   * Lets a copy of an earlier reply arrive. The worker checks it as it checks any reply: the
   * session and the age of the report, and the token. The copy does not change where it reports.
   */
  public void receiveCopyOfReply(int index) {
    WorkerMessageLog.ReceivedReply copy = messageLog.replies().get(index);
    if (up && copy.reply().status() == 200) {
      executeReply(parse(copy.reply().body()), copy.report());
    }
  }

  /** Returns the index, for {@link #receiveCopyOfReply}, of the latest reply with a launch. */
  public int indexOfLatestLaunch() {
    return messageLog.indexOfLatestLaunch();
  }

  /** Lets a copy of the latest reply with a launch arrive. */
  public void receiveCopyOfLatestLaunch() {
    receiveCopyOfReply(indexOfLatestLaunch());
  }

  public int receivedCommandsCount() {
    return messageLog.directCommands().size();
  }

  /** Lets a copy of earlier direct commands arrive; token and session are checked. */
  public void receiveCopyOfCommands(int index) {
    if (up) {
      executeCommands(messageLog.directCommands().get(index));
    }
  }

  /** Sends a copy of an earlier report, whose reply reaches this worker like any other. */
  public void resendReportForReply(int reportIndex, String controllerName) {
    WorkerMessageLog.SentReport report = messageLog.reports().get(reportIndex);
    simulation
        .callController(id, controllerName, "POST", "/agent/beat", report.body())
        .whenComplete(
            (reply, failure) -> {
              if (up && failure == null && reply.status() == 200) {
                executeReply(parse(reply.body()), report);
              }
            });
  }

  private static ObjectNode parse(byte[] body) {
    try {
      return Cbor.parse(body);
    } catch (Cbor.MalformedMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  void boot() {
    up = true;
    leaseRenewedAtSeconds = simulation.nowSeconds();
    nextControllerIndex =
        simulation.random().nextInt(Math.max(MIN_KNOWN_CONTROLLERS, simulation.controllerCount()));
    sendReport();
    scheduleReports();
  }

  /** Destroys the machine and its tasks at once. */
  public void destroy() {
    up = false;
    dropAllTasks();
  }

  public boolean runsTask(String task) {
    LocalTask localTask = tasksById.get(task);
    return localTask != null && localTask.occupiesMachine();
  }

  /** Returns the tasks that have their image and have not ended, after expiring a due lease. */
  Set<String> runningTasks() {
    expireLeaseIfDue();
    return tasksById.values().stream()
        .filter(LocalTask::occupiesMachine)
        .map(localTask -> localTask.taskId)
        .collect(Collectors.toSet());
  }

  /** Lets a running task complete at the next report, whatever its duration. */
  public void endTaskNow(String task) {
    tasksById.get(task).endsAtSeconds = simulation.nowSeconds();
  }

  /** Sends an earlier report again to the given controller; the reply is ignored. */
  public void resendReport(int reportIndex, String controllerName) {
    simulation.callController(
        id, controllerName, "POST", "/agent/beat", messageLog.reports().get(reportIndex).body());
  }

  public int sentReportCount() {
    return messageLog.reports().size();
  }

  /** Returns how often the lease of this worker has expired. */
  public long expiredLeaseCount() {
    return session - 1;
  }

  public String zone() {
    return zone;
  }

  /** Returns what this machine was rented as. */
  MachineOffering offering() {
    return new MachineOffering(type, zone, spot);
  }

  /** Returns whether this is a spot machine, which the cloud may reclaim. */
  public boolean isSpot() {
    return spot;
  }

  public String controller() {
    return controller;
  }

  /** Returns whether this worker has a controller and has received a fencing token. */
  public boolean hasController() {
    return highestFencingToken > 0 && controller != null;
  }

  public int activeTaskCount() {
    return (int)
        tasksById.values().stream().filter(localTask -> !localTask.status.equals("ended")).count();
  }

  private void scheduleReports() {
    int scheduledIn = processNumber;
    simulation.runAfter(
        simulation.workerSettings().heartbeatIntervalSeconds(),
        () -> {
          if (up && scheduledIn == processNumber) {
            if (simulation.nowSeconds() >= hangsUntilSeconds) {
              reportIfIdle();
            }
            scheduleReports();
          }
        });
  }

  private void reportIfIdle() {
    finishDueTasks();
    if (!inFlight) {
      sendReport();
    }
  }

  /** Ends the running tasks that fail or whose duration has passed. */
  private void finishDueTasks() {
    expireLeaseIfDue();
    for (LocalTask localTask : tasksById.values()) {
      boolean fails =
          failsEveryTask
              || simulation
                  .alwaysFailingJobs()
                  .contains(localTask.taskId.substring(0, localTask.taskId.indexOf('/')));
      if (localTask.status.equals("running")
          && (fails || simulation.nowSeconds() >= localTask.endsAtSeconds)) {
        changeStatus(localTask, "ended");
        localTask.cause = fails ? "error" : "done";
        if (!fails) {
          simulation.checker().recordTaskDone(localTask.taskId);
        }
      }
    }
  }

  /** Schedules a report of a change, at the earliest time that the report interval allows. */
  private void scheduleReportOfChange() {
    if (!simulation.reportsOnChange() || reportScheduled) {
      return;
    }
    reportScheduled = true;
    simulation.runAfter(
        Math.max(0, lastReportAtSeconds + MIN_REPORT_INTERVAL_SECONDS - simulation.nowSeconds()),
        () -> {
          reportScheduled = false;
          if (up && inFlight) {
            changedWhileInFlight = true;
          } else if (up && simulation.nowSeconds() >= hangsUntilSeconds) {
            sendReport();
          }
        });
  }

  /** Sets the highest fencing token that this worker has seen; it may be lowered. */
  void setHighestFencingToken(long fencingToken) {
    highestFencingToken = fencingToken;
  }

  /** Sets the time of the last lease renewal, for tests of the checker. */
  void renewLeaseForTest(double renewedAtSeconds) {
    leaseRenewedAtSeconds = renewedAtSeconds;
  }

  /** Adds a running task without a launch command; the task has no end time. */
  public void addUnlaunchedTask(String task) {
    LocalTask localTask = new LocalTask();
    localTask.taskId = task;
    localTask.status = "running";
    localTask.endsAtSeconds = Double.POSITIVE_INFINITY;
    putTask(localTask);
  }

  /** Drops all tasks and starts the next session if the lease has expired. */
  void expireLeaseIfDue() {
    if (up
        && simulation.nowSeconds() - leaseRenewedAtSeconds
            > simulation.workerSettings().leaseSeconds()) {
      session++;
      dropAllTasks();
      leaseRenewedAtSeconds = simulation.nowSeconds();
    }
  }

  private void sendReport() {
    if (!simulation.hasControllers()) {
      return;
    }
    expireLeaseIfDue();
    inFlight = true;
    lastReportAtSeconds = simulation.nowSeconds();
    String target = controller != null ? controller : nextController();
    WorkerMessageLog.SentReport report =
        new WorkerMessageLog.SentReport(
            Cbor.encode(createReport()), simulation.nowSeconds(), session);
    messageLog.addReport(report);
    if (outboundCut) {
      failAfterTimeout(target, report);
      return;
    }
    int sentBy = processNumber;
    simulation
        .callController(id, target, "POST", "/agent/beat", report.body())
        .whenComplete(
            (reply, failure) -> {
              if (sentBy == processNumber) {
                receiveReply(reply, failure, target, report);
              }
            });
  }

  private String nextController() {
    int knownControllers = Math.max(MIN_KNOWN_CONTROLLERS, simulation.controllerCount());
    return ClusterSimulation.controllerName(nextControllerIndex++ % knownControllers);
  }

  private ObjectNode createReport() {
    ObjectNode message =
        Cbor.newMap().put("host", id).put("hosttype", type).put("yard", zone).put("loaners", spot);
    message.put("endpoint", address().host() + ":" + address().port());
    message
        .put("tenure", session)
        .put("tick", ++reportSequence)
        .put("baton", highestFencingToken)
        .put("warning_s", preemptionNoticeSeconds);
    var list = message.putArray("pieces");
    for (LocalTask localTask : tasksById.values()) {
      list.addObject()
          .put("piece", localTask.taskId)
          .put("try", localTask.attempt)
          .put("status", localTask.status)
          .put("cause", localTask.cause);
    }
    largestReportBytes = Math.max(largestReportBytes, message.toString().length());
    return message;
  }

  private void receiveReply(
      HttpClient.ClientResponse reply,
      Throwable failure,
      String target,
      WorkerMessageLog.SentReport report) {
    if (failure == null) {
      messageLog.addReply(reply, report);
    }
    if (inboundCut && failure == null) {
      lostLaunchCount += WorkerMessageLog.countLaunches(reply);
      failAfterTimeout(target, report);
    } else {
      handleReply(reply, failure, target, report);
    }
  }

  private void failAfterTimeout(String target, WorkerMessageLog.SentReport report) {
    int sentBy = processNumber;
    simulation.runAfter(
        REPLY_TIMEOUT_SECONDS,
        () -> {
          if (sentBy == processNumber) {
            handleReply(null, new IOException("lost"), target, report);
          }
        });
  }

  /** Starts a task whose image has been fetched, unless it was stopped or replaced meanwhile. */
  private void startFetchedTask(LocalTask localTask) {
    if (tasksById.get(localTask.taskId) != localTask || !localTask.status.equals("fetching")) {
      return;
    }
    simulation.checker().recordTaskStart(this, localTask.taskId);
    changeStatus(localTask, "running");
    localTask.endsAtSeconds =
        simulation.nowSeconds()
            + durationSecondsByTask.getOrDefault(
                localTask.taskId,
                simulation.taskDurationSeconds().applyAsDouble(taskDurationSeconds));
    launchCount++;
    simulation.recordTaskStart(localTask.taskId, id);
    scheduleReportOfChange();
    if (simulation.reportsOnChange()) {
      simulation.runAfter(
          localTask.endsAtSeconds - simulation.nowSeconds(),
          () -> {
            if (up && simulation.nowSeconds() >= hangsUntilSeconds) {
              finishDueTasks();
              scheduleReportOfChange();
            }
          });
    }
  }

  private void handleReply(
      HttpClient.ClientResponse reply,
      Throwable failure,
      String target,
      WorkerMessageLog.SentReport report) {
    if (up && simulation.nowSeconds() < hangsUntilSeconds) {
      simulation.runAfter(
          hangsUntilSeconds - simulation.nowSeconds(),
          () -> handleReply(reply, failure, target, report));
      return;
    }
    inFlight = false;
    if (up) {
      applyReply(reply, failure, target, report);
    }
    if (changedWhileInFlight) {
      changedWhileInFlight = false;
      scheduleReportOfChange();
    }
  }

  private void applyReply(
      HttpClient.ClientResponse reply,
      Throwable failure,
      String target,
      WorkerMessageLog.SentReport report) {
    try {
      if (failure == null && reply.status() == 421) {
        String leader = Cbor.parse(reply.body()).path("master").asText("");
        controller = leader.isEmpty() || leader.equals(target) ? null : leader;
        if (controller != null) {
          sendReport();
        } else {
          retryAtNextController(target);
        }
      } else if (failure != null || reply.status() != 200) {
        controller = null;
        retryAtNextController(target);
      } else {
        controller = target;
        ObjectNode message = Cbor.parse(reply.body());
        executeReply(message, report);
      }
    } catch (Cbor.MalformedMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private void executeReply(ObjectNode message, WorkerMessageLog.SentReport report) {
    if (simulation.missingTokenBehavior().tokenOf(message) >= highestFencingToken
        && report.session() == session
        && simulation.nowSeconds() - report.sentAtSeconds() < REPLY_TIMEOUT_SECONDS) {
      highestFencingToken = simulation.missingTokenBehavior().tokenOf(message);
      leaseRenewedAtSeconds = Math.max(leaseRenewedAtSeconds, report.sentAtSeconds());
      message.path("orders").forEach(this::executeCommand);
    }
  }

  /** Schedules a report to the controller after the one that did not accept the last report. */
  private void retryAtNextController(String tried) {
    nextControllerIndex = ClusterSimulation.controllerIndex(tried) + 1;
    simulation.runAfter(
        NEXT_CONTROLLER_DELAY_SECONDS,
        () -> {
          if (up && !inFlight && simulation.nowSeconds() >= hangsUntilSeconds) {
            sendReport();
          }
        });
  }

  void executeCommand(JsonNode command) {
    String taskId = command.get("piece").asText();
    LocalTask localTask = tasksById.get(taskId);
    switch (command.get("verb").asText()) {
      case "launch" -> {
        if (localTask != null
            && (localTask.attempt == command.get("try").asLong()
                || !localTask.status.equals("ended"))) {
          // Known in any state, or refused as the task is here with another attempt.
          return;
        }
        LocalTask launched = new LocalTask();
        launched.taskId = taskId;
        launched.attempt = command.get("try").asLong();
        simulation.checker().recordLaunch(this, taskId, launched.attempt);
        launched.status = "fetching";
        putTask(launched);
        if (imageFetchSeconds > 0) {
          simulation.runAfter(imageFetchSeconds, () -> startFetchedTask(launched));
        } else {
          startFetchedTask(launched);
        }
      }
      case "halt" -> {
        boolean sameAttempt = localTask != null && localTask.attempt == command.get("try").asLong();
        if (sameAttempt && !localTask.status.equals("ended")) {
          changeStatus(localTask, "ended");
          localTask.cause = "halted";
        }
      }
      default -> {
        if (localTask != null
            && localTask.status.equals("ended")
            && localTask.attempt == command.get("try").asLong()) {
          tasksById.remove(taskId);
        }
      }
    }
  }
}
