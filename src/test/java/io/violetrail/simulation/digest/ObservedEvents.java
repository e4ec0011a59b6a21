package io.violetrail.simulation.digest;

import com.fasterxml.jackson.databind.JsonNode;
import io.violetrail.fakes.ClusterSimulation;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Counts what the faults and the load of a day brought about, by looking at the rows of the state
 * service from time to time. It changes nothing; what comes and goes between two looks is missed.
 */
final class ObservedEvents {
  private static final String ENTITY = "c/entity/";
  private static final String QUOTA = "c/slice/";
  private static final String MACHINE = "c/machine/";
  private static final String MACHINE_BLOCK = "c/block/";
  private static final int OWNER_MODULUS = 10;

  private final ClusterSimulation cluster;
  private final Map<String, Integer> leaderOfEntity = new HashMap<>();
  private final Map<String, JsonNode> quotas = new HashMap<>();
  private final Map<String, String> entityOfMachine = new HashMap<>();
  private int failovers;
  private int handBacks;
  private int quotaTransfers;
  private int machineTransfers;

  ObservedEvents(ClusterSimulation simulation) {
    this.cluster = simulation;
  }

  /** Compares the rows with those of the last look. */
  void look() {
    for (int i = 0; i < cluster.controllerCount(); i++) {
      lookAtEntity(ClusterSimulation.controllerName(i), i);
    }
    new TreeSet<>(cluster.stateService().keysWithPrefix(QUOTA)).forEach(this::lookAtQuota);
    new TreeSet<>(cluster.stateService().keysWithPrefix(MACHINE_BLOCK)).forEach(this::lookAtBlock);
    new TreeSet<>(cluster.stateService().keysWithPrefix(MACHINE)).forEach(this::lookAtMachine);
  }

  private void lookAtEntity(String entity, int ownController) {
    JsonNode row = cluster.stateService().findValue(ENTITY + entity);
    if (row == null) {
      return;
    }
    int leader = (int) (row.path("version").asLong() % OWNER_MODULUS);
    Integer former = leaderOfEntity.put(entity, leader);
    if (former != null && former != leader) {
      failovers += leader == ownController ? 0 : 1;
      handBacks += leader == ownController ? 1 : 0;
    }
  }

  private void lookAtQuota(String key) {
    JsonNode row = cluster.stateService().findValue(key);
    JsonNode former = quotas.put(key, row);
    quotaTransfers += former != null && !former.equals(row) ? 1 : 0;
  }

  private void lookAtBlock(String key) {
    String entity = key.substring(MACHINE_BLOCK.length(), key.lastIndexOf('/'));
    cluster
        .stateService()
        .findValue(key)
        .fieldNames()
        .forEachRemaining(machine -> belongs(machine, entity));
  }

  private void lookAtMachine(String key) {
    String entity = cluster.stateService().findValue(key).path("entity").asText();
    belongs(key.substring(MACHINE.length()), entity);
  }

  private void belongs(String machine, String entity) {
    String former = entityOfMachine.put(machine, entity);
    machineTransfers += former != null && !former.equals(entity) ? 1 : 0;
  }

  /** The counts as they stand in a day's line. */
  String summary() {
    return "failovers=%d hand-backs=%d quota-transfers=%d machine-transfers=%d"
        .formatted(failovers, handBacks, quotaTransfers, machineTransfers);
  }
}
