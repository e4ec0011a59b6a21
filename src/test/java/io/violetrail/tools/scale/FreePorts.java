package io.violetrail.tools.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Random;

/** Finds ports on loopback that nobody uses. */
final class FreePorts {
  /** Below the range from which the system gives ports to outgoing connections. */
  private static final int MIN_PORT = 10_000;

  private static final int MAX_PORT = 32_000;
  private static final int MAX_TRIES = 200;

  private FreePorts() {}

  /** The first of so many consecutive ports that are free now. */
  static int findBlock(int count, Random random) throws IOException {
    for (int i = 0; i < MAX_TRIES; i++) {
      int first = MIN_PORT + random.nextInt(MAX_PORT - MIN_PORT - count);
      if (areAllFree(first, count)) {
        return first;
      }
    }
    throw new IOException("no " + count + " consecutive free ports found");
  }

  private static boolean areAllFree(int first, int count) {
    for (int port = first; port < first + count; port++) {
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        socket.getLocalPort();
      } catch (IOException exception) {
        return false;
      }
    }
    return true;
  }
}
