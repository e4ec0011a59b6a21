package io.violetrail.simulation.digest;

import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.MessageObserver;
import io.violetrail.net.RequestHandler;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A SHA-256 digest over all messages of a simulation, in order and with their virtual times. Every
 * part is preceded by its length, so that no two different sequences are read as the same bytes.
 */
final class MessageDigester implements MessageObserver {
  private static final int SHOWN_CHARACTERS = 16;
  private static final int ABSENT = -1;

  private final ClusterSimulation cluster;
  private final MessageDigest digest;
  private long messages;

  MessageDigester(ClusterSimulation simulation) {
    this.cluster = simulation;
    try {
      digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void sent(Request request) {
    messages++;
    addRequest("sent", request);
  }

  @Override
  public void delivered(Request request) {
    addRequest("delivered", request);
  }

  @Override
  public void answered(Request request, RequestHandler.HttpAnswer answer) {
    addRequest("answered", request);
    addNumber(answer.status());
    addNumber(answer.retryAfterSeconds());
    addBytes(answer.body());
  }

  /** Adds an exchange that does not cross the simulated network. */
  void exchanged(Request request, int status, byte[] responseBody) {
    messages++;
    addRequest("exchanged", request);
    addNumber(status);
    addBytes(responseBody);
  }

  /** Adds a line of text, such as a launch. */
  void add(String text) {
    addBytes(text.getBytes(StandardCharsets.UTF_8));
  }

  /** How many requests were sent. */
  long messages() {
    return messages;
  }

  /** The beginning of the digest over all that was added; ends the digesting. */
  String hex() {
    return HexFormat.of().formatHex(digest.digest()).substring(0, SHOWN_CHARACTERS);
  }

  private void addRequest(String step, Request request) {
    add(step);
    addNumber(Double.doubleToLongBits(cluster.nowSeconds()));
    add(request.from());
    add(request.to());
    add(request.method());
    add(request.path());
    addBytes(request.body());
  }

  private void addNumber(long number) {
    digest.update(ByteBuffer.allocate(Long.BYTES).putLong(number).flip());
  }

  private void addBytes(byte[] bytes) {
    addNumber(bytes == null ? ABSENT : bytes.length);
    if (bytes != null) {
      digest.update(bytes);
    }
  }
}
