package io.violetrail.fakes;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.model.Version;
import io.violetrail.net.RequestHandler.HttpAnswer;
import io.violetrail.wire.Cbor;
import java.util.Collection;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * A deployment as the program before 2026-12 leaves it, whose first versions began at 0, and
 * controllers of that program as far as workers see them: they tell a worker that comes back from
 * its owner to stay, by an answer without a token.
 */
public final class PreviousReleaseControllers {
  /** Where a block's rows have the term. */
  private static final int VERSION_INDEX_IN_BLOCK_ROW = 4;

  private final ClusterSimulation simulation;

  public PreviousReleaseControllers(ClusterSimulation simulation) {
    this.simulation = simulation;
  }

  /** While no controller runs: rows and workers as if no entity had ever moved. */
  public void rewriteRowsToFirstVersions() {
    for (int i = 0; i < simulation.controllerCount(); i++) {
      ObjectNode entity = copyRow("c/entity/" + ClusterSimulation.controllerName(i));
      simulation
          .stateService()
          .put("c/entity/" + ClusterSimulation.controllerName(i), entity.put("version", i));
    }
    for (String key : simulation.stateService().keysWithPrefix("c/block/")) {
      ObjectNode block = copyRow(key);
      block.forEach(
          machine -> ((ArrayNode) machine).set(VERSION_INDEX_IN_BLOCK_ROW, Version.NONE.value()));
      simulation.stateService().put(key, block);
    }
    simulation
        .cloud()
        .workers()
        .values()
        .forEach(w -> w.setHighestFencingToken(Version.NONE.value()));
  }

  /** An entity that has been handed over, before its new owner has seen that. */
  public void storeHandedOverEntity(String entity, int newOwner) {
    simulation
        .stateService()
        .put(
            "c/entity/" + entity,
            Cbor.newMap()
                .put("owner", ClusterSimulation.controllerName(newOwner))
                .put("version", newOwner)
                .put("calm", true));
  }

  private ObjectNode copyRow(String key) {
    return (ObjectNode) simulation.stateService().findValue(key).deepCopy();
  }

  /**
   * A controller of that program runs, whose lease stands, beside the owner of all machines.
   *
   * @param returnedWorkers workers that it has sent to their owner already and that are back from
   *     there
   */
  public void startController(String name, String owner, Collection<FakeWorker> returnedWorkers) {
    simulation.stateService().put("c/alive/" + name, Cbor.newMap().put("zone", "z"));
    Set<String> redirectedMachines =
        returnedWorkers.stream().map(w -> w.id()).collect(Collectors.toSet());
    simulation.startStandIn(
        name,
        (method, path, body, done) -> replyToWorker(path, body, owner, redirectedMachines, done));
  }

  public void stopController(String name) {
    simulation.stateService().remove("c/alive/" + name);
    simulation.stopStandIn(name);
  }

  private static void replyToWorker(
      String path,
      byte[] body,
      String owner,
      Set<String> redirectedMachines,
      Consumer<HttpAnswer> done) {
    if (!path.equals("/agent/beat")) {
      done.accept(HttpAnswer.unavailable("a controller of an earlier program"));
      return;
    }
    boolean firstReport = redirectedMachines.add(machineIdOf(body));
    done.accept(
        firstReport
            ? HttpAnswer.of(421, Cbor.newMap().put("master", owner))
            : HttpAnswer.of(200, Cbor.newMap()));
  }

  private static String machineIdOf(byte[] report) {
    try {
      return Cbor.parse(report).get("host").asText();
    } catch (Cbor.MalformedMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }
}
