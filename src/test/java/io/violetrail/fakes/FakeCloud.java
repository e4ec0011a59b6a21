package io.violetrail.fakes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.model.Amounts;
import io.violetrail.model.MachineType;
import io.violetrail.net.Service;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.CloudWire;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.IntToDoubleFunction;

/** The cloud by its protocol, in memory. */
public final class FakeCloud implements Service {
  private final World world;
  public final Map<String, FakeWorker> workers = new LinkedHashMap<>();
  public final List<MachineType> types = new ArrayList<>();
  public final Map<String, List<String>> hires = new HashMap<>();
  public int capacity = 20;
  public boolean down;

  /** Types of which there is none. */
  public final Set<String> soldOut = new HashSet<>();

  /** How long the machine of a number boots; negative: it never comes up. */
  public IntToDoubleFunction boots = n -> 3;

  /** How long the answer to a rental takes. */
  public double answerS;

  /** How long machines that are yet to come fetch an image before a task starts. */
  public double fetchS;

  /** Whether workers keep their reports for {@link FakeWorker#repeat}. */
  public boolean keepsReports = true;

  /** All machines that there have ever been. */
  public final List<FakeWorker> everUp = new ArrayList<>();

  /** How long tasks run on machines that are yet to come. */
  public double runS = 20;

  private int next;

  /** Machines on a page of the list; small, so that a list has more than one. */
  public int page = 3;

  FakeCloud(World world) {
    this.world = world;
    types.add(new MachineType("plain", new Amounts(8, 0, 32), 50, 1, 1, 0.3, 3, List.of("a", "b")));
  }

  /** A machine that is up from the start and that nobody has rented. */
  public FakeWorker given(String type, String zone) {
    FakeWorker w = machine(type, zone, false);
    w.boot();
    return w;
  }

  private FakeWorker machine(String type, String zone, boolean spot) {
    String id = "vm-%06d".formatted(next++);
    FakeWorker w =
        new FakeWorker(
            world,
            id,
            type,
            zone,
            spot,
            types.stream().filter(t -> t.name().equals(type)).findFirst().orElseThrow().size());
    w.runS = runS;
    w.fetchS = fetchS;
    w.keepsReports = keepsReports;
    everUp.add(w);
    workers.put(id, w);
    world.place(w);
    return w;
  }

  public List<FakeWorker> running(String task) {
    return workers.values().stream().filter(w -> w.has(task)).toList();
  }

  @Override
  public void handle(String method, String from, byte[] bytes, Consumer<Answer> done) {
    String path = from.substring(from.indexOf(' ') + 1);
    if (down) {
      done.accept(Answer.error(503, "trouble"));
      return;
    }
    try {
      if (path.equals("/flavors")) {
        done.accept(Answer.of(200, CloudWire.types(types)));
      } else if (path.startsWith("/hosts?")) {
        done.accept(Answer.of(200, list(path)));
      } else if (path.equals("/hosts")) {
        hire(Cbor.parse(bytes), done);
      } else if (path.equals("/hosts/return")) {
        for (var id : Cbor.parse(bytes).get("hosts")) {
          FakeWorker w = workers.remove(id.asText());
          if (w != null) {
            w.destroy();
          }
        }
        done.accept(Answer.of(200, Cbor.map()));
      }
    } catch (Cbor.Malformed e) {
      done.accept(Answer.error(400, e.getMessage()));
    }
  }

  /** A machine of a request that nobody remembers; it never comes up. */
  public FakeWorker forgotten(String type, String zone) {
    return machine(type, zone, false);
  }

  private ObjectNode list(String path) {
    String after = path.contains("after=") ? path.substring(path.indexOf("after=") + 6) : "";
    ObjectNode m = Cbor.map().put("truncated", false);
    var hosts = m.putArray("hosts");
    for (String id : new TreeSet<>(workers.keySet()).tailSet(after, false)) {
      if (hosts.size() == page) {
        return m.put("truncated", true);
      }
      hosts.addObject().put("name_id", id).put("status", "running");
    }
    return m;
  }

  private boolean available(ObjectNode m) {
    return workers.size() < capacity && !soldOut.contains(m.get("hosttype").asText());
  }

  private void hire(ObjectNode m, Consumer<Answer> done) {
    String name = m.get("hire").asText();
    List<String> given = hires.get(name);
    if (given == null) {
      given = new ArrayList<>();
      for (int i = 0; available(m) && i < m.get("count").asInt(); i++) {
        FakeWorker w =
            machine(
                m.get("hosttype").asText(), m.get("yard").asText(), m.get("loaners").asBoolean());
        given.add(w.id);
        double boot = boots.applyAsDouble(next);
        if (boot >= 0) {
          world.at(boot, w::boot);
        }
      }
      if (given.isEmpty()) {
        done.accept(Answer.error(503, "no capacity"));
        return;
      }
      hires.put(name, given);
    }
    ObjectNode answer = Cbor.map();
    given.forEach(answer.putArray("hosts")::add);
    world.at(answerS, () -> done.accept(Answer.of(200, answer)));
  }
}
