package io.violetrail.ownership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.state.StateStore;
import io.violetrail.wire.StateStoreMessages;
import java.util.ArrayList;
import java.util.List;

/**
 * Keeps the cluster view up to date with the common rows: lists them, then watches what changes
 * from that revision on, and lists them again when the watch has fallen too far behind or when
 * somebody has reason to think that the view is stale.
 *
 * <p>Used on the event loop's thread. One watch is open at a time, and one listing under way.
 */
final class ClusterRowsFollower {
  private static final double WATCH_SECONDS = 20;
  private static final double RETRY_WATCH_SECONDS = 0.5;
  private static final double NEXT_LISTING_SECONDS = 0.2;
  private static final double RETRY_LISTING_SECONDS = 1;

  private final EventLoop loop;
  private final StateStore store;
  private final ClusterView clusterView;
  private final Runnable onRowsRead;
  private boolean watchInProgress;
  private boolean listingInProgress;

  /** Those who asked for a listing that has not begun. */
  private List<Runnable> waitingCallbacks = new ArrayList<>();

  /**
   * Creates a follower that does nothing before it is asked to.
   *
   * @param onRowsRead called whenever rows were read into the cluster view
   */
  ClusterRowsFollower(
      EventLoop loop, StateStore store, ClusterView clusterView, Runnable onRowsRead) {
    this.loop = loop;
    this.store = store;
    this.clusterView = clusterView;
    this.onRowsRead = onRowsRead;
  }

  /** Watches the rows from the view's revision on, unless they are watched already. */
  void watch() {
    if (watchInProgress) {
      return;
    }
    watchInProgress = true;
    store.watch(
        StateSchema.COMMON_PREFIX,
        clusterView.revision(),
        WATCH_SECONDS,
        this::onChanges,
        this::onWatchFailed);
  }

  private void onChanges(ObjectNode body) {
    watchInProgress = false;
    StateStoreMessages.parseChanges(body).forEach(clusterView::apply);
    clusterView.advanceRevision(StateStoreMessages.parseRevision(body));
    onRowsRead.run();
    watch();
  }

  private void onWatchFailed(boolean tooOld) {
    watchInProgress = false;
    loop.schedule(RETRY_WATCH_SECONDS, tooOld ? this::relist : this::watch);
  }

  /** Reads all common rows afresh. */
  void relist() {
    relistThen(() -> {});
  }

  /**
   * Reads all common rows afresh, and repeats that until it succeeds.
   *
   * @param callback called once the rows were read by a listing that began after this call
   */
  void relistThen(Runnable callback) {
    waitingCallbacks.add(callback);
    if (!listingInProgress) {
      listingInProgress = true;
      readListing();
    }
  }

  /** One listing serves all who asked before it began; who asks meanwhile gets the next one. */
  private void readListing() {
    List<Runnable> callbacks = waitingCallbacks;
    waitingCallbacks = new ArrayList<>();
    Futures.logFailure(
        store
            .list(StateSchema.COMMON_PREFIX)
            .whenComplete(
                (listing, failure) -> {
                  if (failure == null) {
                    clusterView.replaceWithListing(listing.entries(), listing.revision());
                    callbacks.forEach(Runnable::run);
                    onRowsRead.run();
                    watch();
                  } else {
                    waitingCallbacks.addAll(callbacks);
                  }
                  if (waitingCallbacks.isEmpty()) {
                    listingInProgress = false;
                  } else {
                    loop.schedule(
                        failure == null ? NEXT_LISTING_SECONDS : RETRY_LISTING_SECONDS,
                        this::readListing);
                  }
                }),
        "list the common rows");
  }
}
