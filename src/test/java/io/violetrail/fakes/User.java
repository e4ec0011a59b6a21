package io.violetrail.fakes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.net.Http;
import io.violetrail.wire.Cbor;

/** A user who asks and waits for the answer. */
public final class User {
  private final World world;

  public User(World world) {
    this.world = world;
  }

  /** Returns a batch job of small tasks in the form in which users submit it. */
  public static ObjectNode job(String id, int tasks) {
    ObjectNode m =
        Cbor.map()
            .put("name_id", id)
            .put("jobclass", "plain")
            .put("crew", "red")
            .put("shape", "batch")
            .put("urgency", "normal");
    m.put("pieces", tasks)
        .put("cores", 1.0)
        .put("gpus", 0.0)
        .put("mem_gb", 1.0)
        .put("bundle", "img")
        .put("pull_gb", 0.1);
    m.put("one_zone", false)
        .put("apart", false)
        .put("loaners", false)
        .put("guess_s", 20.0)
        .put("snapshot_s", 0.0)
        .put("flush_s", 0.0);
    return m;
  }

  /** Sends a request and waits up to 6 s of virtual time; a failed request yields status 0. */
  public Http.Reply send(String node, String method, String path, byte[] body) {
    var future = world.ask("user", node, method, path, body);
    world.until(6, future::isDone);
    return future.isCompletedExceptionally() ? new Http.Reply(0, new byte[0]) : future.join();
  }

  public int submit(String node, ObjectNode job) {
    return send(node, "POST", "/work", Cbor.bytes(job)).status();
  }

  /** The status, or the code if it is not 200. */
  public String poll(String node, String id) {
    return status(send(node, "GET", "/work/" + id, null));
  }

  public String abort(String node, String id) {
    return status(send(node, "POST", "/work/" + id + "/abort", Cbor.bytes(Cbor.map())));
  }

  /** Moments of close looks, in seconds after an answer. */
  private static final double[] LOOKS_S = {0, 0.001, 0.004, 0.012, 0.03, 0.08, 0.3};

  /**
   * Asks about a job at all controllers, again and again within milliseconds, and repeats its
   * submission and, if {@code cancel}, its cancellation. The checker judges the answers.
   */
  public void looksClosely(ObjectNode job, boolean cancel) {
    String id = job.get("name_id").asText();
    for (double at : LOOKS_S) {
      for (int i = 0; i < 3; i++) {
        String node = World.name(i);
        world.at(at, () -> world.ask("user", node, "GET", "/work/" + id, null));
      }
      String any = World.name(world.random.nextInt(3));
      world.at(at, () -> world.ask("user", any, "POST", "/work", Cbor.bytes(job)));
    }
    if (cancel) {
      String any = World.name(world.random.nextInt(3));
      byte[] none = Cbor.bytes(Cbor.map());
      world.at(0.002, () -> world.ask("user", any, "POST", "/work/" + id + "/abort", none));
    }
  }

  private static String status(Http.Reply r) {
    try {
      return r.status() == 200
          ? Cbor.parse(r.body()).get("status").asText()
          : String.valueOf(r.status());
    } catch (Cbor.Malformed e) {
      throw new IllegalStateException(e);
    }
  }
}
