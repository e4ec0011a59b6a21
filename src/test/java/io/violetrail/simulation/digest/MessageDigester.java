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
 * Computes a SHA-256 digest over all messages of a simulation, in order and with their virtual
 * times. Every text and body is preceded by its length, so that different sequences never yield the
 * same bytes.
 */
final class MessageDigester implements MessageObserver {
  private static final int HEX_PREFIX_LENGTH = 16;
  private static final int ABSENT_LENGTH = -1;

  private final ClusterSimulation cluster;
  private final MessageDigest digest;
  private long messageCount;

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
    messageCount++;
    addRequest("sent", request);
  }

  @Override
  public void delivered(Request request) {
    addRequest("delivered", request);
  }

  @Override
  public void answered(Request request, RequestHandler.HttpResponse answer) {
    addRequest("answered", request);
    addNumber(answer.status());
    addNumber(answer.retryAfterSeconds());
    addBytes(answer.body());
  }

  /** Adds a request and its response that did not cross the simulated network. */
  void addExchange(Request request, int status, byte[] responseBody) {
    messageCount++;
    addRequest("exchanged", request);
    addNumber(status);
    addBytes(responseBody);
  }

  /** Adds a line of text, such as a launch. */
  void addText(String text) {
    addBytes(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the number of requests sent, including those that did not cross the network. */
  long messageCount() {
    return messageCount;
  }

  /**
   * Returns the first 16 hexadecimal digits of the digest and resets the digest. Call it only once,
   * after everything has been added.
   */
  String hexPrefix() {
    return HexFormat.of().formatHex(digest.digest()).substring(0, HEX_PREFIX_LENGTH);
  }

  private void addRequest(String step, Request request) {
    addText(step);
    addNumber(Double.doubleToLongBits(cluster.nowSeconds()));
    addText(request.from());
    addText(request.to());
    addText(request.method());
    addText(request.path());
    addBytes(request.body());
  }

  private void addNumber(long number) {
    digest.update(ByteBuffer.allocate(Long.BYTES).putLong(number).flip());
  }

  private void addBytes(byte[] bytes) {
    addNumber(bytes == null ? ABSENT_LENGTH : bytes.length);
    if (bytes != null) {
      digest.update(bytes);
    }
  }
}
