package io.violetrail.tools.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Random;

/** Finds unused ports on the loopback interface. */
final class FreePorts {
  /** Both bounds lie below the range that the system uses for outgoing connections. */
  private static final int MIN_PORT = 10_000;

  private static final int MAX_PORT = 32_000;
  private static final int MAX_ATTEMPTS = 200;

  private FreePorts() {}

  /** Returns the first of {@code count} consecutive ports that are free at the moment. */
  static int findBlock(int count, Random random) throws IOException {
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      int first = MIN_PORT + random.nextInt(MAX_PORT - MIN_PORT - count);
      if (areAllFree(first, count)) {
        return first;
      }
    }
    throw new IOException(
        "found no "
            + count
            + " consecutive free ports from "
            + MIN_PORT
            + " to "
            + MAX_PORT
            + " in "
            + MAX_ATTEMPTS
            + " attempts; pass --port");
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
