package io.violetrail.fakes;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.model.Version;
import io.violetrail.net.Service.Answer;
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
public final class EarlierProgram {
  /** Where a block's rows have the term. */
  private static final int TERM_OF_BLOCK_ROW = 4;

  private final World world;

  public EarlierProgram(World world) {
    this.world = world;
  }

  /** While no controller runs: rows and workers as if no entity had ever moved. */
  public void rewind() {
    for (int i = 0; i < world.controllers(); i++) {
      ObjectNode entity = row("c/entity/" + World.name(i));
      world.state.put("c/entity/" + World.name(i), entity.put("version", i));
    }
    for (String key : world.state.keys("c/block/")) {
      ObjectNode block = row(key);
      block.forEach(machine -> ((ArrayNode) machine).set(TERM_OF_BLOCK_ROW, Version.NONE.value()));
      world.state.put(key, block);
    }
    world.cloud.workers.values().forEach(w -> w.highestToken(Version.NONE.value()));
  }

  /** An entity that has been handed over, before its new owner has seen that. */
  public void handedOver(String entity, int to) {
    world.state.put(
        "c/entity/" + entity,
        Cbor.map().put("owner", World.name(to)).put("version", to).put("calm", true));
  }

  private ObjectNode row(String key) {
    return (ObjectNode) world.state.value(key).deepCopy();
  }

  /**
   * A controller of that program runs, whose lease stands, beside the owner of all machines.
   *
   * @param back workers that it has sent to their owner already and that are back from there
   */
  public void start(String name, String owner, Collection<FakeWorker> back) {
    world.state.put("c/alive/" + name, Cbor.map().put("zone", "z"));
    Set<String> sentAway = back.stream().map(w -> w.id).collect(Collectors.toSet());
    world.standIn(name, (method, path, body, done) -> answer(path, body, owner, sentAway, done));
  }

  public void stop(String name) {
    world.state.remove("c/alive/" + name);
    world.endStandIn(name);
  }

  private static void answer(
      String path, byte[] body, String owner, Set<String> sentAway, Consumer<Answer> done) {
    if (!path.equals("/agent/beat")) {
      done.accept(Answer.later("a controller of an earlier program"));
      return;
    }
    boolean first = sentAway.add(machineOf(body));
    done.accept(
        first ? Answer.of(421, Cbor.map().put("master", owner)) : Answer.of(200, Cbor.map()));
  }

  private static String machineOf(byte[] report) {
    try {
      return Cbor.parse(report).get("host").asText();
    } catch (Cbor.Malformed e) {
      throw new IllegalStateException(e);
    }
  }
}
