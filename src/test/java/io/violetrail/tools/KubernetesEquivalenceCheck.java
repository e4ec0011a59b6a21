package io.violetrail.tools;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.fakes.SimulatedUser;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.kubernetes.KubernetesJson;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Random;

/**
 * Submits the same work as a Job and as a native job to a controller on loopback, pair by pair, and
 * compares their completion times and the numbers of succeeded tasks that the two APIs report. It
 * runs in real time and is therefore not a test; the simulations compare launch by launch in
 * virtual time.
 */
public final class KubernetesEquivalenceCheck {
  private static final long TIMEOUT_MILLIS = 60_000;
  private static final long POLL_INTERVAL_MILLIS = 50;

  private KubernetesEquivalenceCheck() {}

  /** Arguments: port of the native API, port of the Kubernetes API, number of pairs, seed. */
  public static void main(String[] args) throws Exception {
    String nativeUrl = "http://127.0.0.1:" + Integer.parseInt(args[0]) + "/work";
    String kubernetesUrl =
        "http://127.0.0.1:" + Integer.parseInt(args[1]) + "/apis/batch/v1/namespaces/red/jobs";
    int pairCount = Integer.parseInt(args[2]);
    Random random = new Random(Long.parseLong(args[3]));
    long worstDifferenceMillis = 0;
    int differentCount = 0;
    for (int i = 0; i < pairCount; i++) {
      int tasks = 1 + random.nextInt(6);
      int millicores = 500 * (1 + random.nextInt(4));
      ObjectNode nativeRequest =
          SimulatedUser.jobRequest("job-" + (70_000 + i), tasks).put("jobclass", "job");
      nativeRequest.put("cores", millicores / 1000.0).put("pull_gb", 0.0).put("guess_s", 5.0);
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
        send("POST", kubernetesUrl, "application/json", manifest.getBytes(StandardCharsets.UTF_8));
      }
      send("POST", nativeUrl, "application/cbor", Cbor.encode(nativeRequest));
      if (!kubernetesFirst) {
        send("POST", kubernetesUrl, "application/json", manifest.getBytes(StandardCharsets.UTF_8));
      }
      long[] doneAtMillis =
          awaitBoth(nativeUrl + "/job-" + (70_000 + i), kubernetesUrl + "/pair-" + i);
      worstDifferenceMillis =
          Math.max(worstDifferenceMillis, Math.abs(doneAtMillis[0] - doneAtMillis[1]));
      JsonNode kubernetesJob =
          KubernetesJson.parse(send("GET", kubernetesUrl + "/pair-" + i, null, null));
      JsonNode nativeJob = Cbor.parse(send("GET", nativeUrl + "/job-" + (70_000 + i), null, null));
      boolean sameSucceededCount =
          kubernetesJob.at("/status/succeeded").asInt() == nativeJob.path("done").asInt();
      differentCount += sameSucceededCount ? 0 : 1;
    }
    System.out.printf(
        "%d pairs, %d reported differently, completed at most %d ms apart%n",
        pairCount, differentCount, worstDifferenceMillis);
  }

  /**
   * Polls until both jobs are reported as done, for at most 60 s, and returns when that was first
   * seen for the native job and for the Job. A time is 0 if the job was not done.
   */
  private static long[] awaitBoth(String nativeUrl, String kubernetesUrl) throws Exception {
    long[] doneAtMillis = new long[2];
    long deadlineMillis = System.currentTimeMillis() + TIMEOUT_MILLIS;
    while ((doneAtMillis[0] == 0 || doneAtMillis[1] == 0)
        && System.currentTimeMillis() < deadlineMillis) {
      if (Cbor.parse(send("GET", nativeUrl, null, null)).path("status").asText().equals("done")) {
        doneAtMillis[0] = doneAtMillis[0] == 0 ? System.currentTimeMillis() : doneAtMillis[0];
      }
      JsonNode status = KubernetesJson.parse(send("GET", kubernetesUrl, null, null)).path("status");
      if (status.at("/conditions/0/type").asText().equals("Complete")) {
        doneAtMillis[1] = doneAtMillis[1] == 0 ? System.currentTimeMillis() : doneAtMillis[1];
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    return doneAtMillis;
  }

  private static byte[] send(String method, String url, String contentType, byte[] body)
      throws IOException {
    HttpURLConnection connection = (HttpURLConnection) URI.create(url).toURL().openConnection();
    connection.setRequestMethod(method);
    if (body != null) {
      connection.setDoOutput(true);
      connection.setRequestProperty("Content-Type", contentType);
      connection.getOutputStream().write(body);
    }
    try (InputStream in =
        connection.getResponseCode() < 400
            ? connection.getInputStream()
            : connection.getErrorStream()) {
      return in.readAllBytes();
    }
  }
}
