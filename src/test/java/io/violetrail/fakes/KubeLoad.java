package io.violetrail.fakes;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Creates Jobs one after the other at a controller on loopback and holds watches open, a bounded
 * number of each; what that costs the controller is read off its process. Not a test.
 */
public final class KubeLoad {
  private KubeLoad() {}

  /** Arguments: the API's port, Jobs to create, watches to hold while they are. */
  public static void main(String[] args) throws IOException {
    String jobs =
        "http://127.0.0.1:" + Integer.parseInt(args[0]) + "/apis/batch/v1/namespaces/red/jobs";
    List<InputStream> watches = new ArrayList<>();
    for (int i = 0; i < Integer.parseInt(args[2]); i++) {
      watches.add(URI.create(jobs + "?watch=1").toURL().openStream());
    }
    int count = Integer.parseInt(args[1]);
    int stored = 0;
    long began = System.nanoTime();
    for (int i = 0; i < count; i++) {
      stored += create(jobs, i) == 201 ? 1 : 0;
    }
    double s = (System.nanoTime() - began) / 1e9;
    System.out.printf("%d of %d stored in %.2f s, %.0f a second%n", stored, count, s, stored / s);
    for (InputStream watch : watches) {
      watch.close();
    }
  }

  private static int create(String jobs, int i) throws IOException {
    HttpURLConnection c = (HttpURLConnection) URI.create(jobs).toURL().openConnection();
    c.setRequestMethod("POST");
    c.setDoOutput(true);
    c.setRequestProperty("Content-Type", "application/json");
    String manifest =
        """
        {"apiVersion":"batch/v1","kind":"Job","metadata":{"name":"load-%d"},"spec":{"template":{\
        "spec":
        {"restartPolicy":"Never","containers":[{"name":"c","image":"i","resources":{"requests":
        {"cpu":"1","memory":"1G"}}}]}}}}"""
            .formatted(i);
    c.getOutputStream().write(manifest.getBytes(StandardCharsets.UTF_8));
    int code = c.getResponseCode();
    InputStream answer = code < 400 ? c.getInputStream() : c.getErrorStream();
    answer.readAllBytes();
    return code;
  }
}
