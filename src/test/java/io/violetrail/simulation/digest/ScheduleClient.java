package io.violetrail.simulation.digest;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubernetesJson;
import java.util.List;
import java.util.Random;

/**
 * Creates, pauses, resumes, changes, reads and deletes schedules that are due every minute or two.
 */
final class ScheduleClient implements ApiClient {
  private static final int SCHEDULES = 4;
  private static final byte[] NO_BODY = new byte[0];

  private final ClusterSimulation cluster;
  private final Random random;

  ScheduleClient(ClusterSimulation simulation, Random random) {
    this.cluster = simulation;
    this.random = random;
  }

  @Override
  public void runStep() {
    String name = "s" + random.nextInt(SCHEDULES);
    String path = "/schedules/" + name;
    switch (random.nextInt(24)) {
      case 0, 1, 2, 3 -> send("POST", "/schedules", KubernetesJson.toBytes(schedule(name)));
      case 4 -> send("POST", path + "/pause", NO_BODY);
      case 5, 6 -> send("POST", path + "/resume", NO_BODY);
      case 7 -> send("PUT", path, KubernetesJson.toBytes(schedule(name).put("version", 1)));
      case 8, 9 -> send("GET", path, NO_BODY);
      case 10 -> send("GET", path + "/history", NO_BODY);
      case 11 -> send("GET", "/reports", NO_BODY);
      case 12 -> deleteSometimes(path);
      default -> {
        // No request in this step.
      }
    }
  }

  private void deleteSometimes(String path) {
    if (random.nextInt(3) == 0) {
      send("DELETE", path, NO_BODY);
    }
  }

  private void send(String method, String path, byte[] body) {
    cluster.callController(
        "user",
        ClusterSimulation.controllerName(random.nextInt(cluster.controllerCount())),
        method,
        path,
        body);
  }

  private ObjectNode schedule(String name) {
    List<String> due = List.of("every 1 minutes", "every 1 minutes", "every 2 minutes");
    ObjectNode schedule = Cbor.newMap().put("name", name).put("zone", "UTC");
    schedule.put("due", due.get(random.nextInt(due.size())));
    schedule.put("deadline_s", 40.0 + random.nextInt(200));
    ObjectNode job = SimulatedUser.jobRequest("job-0", 1 + random.nextInt(4));
    job.remove("name_id");
    schedule.set("job", job);
    return schedule;
  }
}
