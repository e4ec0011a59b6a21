package io.violetrail.fakes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Team;
import io.violetrail.net.HttpClient;
import io.violetrail.wire.Cbor;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Verifies that {@link InvariantChecker} reports a violation of each of its invariants. */
class InvariantCheckerTest {
  private final ClusterSimulation simulation = new ClusterSimulation(1, 1);
  private final FakeWorker firstWorker = simulation.cloud().addRunningMachine("plain", "a");
  private final FakeWorker secondWorker = simulation.cloud().addRunningMachine("plain", "b");
  private long attemptCount;

  private void recordExchange(
      String method, String path, ObjectNode body, int status, String jobStatus) {
    ObjectNode answer = Cbor.newMap().put("name_id", "job-1").put("status", jobStatus);
    byte[] requestBody = body == null ? null : Cbor.encode(body);
    long requestClock = simulation.checker().recordRequest(method, path, requestBody);
    simulation
        .checker()
        .recordReply(
            requestClock,
            method,
            path,
            requestBody,
            new HttpClient.ClientResponse(status, Cbor.encode(answer)));
  }

  private void acceptJob(ObjectNode job) {
    recordExchange("POST", "/work", job, 201, "queued");
    assertEquals(List.of(), simulation.violations());
  }

  /** Launches the task under an attempt number of its own, the first one being 1. */
  private void launch(FakeWorker worker, String task) {
    launch(worker, task, ++attemptCount);
  }

  private static void launch(FakeWorker worker, String task, long attempt) {
    worker.executeCommand(
        Cbor.newMap().put("verb", "launch").put("piece", task).put("try", attempt));
  }

  private void assertViolated(String rule) {
    assertTrue(
        simulation.violations().stream().anyMatch(violation -> violation.startsWith(rule + ":")),
        rule);
  }

  @Test
  void taskStartedOnTwoWorkersIsReported() {
    acceptJob(SimulatedUser.jobRequest("job-1", 1));
    launch(firstWorker, "job-1/0");
    assertEquals(List.of(), simulation.violations());
    launch(secondWorker, "job-1/0");
    assertViolated("ran_twice");
  }

  @Test
  void attemptLaunchedOnTwoWorkersIsReportedExceptForGangs() {
    acceptJob(SimulatedUser.jobRequest("job-1", 1));
    acceptJob(SimulatedUser.jobRequest("job-2", 2).put("shape", "ensemble"));
    launch(firstWorker, "job-2/0", 7);
    firstWorker.destroy();
    launch(secondWorker, "job-2/0", 7);
    launch(firstWorker, "job-1/0", 8);
    assertEquals(List.of(), simulation.violations());
    firstWorker.destroy();
    launch(secondWorker, "job-1/0", 8);
    assertViolated("reused_attempt");
    assertEquals(1, simulation.violations().size(), simulation.violations().toString());
  }

  @Test
  void requestNameUsedForAnotherRequestIsReported() {
    ObjectNode request = Cbor.newMap().put("hire", "r-1").put("hosttype", "plain").put("yard", "a");
    request.put("loaners", false).put("count", 1);
    rent(request);
    rent(request);
    assertEquals(List.of(), simulation.violations());
    rent(request.put("yard", "b"));
    assertViolated("reused_request");
  }

  private void rent(ObjectNode request) {
    simulation.cloud().handle("POST", "c0 /hosts", Cbor.encode(request), reply -> {});
  }

  @Test
  void teamAboveItsQuotaIsReported() {
    simulation.teams().put("red", new Team("red", 0, 0, 1.5, 0));
    acceptJob(SimulatedUser.jobRequest("job-1", 2));
    launch(firstWorker, "job-1/0");
    assertEquals(List.of(), simulation.violations());
    launch(firstWorker, "job-1/1");
    assertViolated("quota");
  }

  @Test
  void teamUsageIsSummedOverAllWorkersAsTasksStartAndEnd() {
    simulation.teams().put("red", new Team("red", 0, 0, 2, 0));
    acceptJob(SimulatedUser.jobRequest("job-1", 4));
    launch(firstWorker, "job-1/0");
    launch(secondWorker, "job-1/1");
    firstWorker.executeCommand(
        Cbor.newMap().put("verb", "halt").put("piece", "job-1/0").put("try", 1));
    launch(firstWorker, "job-1/2");
    assertEquals(List.of(), simulation.violations());
    launch(secondWorker, "job-1/3");
    assertViolated("quota");
  }

  @Test
  void tasksOfAnExpiredLeaseDoNotCount() {
    simulation.teams().put("red", new Team("red", 0, 0, 1, 0));
    acceptJob(SimulatedUser.jobRequest("job-1", 2).put("one_zone", true));
    launch(firstWorker, "job-1/0");
    // The worker's lease has expired, but the worker has not run since and still has its task.
    firstWorker.renewLeaseForTest(
        simulation.nowSeconds() - simulation.workerSettings().leaseSeconds() - 0.1);
    launch(secondWorker, "job-1/1");
    launch(secondWorker, "job-1/0");
    assertViolated("quota");
    assertEquals(1, simulation.violations().size(), simulation.violations().toString());
  }

  @Test
  void resubmissionWithOtherResourcesChangesTeamUsage() {
    simulation.teams().put("red", new Team("red", 0, 0, 3, 0));
    simulation
        .checker()
        .recordRequest("POST", "/work", Cbor.encode(SimulatedUser.jobRequest("job-1", 2)));
    launch(firstWorker, "job-1/0");
    recordExchange(
        "POST", "/work", SimulatedUser.jobRequest("job-1", 2).put("cores", 2.0), 201, "queued");
    assertEquals(List.of(), simulation.violations());
    launch(firstWorker, "job-1/1");
    assertViolated("quota");
  }

  @Test
  void spreadTasksInOneZoneAreReported() {
    acceptJob(SimulatedUser.jobRequest("job-1", 2).put("apart", true));
    launch(firstWorker, "job-1/0");
    assertEquals(List.of(), simulation.violations());
    launch(firstWorker, "job-1/1");
    assertViolated("wrong_place");
  }

  @Test
  void tasksOfOneZoneJobInTwoZonesAreReported() {
    acceptJob(SimulatedUser.jobRequest("job-1", 2).put("one_zone", true));
    launch(firstWorker, "job-1/0");
    assertEquals(List.of(), simulation.violations());
    launch(secondWorker, "job-1/1");
    assertViolated("wrong_place");
  }

  @Test
  void taskRunningLongAfterCancellationIsReported() {
    acceptJob(SimulatedUser.jobRequest("job-1", 1));
    firstWorker.setTaskDurationSeconds(100);
    launch(firstWorker, "job-1/0");
    recordExchange("POST", "/work/job-1/abort", Cbor.newMap(), 200, "cancelled");
    simulation.runAfter(30, () -> firstWorker.renewLeaseForTest(simulation.nowSeconds()));
    simulation.runFor(39);
    assertEquals(List.of(), simulation.violations());
    // Without this renewal the lease would have expired by now.
    firstWorker.renewLeaseForTest(simulation.nowSeconds());
    firstWorker.addUnlaunchedTask("job-1/0");
    simulation.runFor(2);
    assertViolated("ran_cancelled");
  }

  @Test
  void notFoundForAnAcceptedJobIsReported() {
    acceptJob(SimulatedUser.jobRequest("job-1", 1));
    recordExchange("GET", "/work/job-1", null, 404, "");
    assertViolated("forgotten");
  }

  @Test
  void statusOfJobNeverSubmittedIsReported() {
    recordExchange("GET", "/work/job-1", null, 200, "queued");
    assertViolated("invented");
  }

  @Test
  void doneBeforeAllTasksEndedIsReported() {
    acceptJob(SimulatedUser.jobRequest("job-1", 2));
    simulation.checker().recordTaskDone("job-1/0");
    recordExchange("GET", "/work/job-1", null, 200, "done");
    assertViolated("not_done");
  }

  @Test
  void statusGoingBackwardsIsReported() {
    acceptJob(SimulatedUser.jobRequest("job-1", 1));
    simulation.checker().recordTaskDone("job-1/0");
    recordExchange("GET", "/work/job-1", null, 200, "done");
    assertEquals(List.of(), simulation.violations());
    recordExchange("GET", "/work/job-1", null, 200, "running");
    assertViolated("went_back");
  }

  @Test
  void onlyConcurrentRepliesMayContradictEachOther() {
    acceptJob(SimulatedUser.jobRequest("job-1", 1));
    simulation.checker().recordTaskDone("job-1/0");
    long earlierRequestClock = simulation.checker().recordRequest("GET", "/work/job-1", null);
    recordExchange("GET", "/work/job-1", null, 200, "done");
    recordStatus(earlierRequestClock, "running");
    assertEquals(List.of(), simulation.violations());
    recordStatus(simulation.checker().recordRequest("GET", "/work/job-1", null), "running");
    assertViolated("went_back");
  }

  private void recordStatus(long requestClock, String status) {
    byte[] body = Cbor.encode(Cbor.newMap().put("name_id", "job-1").put("status", status));
    simulation
        .checker()
        .recordReply(
            requestClock, "GET", "/work/job-1", null, new HttpClient.ClientResponse(200, body));
  }

  @Test
  void twoDifferentOutcomesAreReportedEvenIfConcurrent() {
    acceptJob(SimulatedUser.jobRequest("job-1", 1));
    simulation.checker().recordTaskDone("job-1/0");
    long earlierRequestClock = simulation.checker().recordRequest("GET", "/work/job-1", null);
    recordExchange("POST", "/work/job-1/abort", Cbor.newMap(), 200, "cancelled");
    recordStatus(earlierRequestClock, "done");
    assertViolated("went_back");
  }

  @Test
  void rejectionOfAnAcceptedJobIsReported() {
    acceptJob(SimulatedUser.jobRequest("job-1", 1));
    recordExchange("POST", "/work", SimulatedUser.jobRequest("job-1", 1), 422, "");
    assertViolated("forgotten");
  }

  @Test
  void startsAfterConfirmedCancellationAreCounted() {
    acceptJob(SimulatedUser.jobRequest("job-1", 1));
    recordExchange("POST", "/work/job-1/abort", Cbor.newMap(), 200, "cancelled");
    launch(firstWorker, "job-1/0");
    assertEquals(1, simulation.checker().startsAfterCancellation());
    assertEquals(List.of(), simulation.violations());
  }

  @Test
  void acceptingAnIncompleteOrUnplaceableJobIsReported() {
    ObjectNode incompleteJob = SimulatedUser.jobRequest("job-1", 1);
    incompleteJob.remove("bundle");
    recordExchange("POST", "/work", incompleteJob, 201, "queued");
    assertViolated("senseless");
    simulation.violations().clear();
    recordExchange(
        "POST", "/work", SimulatedUser.jobRequest("job-2", 1).put("cores", 9.0), 201, "queued");
    assertViolated("senseless");
  }

  @Test
  void jobUnansweredAfterFaultsEndedIsReported() {
    acceptJob(SimulatedUser.jobRequest("job-1", 1).put("yard", "a"));
    simulation.checker().faultsEnded();
    firstWorker.setPreemptionNoticeSeconds(1.0);
    recordExchange("GET", "/work/job-1", null, 503, "");
    simulation.runFor(74);
    assertEquals(List.of(), simulation.violations());
    simulation.runFor(2);
    assertViolated("forgotten");
  }

  @Test
  void jobWaitingDespiteFreeCapacityIsReported() {
    acceptJob(SimulatedUser.jobRequest("job-1", 1));
    simulation.checker().faultsEnded();
    simulation.runFor(89);
    assertEquals(List.of(), simulation.violations());
    simulation.runFor(3);
    assertViolated("left_waiting");
  }

  @Test
  void jobMayWaitWithoutCapacityOrAboveItsQuota() {
    simulation.teams().put("red", new Team("red", 0, 0, 8, 0));
    firstWorker.setTaskDurationSeconds(500);
    acceptJob(SimulatedUser.jobRequest("job-1", 1).put("cores", 8.0));
    launch(firstWorker, "job-1/0");
    acceptJob(SimulatedUser.jobRequest("job-2", 1));
    simulation.checker().faultsEnded();
    for (int i = 0; i < 15; i++) {
      simulation.runAfter(8 * i, () -> firstWorker.renewLeaseForTest(simulation.nowSeconds()));
    }
    simulation.runFor(100);
    assertEquals(List.of(), simulation.violations());
  }

  @Test
  void classServedLessThanHalfIsReported() {
    acceptJob(SimulatedUser.jobRequest("job-1", 2));
    acceptJob(SimulatedUser.jobRequest("job-2", 1));
    acceptJob(SimulatedUser.jobRequest("job-3", 1));
    launch(firstWorker, "job-2/0");
    simulation.checker().recordTaskDone("job-2/0");
    assertEquals(
        3,
        simulation.checker().findUnderservedGroups().size(),
        "class, team, and the class's largest");
    launch(firstWorker, "job-1/0");
    simulation.checker().recordTaskDone("job-3/0");
    assertEquals(List.of(), simulation.checker().findUnderservedGroups());
  }
}
