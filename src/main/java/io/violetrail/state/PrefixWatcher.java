package io.violetrail.state;

import io.violetrail.net.EventLoop;
import io.violetrail.wire.StateStoreMessages;
import io.violetrail.wire.StateStoreMessages.Entry;
import io.violetrail.wire.StateStoreMessages.RowChange;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** All rows of a prefix and every change of them, in the state service's order. */
public final class PrefixWatcher {
  private static final Logger LOG = LoggerFactory.getLogger(PrefixWatcher.class);
  private static final double WATCH_SECONDS = 20;
  private static final double RETRY_SECONDS = 1;

  private final StateStore store;
  private final EventLoop loop;
  private final String prefix;
  private final RowListener listener;
  private long revision;
  private boolean ready;

  /** Who is told. */
  public interface RowListener {
    /** The rows as of a revision: at the start, and again after changes have been missed. */
    void onListing(List<Entry> all, long revision);

    /** Changes after the last revision, up to this one. */
    void onChanges(List<RowChange> changes, long revision);
  }

  /** Creates a feed of the rows under a key prefix; nothing is read before {@code start()}. */
  public PrefixWatcher(StateStore store, EventLoop loop, String prefix, RowListener listener) {
    this.store = store;
    this.loop = loop;
    this.prefix = prefix;
    this.listener = listener;
  }

  /** Lists all rows and then watches for changes; a failed listing is tried again after a delay. */
  public void start() {
    store
        .list(prefix)
        .whenComplete(
            (listing, failure) -> {
              if (failure != null) {
                loop.schedule(RETRY_SECONDS, this::start);
                return;
              }
              revision = listing.revision();
              ready = true;
              listener.onListing(listing.entries(), revision);
              watch();
            });
  }

  public boolean isReady() {
    return ready;
  }

  public long revision() {
    return revision;
  }

  private void watch() {
    store.watch(
        prefix,
        revision,
        WATCH_SECONDS,
        body -> {
          long upToRevision = StateStoreMessages.parseRevision(body);
          List<RowChange> newChanges =
              StateStoreMessages.parseChanges(body).stream()
                  .filter(c -> c.modRevision() > revision)
                  .toList();
          revision = Math.max(revision, upToRevision);
          listener.onChanges(newChanges, revision);
          watch();
        },
        tooOld -> {
          if (tooOld) {
            LOG.info("changes of {} after revision {} are no longer kept", prefix, revision);
            ready = false;
            start();
          } else {
            loop.schedule(RETRY_SECONDS, this::watch);
          }
        });
  }
}
