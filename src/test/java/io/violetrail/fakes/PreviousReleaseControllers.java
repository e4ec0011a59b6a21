package io.violetrail.fakes;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.model.Version;
import io.violetrail.net.RequestHandler.HttpResponse;
import io.violetrail.wire.Cbor;
import java.util.Collection;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Imitates a deployment of the releases before 2026-12, whose first versions started at 0. It
 * rewrites rows and workers to the state that those releases leave, and answers workers as their
 * controllers did. Such a controller redirects a worker to its owner once; when the worker comes
 * back, the controller keeps it by a reply without a token.
 */
public final class PreviousReleaseControllers {
  /** The index of the version in a machine's entry of a block row. */
  private static final int VERSION_INDEX_IN_BLOCK_ROW = 4;

  private final ClusterSimulation simulation;

  public PreviousReleaseControllers(ClusterSimulation simulation) {
    this.simulation = simulation;
  }

  /**
   * Rewrites rows and workers as if no entity had ever moved since its first version. No controller
   * may run meanwhile.
   */
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

  /** Stores the row of an entity that was handed over, before its new owner has read it. */
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
   * Starts a controller of the previous release with a valid lease, besides the owner of all
   * machines.
   *
   * @param returnedWorkers workers that this controller has already redirected to their owner and
   *     that have come back
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
      Consumer<HttpResponse> done) {
    if (!path.equals("/agent/beat")) {
      done.accept(HttpResponse.unavailable("a controller of an earlier program"));
      return;
    }
    boolean firstReport = redirectedMachines.add(machineIdOf(body));
    done.accept(
        firstReport
            ? HttpResponse.of(421, Cbor.newMap().put("master", owner))
            : HttpResponse.of(200, Cbor.newMap()));
  }

  private static String machineIdOf(byte[] report) {
    try {
      return Cbor.parse(report).get("host").asText();
    } catch (Cbor.MalformedMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }
}
