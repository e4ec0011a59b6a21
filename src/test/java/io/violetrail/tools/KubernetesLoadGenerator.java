package io.violetrail.tools;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Creates a given number of Jobs one after the other at a controller on loopback while it holds a
 * given number of watches open. The cost is measured on the controller's process. Not a test.
 */
public final class KubernetesLoadGenerator {
  private KubernetesLoadGenerator() {}

  /** Arguments: port of the Kubernetes API, number of Jobs to create, number of watches. */
  public static void main(String[] args) throws IOException {
    String jobsUrl =
        "http://127.0.0.1:" + Integer.parseInt(args[0]) + "/apis/batch/v1/namespaces/red/jobs";
    List<InputStream> watches = new ArrayList<>();
    for (int i = 0; i < Integer.parseInt(args[2]); i++) {
      watches.add(URI.create(jobsUrl + "?watch=1").toURL().openStream());
    }
    int count = Integer.parseInt(args[1]);
    int storedCount = 0;
    long startedAtNanos = System.nanoTime();
    for (int i = 0; i < count; i++) {
      storedCount += create(jobsUrl, i) == 201 ? 1 : 0;
    }
    double elapsedSeconds = (System.nanoTime() - startedAtNanos) / 1e9;
    System.out.printf(
        "%d of %d Jobs stored in %.2f s, %.0f per second%n",
        storedCount, count, elapsedSeconds, storedCount / elapsedSeconds);
    for (InputStream watch : watches) {
      watch.close();
    }
  }

  private static int create(String jobsUrl, int number) throws IOException {
    HttpURLConnection connection = (HttpURLConnection) URI.create(jobsUrl).toURL().openConnection();
    connection.setRequestMethod("POST");
    connection.setDoOutput(true);
    connection.setRequestProperty("Content-Type", "application/json");
    String manifest =
        """
        {"apiVersion":"batch/v1","kind":"Job","metadata":{"name":"load-%d"},"spec":{"template":{\
        "spec":
        {"restartPolicy":"Never","containers":[{"name":"c","image":"i","resources":{"requests":
        {"cpu":"1","memory":"1G"}}}]}}}}"""
            .formatted(number);
    connection.getOutputStream().write(manifest.getBytes(StandardCharsets.UTF_8));
    int status = connection.getResponseCode();
    InputStream answer = status < 400 ? connection.getInputStream() : connection.getErrorStream();
    answer.readAllBytes();
    return status;
  }
}
