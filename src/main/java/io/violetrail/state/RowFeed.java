package io.violetrail.state;

import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.wire.StateWire;
import io.violetrail.wire.StateWire.Change;
import io.violetrail.wire.StateWire.Entry;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** All rows of a prefix and every change of them, in the state service's order. */
public final class RowFeed {
  private static final Logger LOG = LoggerFactory.getLogger(RowFeed.class);
  private static final double WATCH_S = 20;
  private static final double AGAIN_S = 1;

  private final StateStore store;
  private final Loop loop;
  private final String prefix;
  private final Rows rows;
  private long revision;
  private boolean ready;

  /** Who is told. */
  public interface Rows {
    /** The rows as of a revision: at the start, and again after changes have been missed. */
    void listed(List<Entry> all, long revision);

    /** Changes after the last revision, up to this one. */
    void changed(List<Change> changes, long revision);
  }

  /** Creates a feed of the rows under a key prefix; nothing is read before {@code start()}. */
  public RowFeed(StateStore store, Loop loop, String prefix, Rows rows) {
    this.store = store;
    this.loop = loop;
    this.prefix = prefix;
    this.rows = rows;
  }

  /** Lists all rows and then watches for changes; a failed listing is tried again after a delay. */
  public void start() {
    Futures.logFailure(
        store
            .list(prefix)
            .whenComplete(
                (listing, failure) -> {
                  if (failure != null) {
                    loop.after(AGAIN_S, this::start);
                    return;
                  }
                  revision = listing.revision();
                  ready = true;
                  rows.listed(listing.entries(), revision);
                  watch();
                }),
        "list the rows of a feed");
  }

  public boolean ready() {
    return ready;
  }

  public long revision() {
    return revision;
  }

  private void watch() {
    store.watch(
        prefix,
        revision,
        WATCH_S,
        body -> {
          long upTo = StateWire.revision(body);
          List<Change> fresh =
              StateWire.changes(body).stream().filter(c -> c.stamp() > revision).toList();
          revision = Math.max(revision, upTo);
          rows.changed(fresh, revision);
          watch();
        },
        tooOld -> {
          if (tooOld) {
            LOG.info("changes of {} after revision {} are no longer kept", prefix, revision);
            ready = false;
            start();
          } else {
            loop.after(AGAIN_S, this::watch);
          }
        });
  }
}
