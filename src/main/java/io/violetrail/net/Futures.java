package io.violetrail.net;

import java.util.concurrent.CompletionStage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What becomes of futures that nobody waits for. */
public final class Futures {
  private static final Logger LOG = LoggerFactory.getLogger(Futures.class);

  private Futures() {}

  /**
   * Logs a failure of the future at debug level and ignores its result. A failure that was handled
   * before is logged too, as is an exception that a callback threw.
   *
   * @param tried what was tried, as the end of "failed to ..."
   */
  public static void logFailure(CompletionStage<?> future, String tried) {
    var ignored =
        future.whenComplete(
            (result, failure) -> {
              if (failure != null) {
                LOG.debug("failed to {}", tried, failure);
              }
            });
  }
}
