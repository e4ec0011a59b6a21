package io.violetrail.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.violetrail.config.Settings.Objective;
import io.violetrail.configuration.Configuration;
import io.violetrail.configuration.FixedConfiguration;
import io.violetrail.fakes.World;
import io.violetrail.fleet.Machine;
import io.violetrail.model.Amounts;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.MachineId;
import io.violetrail.model.MachineType;
import io.violetrail.model.Priority;
import io.violetrail.model.Shape;
import io.violetrail.model.Version;
import io.violetrail.ownership.Directory;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.Rows.EntityRow;
import io.violetrail.ownership.Rows.MachineRow;
import io.violetrail.ownership.Rows.OwnershipHistory;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What urgent jobs are given before others. */
class UrgencyTest {
  private static final MachineType TYPE =
      new MachineType("plain", new Amounts(32, 0, 64), 50, 1, 1, 0.3, 30, List.of("a"));
  private final OwnedEntity h =
      new OwnedEntity(
          new EntityRow(new ControllerId("c0"), new Version(10), true, OwnershipHistory.NONE, 1),
          true,
          0);
  private final Aims aims =
      new Aims(
          configuration(
              List.of(
                  new Objective("wait", "urgent", 40, 0.9, 1),
                  new Objective("finished", "urgent", 350, 0.9, 1))));

  private static Configuration configuration(List<Objective> objectives) {
    World world = new World(1, 1);
    world.objectives = objectives;
    var settings = world.settings("c0");
    return new FixedConfiguration(settings, new Directory(settings));
  }

  private static JobSpec spec(int id, Priority priority, double cpus) {
    return spec(id, priority, cpus, Shape.GANG);
  }

  private static JobSpec spec(int id, Priority priority, double cpus, Shape shape) {
    return new JobSpec(
        new JobId("job-" + id),
        priority == Priority.HIGH ? "urgent" : "plain",
        "red",
        shape,
        priority,
        1,
        new Amounts(cpus, 0, 1),
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

  private void waits(int id, double arrivedS) {
    JobSpec spec = spec(id, Priority.HIGH, 30);
    h.addJob(new Job(spec, 0, arrivedS, false));
  }

  private Machine machine(int n) {
    Machine m =
        new Machine(
            new MachineRow(
                new MachineId("vm-" + n), h.entity(), "plain", "a", false, true, new Version(0), 0),
            TYPE,
            new Version(10),
            0);
    m.reportTaken(null);
    h.addMachine(m);
    return m;
  }

  @Test
  void whoCanStillStartInTimeGoesBeforeWhoCannot() {
    // In the order of arrival, a burst made nearly every job of it start late.
    waits(1, 0);
    waits(2, 45);
    waits(3, 20);
    for (int i = 1; i <= 3; i++) {
      machine(i);
    }
    List<String> order =
        new Waiting(h, aims, new Estimates())
            .order(50).stream().map(j -> j.spec().id().value()).toList();
    assertEquals(List.of("job-3", "job-2", "job-1"), order);
  }

  @Test
  void nobodyWaitsWithoutEndBecauseOthersFitInTime() {
    // Where there is always more work than room, what is late made way for ever.
    machine(1);
    for (int i = 1; i < 6; i++) {
      JobSpec spec = spec(i, Priority.HIGH, 30, Shape.ARRAY);
      h.addJob(new Job(spec, 0, i == 1 ? 0 : 500, false));
    }
    List<Job> order = new Waiting(h, aims, new Estimates()).order(510);
    assertEquals("job-1", order.get(0).spec().id().value());
  }
}
