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
 * All changes of kept objects, in the state service's own order. One watch a controller serves its
 * clients' watches and its own bookkeeping, whoever made the change and whoever owns the object, so
 * a move of an entity is no event at all.
 */
final class WatchCache implements PrefixWatcher.RowListener {
  /** Events kept for watches that begin in the past; some hundred changed objects of 4 KiB. */
  private static final int MAX_KEPT_EVENTS = 400;

  private final PrefixWatcher rowFeed;
  private final ObjectListener objectListener;

  /** Objects of each kind and namespace, for the bound on them. */
  private final Map<String, Integer> objectCountByPrefix = new HashMap<>();

  private final Map<String, Long> modRevisionByKey = new HashMap<>();
  private final ArrayDeque<Event> events = new ArrayDeque<>();
  private final List<Watcher> watchers = new ArrayList<>();

  /** Events after this revision are all among those kept. */
  private long compactedRevision;

  /** What happened to an object, under which revision. */
  record Event(EventType type, KubernetesObject object, long revision) {}

  enum EventType {
    ADDED,
    MODIFIED,
    DELETED
  }

  /** Whoever follows the feed. Events of one revision come together. */
  interface Watcher {
    void onEvents(List<Event> events, long revision);

    /** Events have been missed; the follower is dropped. */
    void onEventsLost();
  }

  /** What keeps the objects of owned entities. */
  interface ObjectListener {
    void onObjectChanged(KubernetesObject object);

    void onObjectDeleted(String key, ObjectNode row, long modRevision);

    void onRowRemoved(String key);
  }

  WatchCache(StateStore store, EventLoop loop, ObjectListener objectListener) {
    this.rowFeed = new PrefixWatcher(store, loop, KubernetesObject.KEY_PREFIX, this);
    this.objectListener = objectListener;
  }

  void start() {
    rowFeed.start();
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

  /** Whether objects can be counted and watched. */
  boolean isReady() {
    return rowFeed.isReady();
  }

  long revision() {
    return rowFeed.revision();
  }

  /** Objects of a kind in a namespace, deleted ones not counted. */
  int adjustCount(ObjectKind kind, String namespace) {
    return objectCountByPrefix.getOrDefault(KubernetesObject.keyPrefix(kind, namespace), 0);
  }

  /** Follows all events after a revision; false if some of them are not kept any more. */
  boolean addWatcher(long afterRevision, Watcher watcher) {
    if (!isReady() || afterRevision < compactedRevision) {
      return false;
    }
    List<Event> missed = events.stream().filter(e -> e.revision() > afterRevision).toList();
    if (!missed.isEmpty()) {
      watcher.onEvents(missed, revision());
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
        // A revision is kept whole or not at all.
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
