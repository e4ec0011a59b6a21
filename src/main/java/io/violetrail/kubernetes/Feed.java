package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.net.Loop;
import io.violetrail.state.RowFeed;
import io.violetrail.state.StateStore;
import io.violetrail.wire.StateWire.Change;
import io.violetrail.wire.StateWire.Entry;
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
final class Feed implements RowFeed.Rows {
  /** Events kept for watches that begin in the past; some hundred changed objects of 4 KiB. */
  private static final int KEPT = 400;

  private final RowFeed rows;
  private final Bookkeeper bookkeeper;

  /** Objects of each kind and namespace, for the bound on them. */
  private final Map<String, Integer> counts = new HashMap<>();

  private final Map<String, Long> keys = new HashMap<>();
  private final ArrayDeque<Event> events = new ArrayDeque<>();
  private final List<Follower> followers = new ArrayList<>();

  /** Events after this revision are all among those kept. */
  private long floor;

  /** What happened to an object, under which revision. */
  record Event(Type type, KubeObject object, long revision) {}

  enum Type {
    ADDED,
    MODIFIED,
    DELETED
  }

  /** Whoever follows the feed. Events of one revision come together. */
  interface Follower {
    void changed(List<Event> events, long revision);

    /** Events have been missed; the follower is dropped. */
    void lost();
  }

  /** Who keeps the objects of held entities. */
  interface Bookkeeper {
    void row(KubeObject object);

    void gone(String key, ObjectNode row, long stamp);

    void dropped(String key);
  }

  Feed(StateStore store, Loop loop, Bookkeeper bookkeeper) {
    this.rows = new RowFeed(store, loop, KubeObject.ROWS, this);
    this.bookkeeper = bookkeeper;
  }

  void start() {
    rows.start();
  }

  @Override
  public void listed(List<Entry> all, long revision) {
    keys.clear();
    counts.clear();
    events.clear();
    for (Entry e : all) {
      take(e.key(), e.value(), e.stamp());
    }
    floor = revision;
    List<Follower> missed = List.copyOf(followers);
    followers.clear();
    missed.forEach(Follower::lost);
  }

  /** Whether objects can be counted and watched. */
  boolean ready() {
    return rows.ready();
  }

  long revision() {
    return rows.revision();
  }

  /** Objects of a kind in a namespace, deleted ones not counted. */
  int count(Kind kind, String namespace) {
    return counts.getOrDefault(KubeObject.rows(kind, namespace), 0);
  }

  /** Follows all events after a revision; false if some of them are not kept any more. */
  boolean follow(long after, Follower follower) {
    if (!ready() || after < floor) {
      return false;
    }
    List<Event> missed = events.stream().filter(e -> e.revision() > after).toList();
    if (!missed.isEmpty()) {
      follower.changed(missed, revision());
    }
    followers.add(follower);
    return true;
  }

  void leave(Follower follower) {
    followers.remove(follower);
  }

  int followers() {
    return followers.size();
  }

  @Override
  public void changed(List<Change> changes, long revision) {
    List<Event> fresh = new ArrayList<>();
    for (Change c : changes) {
      Event e = take(c.key(), c.value(), c.stamp());
      if (e != null) {
        fresh.add(e);
      }
    }
    for (Event e : fresh) {
      events.addLast(e);
      while (events.size() > KEPT) {
        // A revision is kept whole or not at all.
        floor = events.removeFirst().revision();
      }
    }
    if (!fresh.isEmpty()) {
      for (Follower f : List.copyOf(followers)) {
        f.changed(fresh, revision);
      }
    }
  }

  private Event take(String key, JsonNode value, long stamp) {
    if (value == null) {
      if (keys.remove(key) != null) {
        count(key, -1);
      }
      bookkeeper.dropped(key);
      return null;
    }
    KubeObject object = KubeObject.of(key, value, stamp);
    if (object == null) {
      return null;
    }
    if (KubeObject.isGone(key)) {
      bookkeeper.gone(key, (ObjectNode) value, stamp);
      return new Event(Type.DELETED, object, stamp);
    }
    if (keys.put(key, (Long) stamp) == null) {
      count(key, 1);
    }
    bookkeeper.row(object);
    return new Event(object.isNew() ? Type.ADDED : Type.MODIFIED, object, stamp);
  }

  private void count(String key, int by) {
    counts.merge(key.substring(0, key.lastIndexOf('/') + 1), by, Integer::sum);
  }
}
