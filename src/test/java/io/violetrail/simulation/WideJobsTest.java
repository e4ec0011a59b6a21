package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.MessageObserver;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.net.RequestHandler;
import io.violetrail.net.UndertowServer;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.TaskCountLimit;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Jobs of very many, very small tasks, beside ordinary jobs on the same controllers. */
class WideJobsTest extends SimulationTestBase {
  /** Far more than the tests take, and far less than a pass of quadratic cost. */
  private static final int TIMEOUT_SECONDS = 60;

  private static final int MAX_TASKS_PER_JOB = 100_000;

  private static final int MACHINES_FOR_ALL_TASKS = 60;

  WideJobsTest() {
    super(1, 23);
    simulation.cloud().setRecordsReports(false);
  }

  private static ObjectNode wideJob(String id, int taskCount, double cpus) {
    return SimulatedUser.jobRequest(id, taskCount).put("cores", cpus).put("mem_gb", cpus / 2);
  }

  private OwnedEntity entity() {
    return simulation.controllers().get("c0").membership().findHomeEntity();
  }

  private int placedCount() {
    return entity().machines().values().stream()
        .mapToInt(machine -> machine.placements().size())
        .sum();
  }

  private void assertNoLeaseExpired() {
    for (FakeWorker worker : simulation.cloud().allCreatedWorkers()) {
      assertEquals(0, worker.expiredLeaseCount(), worker.id());
    }
  }

  private void assertReportsAreWithinLimit() {
    for (FakeWorker worker : simulation.cloud().allCreatedWorkers()) {
      assertTrue(
          worker.largestReportBytes() <= UndertowServer.MAX_BODY_BYTES,
          worker.id() + " sent " + worker.largestReportBytes() + " bytes");
    }
  }

  @Test
  @Timeout(value = TIMEOUT_SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
  void wideJobsOfTinyTasksLeaveTheControllerResponsive() {
    // Guards against passes whose cost is the square of the tasks on a machine (review, case 4).
    simulation.startAllControllers();
    user.submit("c0", SimulatedUser.jobRequest("job-1", 4));
    awaitRunning("job-1/0");
    for (int i = 0; i < 3; i++) {
      assertEquals(201, user.submit("c0", wideJob("job-1" + i, MAX_TASKS_PER_JOB, 0.00001)));
    }
    simulation.runFor(5);
    assertEquals("running", user.pollStatus("c0", "job-1"));
    assertNoLeaseExpired();
  }

  @Test
  void tasksOfAnEntityAreLimitedWhateverTheirSize() {
    // Guards against jobs that use up the memory of a controller.
    simulation.cloud().setCapacity(MACHINES_FOR_ALL_TASKS);
    simulation.startAllControllers();
    for (int i = 0; i < 12; i++) {
      assertEquals(201, user.submit("c0", wideJob("job-1" + i, MAX_TASKS_PER_JOB, 0.00001)));
    }
    simulation.runFor(40);
    assertTrue(placedCount() > TaskCountLimit.MAX_PLACED_TASKS / 2, "placed " + placedCount());
    assertTrue(placedCount() <= TaskCountLimit.MAX_PLACED_TASKS, "placed " + placedCount());
  }

  @Test
  void servicesOfTinyReplicasLeaveRoomForOtherJobs() {
    // Guards against jobs that use up the tasks that a controller may place.
    simulation.cloud().setCapacity(MACHINES_FOR_ALL_TASKS);
    simulation.startAllControllers();
    for (int i = 0; i < 2; i++) {
      ObjectNode service = wideJob("job-1" + i, MAX_TASKS_PER_JOB, 0.00001);
      assertEquals(201, user.submit("c0", service.put("shape", "daemon").put("guess_s", 0.0)));
    }
    simulation.runUntil(60, () -> placedCount() >= TaskCountLimit.MAX_PLACED_TASKS);
    user.submit("c0", SimulatedUser.jobRequest("job-2", 4));
    simulation.runUntil(90, () -> user.pollStatus("c0", "job-2").equals("done"));
    assertTrue(placedCount() < TaskCountLimit.MAX_PLACED_TASKS + 100, "placed " + placedCount());
  }

  @Test
  void reportsOfTinyTasksStayBelowTheLimitOfBodies() {
    // Guards against reports that every controller refuses, so that leases expire (review, case 5).
    simulation.setReportsOnChange(true);
    simulation.startAllControllers();
    user.submit("c0", wideJob("job-1", 3_000, 0.001));
    user.submit("c0", wideJob("job-" + "7".repeat(60), 1_000, 0.001));
    simulation.runUntil(120, () -> user.pollStatus("c0", "job-1").equals("done"));
    assertNoLeaseExpired();
    assertReportsAreWithinLimit();
  }

  @Test
  void exitedTasksThatCannotBeForgottenYetCountAsReported() {
    // Guards against reports that grow by the ends of tasks while the state service is out.
    simulation.setReportsOnChange(true);
    simulation.cloud().setTaskDurationSeconds(2);
    simulation.startAllControllers();
    user.submit("c0", wideJob("job-1", 3_000, 0.001));
    simulation.runUntil(20, () -> launchCount() > 0);
    simulation.networkFaults().holdMessages(message -> message.contains("state POST /txn"));
    simulation.runFor(8);
    simulation.networkFaults().releaseHeldMessages();
    simulation.runUntil(120, () -> user.pollStatus("c0", "job-1").equals("done"));
    assertNoLeaseExpired();
    assertReportsAreWithinLimit();
  }

  @Test
  void replyThatRenewsTheLeaseStopsAllTasksOfCancelledJob() {
    // Guards against leases that are renewed for tasks of a cancelled job, beyond 400 on a machine.
    simulation.startAllControllers();
    user.submit("c0", wideJob("job-1", 500, 0.001));
    simulation.runUntil(20, () -> launchCount() == 500);
    simulation.runFor(2);
    simulation.networkFaults().refuseConnections(message -> message.endsWith("/orders"));
    List<Integer> stopCounts = new ArrayList<>();
    simulation.setOnMessage(
        new MessageObserver() {
          @Override
          public void answered(Request request, RequestHandler.HttpResponse answer) {
            if (request.path().equals("/agent/beat")) {
              stopCounts.add(countStops(answer.body()));
            }
          }
        });
    assertEquals("cancelled", user.cancel("c0", "job-1"));
    simulation.runUntil(5, () -> stopCounts.stream().anyMatch(count -> count > 0));
    assertEquals(500, stopCounts.stream().filter(count -> count > 0).findFirst().orElseThrow());
  }

  private static int countStops(byte[] body) {
    try {
      int count = 0;
      for (JsonNode command : Cbor.parse(body).path("orders")) {
        count += command.get("verb").asText().equals("halt") ? 1 : 0;
      }
      return count;
    } catch (Cbor.MalformedMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }

  @Test
  void gangsThatNoControllerCanHoldAreRejected() {
    // Guards against gangs that are accepted but can never start, as the entity limits its tasks.
    simulation.startAllControllers();
    ObjectNode gang =
        wideJob("job-1", TaskCountLimit.MAX_PLACED_TASKS + 1, 0.00001).put("shape", "ensemble");
    assertEquals(422, user.submit("c0", gang));
  }
}
