package io.violetrail.fakes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.net.RequestHandler.HttpResponse;
import io.violetrail.wire.Cbor;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The latest changes of a {@link FakeStateService}, and the open watches that wait for changes. */
final class StateWatchLog {
  private static final int MAX_KEPT_CHANGES = 10_000;

  private final ArrayDeque<LoggedChange> changes = new ArrayDeque<>();
  private final List<Watch> watches = new ArrayList<>();

  /** The highest revision whose change is no longer kept. */
  private long compactedRevision;

  /** One change and the message that reports it to watches. */
  private record LoggedChange(String key, long revision, ObjectNode message) {}

  /** One open watch, compared by identity. */
  static final class Watch {
    private final String prefix;
    private final long afterRevision;
    private final Consumer<HttpResponse> done;

    private Watch(String prefix, long afterRevision, Consumer<HttpResponse> done) {
      this.prefix = prefix;
      this.afterRevision = afterRevision;
      this.done = done;
    }
  }

  void append(String key, long revision, ObjectNode message) {
    changes.add(new LoggedChange(key, revision, message.put("stamp", revision)));
    if (changes.size() > MAX_KEPT_CHANGES) {
      compactedRevision = changes.poll().revision();
    }
  }

  /** Returns whether all changes after the revision are still kept. */
  boolean keepsChangesAfter(long revision) {
    return revision >= compactedRevision;
  }

  Watch open(String prefix, long afterRevision, Consumer<HttpResponse> done) {
    Watch watch = new Watch(prefix, afterRevision, done);
    watches.add(watch);
    return watch;
  }

  /** Answers the watch with its changes, possibly none, unless it has been answered. */
  void close(Watch watch, long currentRevision) {
    if (watches.remove(watch)) {
      watch.done.accept(changesAnswer(changesFor(watch), currentRevision));
    }
  }

  /** Answers and closes the watches that have changes. */
  void answerWatches(long currentRevision) {
    for (Watch watch : List.copyOf(watches)) {
      List<ObjectNode> messages = changesFor(watch);
      if (!messages.isEmpty()) {
        watches.remove(watch);
        watch.done.accept(changesAnswer(messages, currentRevision));
      }
    }
  }

  /** Returns the messages of the changes that a watch waits for, in the order of revisions. */
  private List<ObjectNode> changesFor(Watch watch) {
    ArrayDeque<ObjectNode> messages = new ArrayDeque<>();
    for (var newestFirst = changes.descendingIterator(); newestFirst.hasNext(); ) {
      LoggedChange change = newestFirst.next();
      if (change.revision() <= watch.afterRevision) {
        break;
      }
      if (change.key().startsWith(watch.prefix)) {
        messages.addFirst(change.message());
      }
    }
    return List.copyOf(messages);
  }

  private static HttpResponse changesAnswer(List<ObjectNode> changes, long revision) {
    ObjectNode message = Cbor.newMap().put("epoch", revision);
    message.putArray("log").addAll(changes);
    return HttpResponse.of(200, message);
  }
}
