package io.violetrail.state;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.wire.StateStoreMessages;
import io.violetrail.wire.StateStoreMessages.Entry;
import io.violetrail.wire.StateStoreMessages.RowChange;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows all rows of a prefix and every change of them, in the state service's order.
 *
 * <p>Starts with a listing and then watches from its revision on. When the state service no longer
 * keeps the changes after the last revision seen, changes may have been missed. The watcher then
 * starts over with a listing, and {@link #isReady()} returns false until it is complete.
 *
 * <p>Owns the revision up to which the listener knows the rows; the rows themselves belong to the
 * listener. Called on the event loop's thread, on which it also calls the listener. No state
 * survives a crash.
 */
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

  /** Receives the rows and their changes. */
  public interface RowListener {
    /**
     * Called with all rows as of a revision: at the start, and again after changes have been
     * missed.
     */
    void onListing(List<Entry> entries, long revision);

    /**
     * Called with the changes after the last reported revision, up to and including {@code
     * revision}.
     */
    void onChanges(List<RowChange> changes, long revision);
  }

  /** Creates a watcher of the rows under a key prefix; nothing is read before {@link #start}. */
  public PrefixWatcher(StateStore store, EventLoop loop, String prefix, RowListener listener) {
    this.store = store;
    this.loop = loop;
    this.prefix = prefix;
    this.listener = listener;
  }

  /** Lists all rows and then watches for changes indefinitely; called once. */
  public void start() {
    readListing();
  }

  /** Returns whether the listener has the rows as of {@link #revision()}. */
  public boolean isReady() {
    return ready;
  }

  /**
   * Returns the revision up to which the listener has received all changes; 0 before the first
   * listing.
   */
  public long revision() {
    return revision;
  }

  private void readListing() {
    Futures.logFailure(
        store
            .list(prefix)
            .whenComplete(
                (listing, failure) -> {
                  if (failure != null) {
                    loop.schedule(RETRY_SECONDS, this::readListing);
                    return;
                  }
                  revision = listing.revision();
                  ready = true;
                  listener.onListing(listing.entries(), revision);
                  watch();
                }),
        "list the rows of a watched prefix");
  }

  private void watch() {
    store.watch(prefix, revision, WATCH_SECONDS, this::handleChanges, this::handleWatchFailure);
  }

  /**
   * Passes on a reply's changes, without those that the listing or an earlier reply already
   * contained.
   */
  private void handleChanges(ObjectNode body) {
    long replyRevision = StateStoreMessages.parseRevision(body);
    List<RowChange> newChanges =
        StateStoreMessages.parseChanges(body).stream()
            .filter(change -> change.modRevision() > revision)
            .toList();
    revision = Math.max(revision, replyRevision);
    listener.onChanges(newChanges, revision);
    watch();
  }

  private void handleWatchFailure(boolean revisionTooOld) {
    if (!revisionTooOld) {
      loop.schedule(RETRY_SECONDS, this::watch);
      return;
    }
    LOG.info(
        "state service no longer keeps changes of {} after revision {}; listing all rows again",
        prefix,
        revision);
    ready = false;
    readListing();
  }
}
