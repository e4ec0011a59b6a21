package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.net.EventLoop;
import io.violetrail.state.PrefixWatcher;
import io.violetrail.state.StateStore;
import io.violetrail.wire.StateStoreMessages.Entry;
import io.violetrail.wire.StateStoreMessages.RowChange;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Receives all changes of Kubernetes objects in the state service's order, and keeps the latest
 * ones for watches. Each controller has one watch on the state service, which serves its clients'
 * watches and its own {@link ObjectListener}. The watch delivers changes by any controller to
 * objects of any entity, so a handover or failover of an entity produces no event.
 */
final class WatchCache implements PrefixWatcher.RowListener {
  /**
   * Maximum number of events kept for watches that start at an earlier revision: a few hundred
   * changed objects of 4 KiB.
   */
  private static final int MAX_KEPT_EVENTS = 400;

  private final PrefixWatcher rowWatcher;
  private final ObjectListener objectListener;

  /** Number of objects by kind and namespace, which {@link ObjectCreator} limits. */
  private final Map<String, Integer> objectCountByPrefix = new HashMap<>();

  private final Map<String, Long> modRevisionByKey = new HashMap<>();
  private final ArrayDeque<Event> events = new ArrayDeque<>();
  private final List<Watcher> watchers = new ArrayList<>();

  /** All events after this revision are still kept. */
  private long compactedRevision;

  /** A change of an object, and the revision at which it was stored. */
  record Event(EventType type, KubernetesObject object, long revision) {}

  enum EventType {
    ADDED,
    MODIFIED,
    DELETED
  }

  /** Receives events; all events of a revision are delivered together. */
  interface Watcher {
    void onEvents(List<Event> events, long revision);

    /** Called when events have been missed; the watcher has been removed. */
    void onEventsLost();
  }

  /** Receives every change of a row, also those of entities that this controller does not own. */
  interface ObjectListener {
    void onObjectChanged(KubernetesObject object);

    void onObjectDeleted(String key, ObjectNode row, long modRevision);

    void onRowRemoved(String key);
  }

  WatchCache(StateStore store, EventLoop loop, ObjectListener objectListener) {
    this.rowWatcher = new PrefixWatcher(store, loop, KubernetesObject.KEY_PREFIX, this);
    this.objectListener = objectListener;
  }

  void start() {
    rowWatcher.start();
  }

  @Override
  public void onListing(List<Entry> entries, long revision) {
    modRevisionByKey.clear();
    objectCountByPrefix.clear();
    events.clear();
    for (Entry entry : entries) {
      applyRow(entry.key(), entry.value(), entry.modRevision());
    }
    compactedRevision = revision;
    List<Watcher> droppedWatchers = List.copyOf(watchers);
    watchers.clear();
    droppedWatchers.forEach(Watcher::onEventsLost);
  }

  /** Returns whether objects can be counted and watched. */
  boolean isReady() {
    return rowWatcher.isReady();
  }

  long revision() {
    return rowWatcher.revision();
  }

  /** Returns the number of objects of a kind in a namespace, without deleted ones. */
  int objectCount(ObjectKind kind, String namespace) {
    return objectCountByPrefix.getOrDefault(KubernetesObject.keyPrefix(kind, namespace), 0);
  }

  /**
   * Adds a watcher of all events after a revision. It receives the events that are already known
   * before this method returns.
   *
   * @return false, without adding the watcher, if some of these events are no longer kept or the
   *     rows have not been read yet
   */
  boolean addWatcher(long afterRevision, Watcher watcher) {
    if (!isReady() || afterRevision < compactedRevision) {
      return false;
    }
    List<Event> missedEvents = events.stream().filter(e -> e.revision() > afterRevision).toList();
    if (!missedEvents.isEmpty()) {
      watcher.onEvents(missedEvents, revision());
    }
    watchers.add(watcher);
    return true;
  }

  void removeWatcher(Watcher watcher) {
    watchers.remove(watcher);
  }

  int watcherCount() {
    return watchers.size();
  }

  @Override
  public void onChanges(List<RowChange> changes, long revision) {
    List<Event> newEvents = new ArrayList<>();
    for (RowChange change : changes) {
      Event event = applyRow(change.key(), change.value(), change.modRevision());
      if (event != null) {
        newEvents.add(event);
      }
    }
    for (Event event : newEvents) {
      events.addLast(event);
      while (events.size() > MAX_KEPT_EVENTS) {
        // From now on no watch can start before the removed event's revision, so the remaining
        // events of that revision are not replayed either.
        compactedRevision = events.removeFirst().revision();
      }
    }
    if (!newEvents.isEmpty()) {
      for (Watcher watcher : List.copyOf(watchers)) {
        watcher.onEvents(newEvents, revision);
      }
    }
  }

  private Event applyRow(String key, JsonNode value, long modRevision) {
    if (value == null) {
      if (modRevisionByKey.remove(key) != null) {
        adjustCount(key, -1);
      }
      objectListener.onRowRemoved(key);
      return null;
    }
    KubernetesObject object = KubernetesObject.fromRow(key, value, modRevision);
    if (object == null) {
      return null;
    }
    if (KubernetesObject.isDeletedKey(key)) {
      objectListener.onObjectDeleted(key, (ObjectNode) value, modRevision);
      return new Event(EventType.DELETED, object, modRevision);
    }
    if (modRevisionByKey.put(key, (Long) modRevision) == null) {
      adjustCount(key, 1);
    }
    objectListener.onObjectChanged(object);
    return new Event(object.isNew() ? EventType.ADDED : EventType.MODIFIED, object, modRevision);
  }

  private void adjustCount(String key, int delta) {
    objectCountByPrefix.merge(key.substring(0, key.lastIndexOf('/') + 1), delta, Integer::sum);
  }
}
