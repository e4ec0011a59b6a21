package io.violetrail.state;

import io.violetrail.net.Futures;
import io.violetrail.wire.StateStoreMessages.Entry;
import java.util.function.Consumer;

/**
 * The rows of a prefix, read once as a whole before anything is done on their account.
 *
 * <p>Owns only how far the reading is; the rows are the caller's. A failed reading returns to the
 * beginning, and the caller's next try starts it again. Called on the event loop's thread. Nothing
 * survives a crash: a restarted controller reads again.
 */
public final class InitialListing {
  private enum State {
    NOT_READ,
    READING,
    COMPLETE
  }

  private State state = State.NOT_READ;

  /** Whether all rows have been given to the caller. */
  public boolean isComplete() {
    return state == State.COMPLETE;
  }

  /**
   * Reads the rows unless that is under way or done.
   *
   * @param entryConsumer gets the rows one after the other, after all were read
   * @param onComplete is run after the last of them, when the listing is complete
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
        "list rows for the first time");
  }
}
