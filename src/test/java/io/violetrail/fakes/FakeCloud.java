package io.violetrail.fakes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.fleet.MachineOffering;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import io.violetrail.net.RequestHandler;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.CloudMessages;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.IntToDoubleFunction;

/** An in-memory cloud that follows the cloud's protocol. */
public final class FakeCloud implements RequestHandler {
  private final ClusterSimulation simulation;
  private final Map<String, FakeWorker> workers = new LinkedHashMap<>();
  private final List<MachineType> machineTypes = new ArrayList<>();
  private final Map<String, List<String>> machinesByRequest = new HashMap<>();
  private final Map<String, ObjectNode> requestsByName = new HashMap<>();
  private int capacity = 20;
  private boolean unavailable;

  /** Machine types of which no machine can be rented. */
  private final Set<String> soldOutTypes = new HashSet<>();

  /** How many machines of an offering may exist at a time; without an entry, any number. */
  private final Map<MachineOffering, Integer> machineLimits = new HashMap<>();

  /** Boot time by machine number; a machine with a negative time never comes up. */
  private IntToDoubleFunction bootSeconds = machineNumber -> 3;

  /** Zones that are cut off: machines can be rented there, but never report. */
  private final Set<String> lostZones = new HashSet<>();

  /** Delay of the reply to a rental request. */
  private double rentalReplyDelaySeconds;

  /** Image fetch time of machines that are created from now on. */
  private double imageFetchSeconds;

  /** Whether workers keep their reports for {@link FakeWorker#resendReport}. */
  private boolean recordsReports = true;

  /** All machines ever created, including those that were returned. */
  private final List<FakeWorker> allCreatedWorkers = new ArrayList<>();

  /** Task duration on machines that are created from now on. */
  private double taskDurationSeconds = 20;

  private int nextMachineNumber;

  /** Maximum number of machines on a page of the list; small, so that it has several pages. */
  private int pageSize = 3;

  FakeCloud(ClusterSimulation simulation) {
    this.simulation = simulation;
    machineTypes.add(
        new MachineType("plain", new Resources(8, 0, 32), 50, 1, 1, 0.3, 3, List.of("a", "b")));
  }

  public Map<String, FakeWorker> workers() {
    return workers;
  }

  public List<MachineType> machineTypes() {
    return machineTypes;
  }

  public Map<String, List<String>> machinesByRequest() {
    return machinesByRequest;
  }

  public void setCapacity(int capacity) {
    this.capacity = capacity;
  }

  public void setUnavailable(boolean unavailable) {
    this.unavailable = unavailable;
  }

  public Set<String> soldOutTypes() {
    return soldOutTypes;
  }

  public Map<MachineOffering, Integer> machineLimits() {
    return machineLimits;
  }

  /** Lets no more machines be rented in the zone. */
  public void sellOutZone(String zone) {
    for (MachineType type : machineTypes) {
      machineLimits.put(new MachineOffering(type.name(), zone, false), 0);
      machineLimits.put(new MachineOffering(type.name(), zone, true), 0);
    }
  }

  /** Ends a machine at once and without notice, as the provider does with spot machines. */
  public void takeBack(FakeWorker worker) {
    workers.remove(worker.id());
    worker.destroy();
  }

  /** Cuts a zone off: its machines end, and those that are rented there later never report. */
  public void loseZone(String zone) {
    lostZones.add(zone);
    workers.values().stream()
        .filter(worker -> worker.zone().equals(zone))
        .forEach(FakeWorker::destroy);
  }

  /** Lets machines that are rented from now on report again. */
  public void reopenZones() {
    lostZones.clear();
  }

  public void setBootSeconds(IntToDoubleFunction bootSeconds) {
    this.bootSeconds = bootSeconds;
  }

  public void setRentalReplyDelaySeconds(double rentalReplyDelaySeconds) {
    this.rentalReplyDelaySeconds = rentalReplyDelaySeconds;
  }

  public void setImageFetchSeconds(double imageFetchSeconds) {
    this.imageFetchSeconds = imageFetchSeconds;
  }

  public void setRecordsReports(boolean recordsReports) {
    this.recordsReports = recordsReports;
  }

  public List<FakeWorker> allCreatedWorkers() {
    return allCreatedWorkers;
  }

  public void setTaskDurationSeconds(double taskDurationSeconds) {
    this.taskDurationSeconds = taskDurationSeconds;
  }

  public void setPageSize(int pageSize) {
    this.pageSize = pageSize;
  }

  /** Adds a machine that is up at once and belongs to no rental request. */
  public FakeWorker addRunningMachine(String type, String zone) {
    FakeWorker worker = createMachine(type, zone, false);
    worker.boot();
    return worker;
  }

  private FakeWorker createMachine(String type, String zone, boolean spot) {
    String id = "vm-%06d".formatted(nextMachineNumber++);
    FakeWorker worker =
        new FakeWorker(
            simulation,
            id,
            type,
            zone,
            spot,
            machineTypes.stream()
                .filter(machineType -> machineType.name().equals(type))
                .findFirst()
                .orElseThrow()
                .capacity());
    worker.setTaskDurationSeconds(taskDurationSeconds);
    worker.setImageFetchSeconds(imageFetchSeconds);
    worker.setRecordsReports(recordsReports);
    allCreatedWorkers.add(worker);
    workers.put(id, worker);
    simulation.registerWorker(worker);
    return worker;
  }

  public List<FakeWorker> workersRunning(String task) {
    return workers.values().stream().filter(worker -> worker.runsTask(task)).toList();
  }

  @Override
  public void handle(
      String method, String callerAndPath, byte[] body, Consumer<HttpResponse> respond) {
    String path = callerAndPath.substring(callerAndPath.indexOf(' ') + 1);
    if (unavailable) {
      respond.accept(HttpResponse.error(503, "trouble"));
      return;
    }
    try {
      if (path.equals("/flavors")) {
        respond.accept(HttpResponse.of(200, CloudMessages.machineTypesMessage(machineTypes)));
      } else if (path.startsWith("/hosts?")) {
        respond.accept(HttpResponse.of(200, listMachines(path)));
      } else if (path.equals("/hosts")) {
        rentMachines(Cbor.parse(body), respond);
      } else if (path.equals("/hosts/return")) {
        for (var id : Cbor.parse(body).get("hosts")) {
          FakeWorker worker = workers.remove(id.asText());
          if (worker != null) {
            worker.destroy();
          }
        }
        respond.accept(HttpResponse.of(200, Cbor.newMap()));
      }
    } catch (Cbor.MalformedMessageException exception) {
      respond.accept(HttpResponse.error(400, exception.getMessage()));
    }
  }

  /** Adds a machine of a rental request that no controller remembers; it never comes up. */
  public FakeWorker addMachineOfForgottenRequest(String type, String zone) {
    return createMachine(type, zone, false);
  }

  private ObjectNode listMachines(String path) {
    String afterId = path.contains("after=") ? path.substring(path.indexOf("after=") + 6) : "";
    ObjectNode reply = Cbor.newMap().put("truncated", false);
    var hosts = reply.putArray("hosts");
    for (String id : new TreeSet<>(workers.keySet()).tailSet(afterId, false)) {
      if (hosts.size() == pageSize) {
        return reply.put("truncated", true);
      }
      hosts.addObject().put("name_id", id).put("status", "running");
    }
    return reply;
  }

  /** Returns whether one more machine of the offering could be rented now. */
  boolean isRentable(MachineOffering offering) {
    long existingCount =
        workers.values().stream().filter(worker -> worker.offering().equals(offering)).count();
    return !unavailable
        && workers.size() < capacity
        && !soldOutTypes.contains(offering.type())
        && existingCount < machineLimits.getOrDefault(offering, Integer.MAX_VALUE);
  }

  private boolean hasCapacity(ObjectNode request) {
    return isRentable(
        new MachineOffering(
            request.get("hosttype").asText(),
            request.get("yard").asText(),
            request.get("loaners").asBoolean()));
  }

  /** Checks that a request under a known name is a repetition: names must never be reused. */
  private void checkRequestNameIsUnique(String requestName, ObjectNode request) {
    ObjectNode former = requestsByName.putIfAbsent(requestName, request);
    if (former != null && !former.equals(request)) {
      simulation
          .checker()
          .reportViolation("reused_request", requestName + " was " + former + ", is " + request);
    }
  }

  private void rentMachines(ObjectNode request, Consumer<HttpResponse> done) {
    String requestName = request.get("hire").asText();
    checkRequestNameIsUnique(requestName, request);
    List<String> machineIds = machinesByRequest.get(requestName);
    if (machineIds == null) {
      machineIds = new ArrayList<>();
      for (int i = 0; hasCapacity(request) && i < request.get("count").asInt(); i++) {
        FakeWorker worker =
            createMachine(
                request.get("hosttype").asText(),
                request.get("yard").asText(),
                request.get("loaners").asBoolean());
        machineIds.add(worker.id());
        double bootDelaySeconds = bootSeconds.applyAsDouble(nextMachineNumber);
        if (bootDelaySeconds >= 0 && !lostZones.contains(worker.zone())) {
          simulation.runAfter(bootDelaySeconds, worker::boot);
        }
      }
      if (machineIds.isEmpty()) {
        done.accept(HttpResponse.error(503, "no capacity"));
        return;
      }
      machinesByRequest.put(requestName, machineIds);
    }
    ObjectNode answer = Cbor.newMap();
    machineIds.forEach(answer.putArray("hosts")::add);
    simulation.runAfter(rentalReplyDelaySeconds, () -> done.accept(HttpResponse.of(200, answer)));
  }
}
