package io.violetrail.fakes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.net.HttpClient;
import io.violetrail.wire.Cbor;

/** A user who sends requests and waits for the replies. */
public final class SimulatedUser {
  private final ClusterSimulation simulation;

  public SimulatedUser(ClusterSimulation simulation) {
    this.simulation = simulation;
  }

  /** Returns a batch job of small tasks in the form in which users submit it. */
  public static ObjectNode jobRequest(String id, int taskCount) {
    ObjectNode request =
        Cbor.newMap()
            .put("name_id", id)
            .put("jobclass", "plain")
            .put("crew", "red")
            .put("shape", "batch")
            .put("urgency", "normal");
    request
        .put("pieces", taskCount)
        .put("cores", 1.0)
        .put("gpus", 0.0)
        .put("mem_gb", 1.0)
        .put("bundle", "img")
        .put("pull_gb", 0.1);
    request
        .put("one_zone", false)
        .put("apart", false)
        .put("loaners", false)
        .put("guess_s", 20.0)
        .put("snapshot_s", 0.0)
        .put("flush_s", 0.0);
    return request;
  }

  /** Sends a request and waits up to 6 s of virtual time; a failed request yields status 0. */
  public HttpClient.ClientResponse send(
      String controller, String method, String path, byte[] body) {
    var future = simulation.callController("user", controller, method, path, body);
    simulation.runUntil(6, future::isDone);
    return future.isCompletedExceptionally()
        ? new HttpClient.ClientResponse(0, new byte[0])
        : future.join();
  }

  public int submit(String controller, ObjectNode job) {
    return send(controller, "POST", "/work", Cbor.encode(job)).status();
  }

  /** Returns the job's status, or the HTTP status code if it is not 200. */
  public String pollStatus(String controller, String id) {
    return statusOrCode(send(controller, "GET", "/work/" + id, null));
  }

  public String cancel(String controller, String id) {
    return statusOrCode(
        send(controller, "POST", "/work/" + id + "/abort", Cbor.encode(Cbor.newMap())));
  }

  /** Delays of the polls of {@link #pollAndResubmitEverywhere}, in seconds after its call. */
  private static final double[] POLL_DELAYS_SECONDS = {0, 0.001, 0.004, 0.012, 0.03, 0.08, 0.3};

  /**
   * Polls a job's status at three controllers several times within 0.3 s, and repeats its
   * submission and, if {@code cancel}, its cancellation. The checker checks the replies.
   */
  public void pollAndResubmitEverywhere(ObjectNode job, boolean cancel) {
    String id = job.get("name_id").asText();
    for (double delaySeconds : POLL_DELAYS_SECONDS) {
      for (int i = 0; i < 3; i++) {
        String controller = ClusterSimulation.controllerName(i);
        simulation.runAfter(
            delaySeconds,
            () -> simulation.callController("user", controller, "GET", "/work/" + id, null));
      }
      String anyController = ClusterSimulation.controllerName(simulation.random().nextInt(3));
      simulation.runAfter(
          delaySeconds,
          () ->
              simulation.callController("user", anyController, "POST", "/work", Cbor.encode(job)));
    }
    if (cancel) {
      String anyController = ClusterSimulation.controllerName(simulation.random().nextInt(3));
      byte[] emptyBody = Cbor.encode(Cbor.newMap());
      simulation.runAfter(
          0.002,
          () ->
              simulation.callController(
                  "user", anyController, "POST", "/work/" + id + "/abort", emptyBody));
    }
  }

  private static String statusOrCode(HttpClient.ClientResponse reply) {
    try {
      return reply.status() == 200
          ? Cbor.parse(reply.body()).get("status").asText()
          : String.valueOf(reply.status());
    } catch (Cbor.MalformedMessageException exception) {
      throw new IllegalStateException(exception);
    }
  }
}
