package io.violetrail.ownership;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.state.StateStore;
import io.violetrail.wire.StateStoreMessages;
import java.util.ArrayList;
import java.util.List;

/**
 * Keeps the cluster view up to date with the common rows. It lists them, then watches the changes
 * from the listing's revision on. It lists them again when the watch has fallen too far behind, or
 * when a caller has reason to believe that the view is outdated.
 *
 * <p>Must be used on the event loop's thread. At most one watch and one listing are in progress at
 * a time.
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

  /** The callbacks of the requests for a listing that has not started. */
  private List<Runnable> waitingCallbacks = new ArrayList<>();

  /**
   * Creates a follower that is inactive until it is asked to watch or list.
   *
   * @param onRowsRead called after each read of rows into the cluster view
   */
  ClusterRowsFollower(
      EventLoop loop, StateStore store, ClusterView clusterView, Runnable onRowsRead) {
    this.loop = loop;
    this.store = store;
    this.clusterView = clusterView;
    this.onRowsRead = onRowsRead;
  }

  /** Starts to watch the rows from the view's revision on, unless a watch is in progress. */
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

  /** Reads all common rows again, and retries until it succeeds. */
  void relist() {
    relistThen(() -> {});
  }

  /**
   * Reads all common rows again, and retries until it succeeds.
   *
   * @param callback called once the rows were read by a listing that started after this call
   */
  void relistThen(Runnable callback) {
    waitingCallbacks.add(callback);
    if (!listingInProgress) {
      listingInProgress = true;
      readListing();
    }
  }

  /** One listing serves all requests made before it started; later requests get the next one. */
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
