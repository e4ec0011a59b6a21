package io.violetrail.state;

import io.violetrail.wire.StateStoreMessages.Entry;
import java.util.function.Consumer;

/** Rows that are read once, whole, before they are gone by; tried again when that fails. */
public final class InitialListing {
  private boolean readInProgress;
  private boolean complete;

  public boolean isComplete() {
    return complete;
  }

  /** Reads the rows unless that is under way; {@code onComplete} is run after the last of them. */
  public void startReading(
      StateStore store, String prefix, Consumer<Entry> entryConsumer, Runnable onComplete) {
    if (readInProgress) {
      return;
    }
    readInProgress = true;
    store
        .list(prefix)
        .whenComplete(
            (listing, failure) -> {
              readInProgress = false;
              if (failure == null) {
                listing.entries().forEach(entryConsumer);
                complete = true;
                onComplete.run();
              }
            });
  }
}
