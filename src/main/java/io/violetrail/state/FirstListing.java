package io.violetrail.state;

import io.violetrail.net.Futures;
import io.violetrail.wire.StateWire.Entry;
import java.util.function.Consumer;

/** Rows that are read once, whole, before they are gone by; tried again when that fails. */
public final class FirstListing {
  private boolean reading;
  private boolean done;

  public boolean done() {
    return done;
  }

  /** Reads the rows unless that is under way; {@code whole} is run after the last of them. */
  public void read(StateStore store, String prefix, Consumer<Entry> each, Runnable whole) {
    if (reading) {
      return;
    }
    reading = true;
    Futures.logFailure(
        store
            .list(prefix)
            .whenComplete(
                (listing, failure) -> {
                  reading = false;
                  if (failure == null) {
                    listing.entries().forEach(each);
                    done = true;
                    whole.run();
                  }
                }),
        "list rows for the first time");
  }
}
