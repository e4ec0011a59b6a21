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
