package io.violetrail.simulation.digest;

import com.fasterxml.jackson.databind.JsonNode;
import io.violetrail.fakes.ClusterSimulation;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Counts failovers, failbacks and transfers of quota and machines during a day, by comparing the
 * state service's rows from one observation to the next. It reads only. A change that is undone
 * between two observations is not counted.
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
  private int failoverCount;
  private int failbackCount;
  private int quotaTransferCount;
  private int machineTransferCount;

  ObservedEvents(ClusterSimulation simulation) {
    this.cluster = simulation;
  }

  /** Compares the rows with those of the previous observation and counts the differences. */
  void observe() {
    for (int i = 0; i < cluster.controllerCount(); i++) {
      observeEntity(ClusterSimulation.controllerName(i), i);
    }
    new TreeSet<>(cluster.stateService().keysWithPrefix(QUOTA)).forEach(this::observeQuota);
    new TreeSet<>(cluster.stateService().keysWithPrefix(MACHINE_BLOCK))
        .forEach(this::observeMachineBlock);
    new TreeSet<>(cluster.stateService().keysWithPrefix(MACHINE)).forEach(this::observeMachine);
  }

  private void observeEntity(String entity, int homeController) {
    JsonNode row = cluster.stateService().findValue(ENTITY + entity);
    if (row == null) {
      return;
    }
    int leader = (int) (row.path("version").asLong() % OWNER_MODULUS);
    Integer previousLeader = leaderOfEntity.put(entity, leader);
    if (previousLeader != null && previousLeader != leader) {
      failoverCount += leader == homeController ? 0 : 1;
      failbackCount += leader == homeController ? 1 : 0;
    }
  }

  private void observeQuota(String key) {
    JsonNode row = cluster.stateService().findValue(key);
    JsonNode previousRow = quotas.put(key, row);
    quotaTransferCount += previousRow != null && !previousRow.equals(row) ? 1 : 0;
  }

  private void observeMachineBlock(String key) {
    String entity = key.substring(MACHINE_BLOCK.length(), key.lastIndexOf('/'));
    cluster
        .stateService()
        .findValue(key)
        .fieldNames()
        .forEachRemaining(machine -> recordEntityOfMachine(machine, entity));
  }

  private void observeMachine(String key) {
    String entity = cluster.stateService().findValue(key).path("entity").asText();
    recordEntityOfMachine(key.substring(MACHINE.length()), entity);
  }

  private void recordEntityOfMachine(String machine, String entity) {
    String previousEntity = entityOfMachine.put(machine, entity);
    machineTransferCount += previousEntity != null && !previousEntity.equals(entity) ? 1 : 0;
  }

  /** Returns the counts in the form that a day's line contains. */
  String summary() {
    return "failovers=%d hand-backs=%d quota-transfers=%d machine-transfers=%d"
        .formatted(failoverCount, failbackCount, quotaTransferCount, machineTransferCount);
  }
}
