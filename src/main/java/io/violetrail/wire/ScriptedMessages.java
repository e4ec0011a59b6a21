package io.violetrail.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.model.MachineId;
import io.violetrail.model.MachineType;
import java.util.List;

/**
 * Messages of workers, the provider and the state service, as the class archive's warm-up plays
 * them. A serving controller receives such messages and never sends them.
 */
public final class ScriptedMessages {
  private ScriptedMessages() {}

  /** A heartbeat of an on-demand machine without tasks, in its first session. */
  public static ObjectNode idleHeartbeat(
      MachineId machineId, String machineType, String zone, long sequence, long fencingToken) {
    ObjectNode message =
        Cbor.newMap()
            .put("host", machineId.value())
            .put("hosttype", machineType)
            .put("yard", zone)
            .put("loaners", false);
    message.put("tenure", 1).put("tick", sequence).put("baton", fencingToken).putArray("pieces");
    return message;
  }

  /** An answer that serves every request to the state service: a lease, and nothing stored. */
  public static ObjectNode emptyStateReply(long revision, long leaseId) {
    ObjectNode message = Cbor.newMap().put("epoch", revision).put("hold", leaseId);
    message.putArray("entries");
    message.putArray("log");
    return message;
  }

  /** The provider's only machine type. */
  public static ObjectNode machineTypeReply(MachineType machineType) {
    return CloudMessages.machineTypesMessage(List.of(machineType));
  }

  /** The provider's answer to a scale-out request for one machine. */
  public static JsonNode rentalReply(MachineId machineId) {
    return CloudMessages.returnRequest(List.of(machineId));
  }
}
