package io.violetrail.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Random;

/** Finds ports on loopback that nobody uses. */
final class FreePorts {
  /** Below the range from which the system gives ports to outgoing connections. */
  private static final int FROM = 10_000;

  private static final int TO = 32_000;
  private static final int TRIES = 200;

  private FreePorts() {}

  /** The first of so many consecutive ports that are free now. */
  static int block(int count, Random random) throws IOException {
    for (int i = 0; i < TRIES; i++) {
      int first = FROM + random.nextInt(TO - FROM - count);
      if (allFree(first, count)) {
        return first;
      }
    }
    throw new IOException("no " + count + " consecutive free ports found");
  }

  private static boolean allFree(int first, int count) {
    for (int port = first; port < first + count; port++) {
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        socket.getLocalPort();
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }
}
