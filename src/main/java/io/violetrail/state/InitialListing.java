package io.violetrail.state;

import io.violetrail.net.Futures;
import io.violetrail.wire.StateStoreMessages.Entry;
import java.util.function.Consumer;

/**
 * Reads all rows of a prefix once, before the caller acts on any of them.
 *
 * <p>Owns only the progress of the read; the rows belong to the caller. A failed read resets the
 * progress, and the caller's next attempt starts again. Called on the event loop's thread. No state
 * survives a crash: a restarted controller reads again.
 */
public final class InitialListing {
  private enum State {
    NOT_READ,
    READING,
    COMPLETE
  }

  private State state = State.NOT_READ;

  /** Returns whether all rows have been passed to the caller. */
  public boolean isComplete() {
    return state == State.COMPLETE;
  }

  /**
   * Starts to read the rows unless a read is in flight or complete.
   *
   * @param entryConsumer receives the rows one by one, after all of them were read
   * @param onComplete runs after the last row was passed on, when the listing is complete
   */
  public void startReading(
      StateStore store, String prefix, Consumer<Entry> entryConsumer, Runnable onComplete) {
    if (state != State.NOT_READ) {
      return;
    }
    state = State.READING;
    Futures.logFailure(
        store
            .list(prefix)
            .whenComplete(
                (listing, failure) -> {
                  state = State.NOT_READ;
                  if (failure == null) {
                    listing.entries().forEach(entryConsumer);
                    state = State.COMPLETE;
                    onComplete.run();
                  }
                }),
        "read the initial listing of a prefix");
  }
}
