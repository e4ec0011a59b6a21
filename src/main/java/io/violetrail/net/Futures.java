package io.violetrail.net;

import java.util.concurrent.CompletionStage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Handles futures whose results no caller waits for. */
public final class Futures {
  private static final Logger LOG = LoggerFactory.getLogger(Futures.class);

  private Futures() {}

  /**
   * Logs a failure of the future at debug level and ignores its result. This includes failures that
   * were handled before and exceptions thrown by callbacks.
   *
   * @param action the action that the future stands for, as a verb phrase that completes "failed
   *     to"
   */
  public static void logFailure(CompletionStage<?> future, String action) {
    var ignored =
        future.whenComplete(
            (result, failure) -> {
              if (failure != null) {
                LOG.debug("failed to {}", action, failure);
              }
            });
  }
}
