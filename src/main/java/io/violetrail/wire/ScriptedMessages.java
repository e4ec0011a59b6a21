package io.violetrail.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.model.MachineId;
import io.violetrail.model.MachineType;
import java.util.List;

/**
 * Encodes the messages of workers, the cloud provider and the state service that the warm-up for
 * the class data archive replays. A serving controller receives such messages but never sends them.
 */
public final class ScriptedMessages {
  private ScriptedMessages() {}

  /** Encodes a heartbeat of an on-demand machine without tasks, in its first session. */
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

  /**
   * Encodes a state service reply that is valid for every request: it grants a lease and contains
   * no entries and no changes.
   */
  public static ObjectNode emptyStateReply(long revision, long leaseId) {
    ObjectNode message = Cbor.newMap().put("epoch", revision).put("hold", leaseId);
    message.putArray("entries");
    message.putArray("log");
    return message;
  }

  /** Encodes the provider's list of machine types with a single type. */
  public static ObjectNode machineTypeReply(MachineType machineType) {
    return CloudMessages.machineTypesMessage(List.of(machineType));
  }

  /**
   * Encodes the provider's reply to a rental request for one machine. The reply has the same form
   * as a return request.
   */
  public static JsonNode rentalReply(MachineId machineId) {
    return CloudMessages.returnRequest(List.of(machineId));
  }
}
