package io.violetrail.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubeJson;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Random;

/**
 * Submits the same work as a Job and as a native job to a controller on loopback, pair by pair, and
 * compares when both are done and what is told of them. Real time, so not a test: the stories
 * compare launch by launch in virtual time.
 */
public final class KubePairs {
  private static final long PATIENCE_MS = 60_000;
  private static final long STEP_MS = 50;

  private KubePairs() {}

  /** Arguments: the native API's port, the Kubernetes port, pairs, seed. */
  public static void main(String[] args) throws Exception {
    String work = "http://127.0.0.1:" + Integer.parseInt(args[0]) + "/work";
    String jobs =
        "http://127.0.0.1:" + Integer.parseInt(args[1]) + "/apis/batch/v1/namespaces/red/jobs";
    int pairs = Integer.parseInt(args[2]);
    Random random = new Random(Long.parseLong(args[3]));
    long worst = 0;
    int differ = 0;
    for (int i = 0; i < pairs; i++) {
      int tasks = 1 + random.nextInt(6);
      int millicores = 500 * (1 + random.nextInt(4));
      ObjectNode message = User.job("job-" + (70_000 + i), tasks).put("jobclass", "job");
      message.put("cores", millicores / 1000.0).put("pull_gb", 0.0).put("guess_s", 5.0);
      String manifest =
          """
          {"apiVersion":"batch/v1","kind":"Job","metadata":{"name":"pair-%d","annotations":{
          "violetrail.io/estimate":"5s"}},"spec":{"completions":%d,"parallelism":%d,"template":{\
          "spec":
          {"restartPolicy":"Never","containers":[{"name":"c","image":"img","resources":{"requests":
          {"cpu":"%dm","memory":"1G"}}}]}}}}"""
              .formatted(i, tasks, tasks, millicores);
      boolean kubernetesFirst = random.nextBoolean();
      if (kubernetesFirst) {
        send("POST", jobs, "application/json", manifest.getBytes(StandardCharsets.UTF_8));
      }
      send("POST", work, "application/cbor", Cbor.bytes(message));
      if (!kubernetesFirst) {
        send("POST", jobs, "application/json", manifest.getBytes(StandardCharsets.UTF_8));
      }
      long[] done = until(work + "/job-" + (70_000 + i), jobs + "/pair-" + i);
      worst = Math.max(worst, Math.abs(done[0] - done[1]));
      JsonNode theirs = KubeJson.parse(send("GET", jobs + "/pair-" + i, null, null));
      JsonNode ours = Cbor.parse(send("GET", work + "/job-" + (70_000 + i), null, null));
      boolean same = theirs.at("/status/succeeded").asInt() == ours.path("done").asInt();
      differ += same ? 0 : 1;
    }
    System.out.printf(
        "%d pairs, %d told of differently, done at most %d ms apart%n", pairs, differ, worst);
  }

  /** When the native job and the Job were first told to be done. */
  private static long[] until(String ours, String theirs) throws Exception {
    long[] done = new long[2];
    long end = System.currentTimeMillis() + PATIENCE_MS;
    while ((done[0] == 0 || done[1] == 0) && System.currentTimeMillis() < end) {
      if (Cbor.parse(send("GET", ours, null, null)).path("status").asText().equals("done")) {
        done[0] = done[0] == 0 ? System.currentTimeMillis() : done[0];
      }
      JsonNode status = KubeJson.parse(send("GET", theirs, null, null)).path("status");
      if (status.at("/conditions/0/type").asText().equals("Complete")) {
        done[1] = done[1] == 0 ? System.currentTimeMillis() : done[1];
      }
      Thread.sleep(STEP_MS);
    }
    return done;
  }

  private static byte[] send(String method, String to, String type, byte[] body)
      throws IOException {
    HttpURLConnection c = (HttpURLConnection) URI.create(to).toURL().openConnection();
    c.setRequestMethod(method);
    if (body != null) {
      c.setDoOutput(true);
      c.setRequestProperty("Content-Type", type);
      c.getOutputStream().write(body);
    }
    try (InputStream in = c.getResponseCode() < 400 ? c.getInputStream() : c.getErrorStream()) {
      return in.readAllBytes();
    }
  }
}
