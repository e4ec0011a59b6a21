package io.violetrail.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.violetrail.config.Settings.Objective;
import io.violetrail.configuration.Configuration;
import io.violetrail.configuration.FixedConfiguration;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fleet.Machine;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobShape;
import io.violetrail.model.JobSpec;
import io.violetrail.model.MachineId;
import io.violetrail.model.MachineType;
import io.violetrail.model.Priority;
import io.violetrail.model.Resources;
import io.violetrail.model.Version;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.StateSchema.EntityRow;
import io.violetrail.ownership.StateSchema.MachineRow;
import io.violetrail.ownership.StateSchema.OwnershipHistory;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order in which pending jobs are placed. */
class PendingQueueTest {
  private static final MachineType TYPE =
      new MachineType("plain", new Resources(32, 0, 64), 50, 1, 1, 0.3, 30, List.of("a"));
  private final OwnedEntity ownedEntity =
      new OwnedEntity(
          new EntityRow(new ControllerId("c0"), new Version(10), true, OwnershipHistory.NONE, 1),
          true,
          0);
  private final ServiceLevelObjectives serviceLevelObjectives =
      new ServiceLevelObjectives(
          configuration(
              List.of(
                  new Objective("wait", "urgent", 40, 0.9, 1),
                  new Objective("finished", "urgent", 350, 0.9, 1))));

  private static Configuration configuration(List<Objective> objectives) {
    ClusterSimulation simulation = new ClusterSimulation(1, 1);
    simulation.setObjectives(objectives);
    var settings = simulation.settings("c0");
    return new FixedConfiguration(settings, new ClusterView(settings));
  }

  private static JobSpec jobSpec(int id, Priority priority, double cpus) {
    return jobSpec(id, priority, cpus, JobShape.GANG);
  }

  private static JobSpec jobSpec(int id, Priority priority, double cpus, JobShape shape) {
    return new JobSpec(
        new JobId("job-" + id),
        priority == Priority.HIGH ? "urgent" : "plain",
        "red",
        shape,
        priority,
        1,
        new Resources(cpus, 0, 1),
        "img",
        0.1,
        null,
        null,
        false,
        false,
        false,
        100,
        0,
        0,
        null);
  }

  private void addWaitingJob(int id, double arrivedAtSeconds) {
    JobSpec spec = jobSpec(id, Priority.HIGH, 30);
    ownedEntity.addJob(new Job(spec, 0, arrivedAtSeconds, false));
  }

  private Machine addMachine(int number) {
    Machine machine =
        new Machine(
            new MachineRow(
                new MachineId("vm-" + number),
                ownedEntity.id(),
                "plain",
                "a",
                false,
                true,
                new Version(0),
                0),
            TYPE,
            new Version(10),
            0);
    machine.recordReconciledStatus(null);
    ownedEntity.addMachine(machine);
    return machine;
  }

  @Test
  void jobsThatCanMeetTheirObjectiveComeFirst() {
    // With order of arrival, nearly every job of a burst started late.
    addWaitingJob(1, 0);
    addWaitingJob(2, 45);
    addWaitingJob(3, 20);
    for (int i = 1; i <= 3; i++) {
      addMachine(i);
    }
    List<String> order =
        new PendingQueue(ownedEntity, serviceLevelObjectives, new RuntimeEstimates())
            .orderedJobs(50).stream().map(job -> job.spec().id().value()).toList();
    assertEquals(List.of("job-3", "job-2", "job-1"), order);
  }

  @Test
  void lateJobIsNotStarvedByJobsThatFitInTime() {
    // While there is always more work than capacity, late jobs were deferred forever.
    addMachine(1);
    for (int i = 1; i < 6; i++) {
      JobSpec spec = jobSpec(i, Priority.HIGH, 30, JobShape.ARRAY);
      ownedEntity.addJob(new Job(spec, 0, i == 1 ? 0 : 500, false));
    }
    List<Job> order =
        new PendingQueue(ownedEntity, serviceLevelObjectives, new RuntimeEstimates())
            .orderedJobs(510);
    assertEquals("job-1", order.get(0).spec().id().value());
  }
}
