package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.net.EventLoop;
import io.violetrail.wire.kubernetes.KubernetesJson;
import io.violetrail.wire.kubernetes.KubernetesStatus;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.function.Predicate;

/** A watch of one client. Sends events in the order of their resource versions and none twice. */
final class ClientWatch implements WatchCache.Watcher {
  private static final double BOOKMARK_INTERVAL_SECONDS = 10;

  private final ObjectKind kind;
  private final Predicate<KubernetesObject> filter;
  private final EventLoop loop;
  private final WatchCache watchCache;
  private final boolean allowBookmarks;
  private HttpExchange.EventStream stream;
  private long lastRevision;
  private boolean open = true;

  ClientWatch(
      ObjectKind kind,
      Predicate<KubernetesObject> filter,
      EventLoop loop,
      WatchCache watchCache,
      boolean allowBookmarks) {
    this.kind = kind;
    this.filter = filter;
    this.loop = loop;
    this.watchCache = watchCache;
    this.allowBookmarks = allowBookmarks;
  }

  /**
   * Sends the initial objects, and then the events after a resource version. Returns false if
   * changes since that version are no longer kept; the client then receives an {@code ERROR} event.
   */
  boolean start(
      HttpExchange httpExchange,
      List<KubernetesObject> initialObjects,
      long resourceVersion,
      double timeoutSeconds) {
    lastRevision = resourceVersion;
    stream = httpExchange.startStream(this::close);
    ByteArrayOutputStream lines = new ByteArrayOutputStream();
    initialObjects.stream()
        .filter(filter)
        .forEach(object -> appendEvent(lines, "ADDED", object.toJson()));
    send(lines);
    if (!watchCache.addWatcher(resourceVersion, this)) {
      onEventsLost();
      return false;
    }
    loop.schedule(timeoutSeconds, this::close);
    if (allowBookmarks) {
      loop.schedule(BOOKMARK_INTERVAL_SECONDS, this::sendBookmark);
    }
    return true;
  }

  @Override
  public void onEvents(List<WatchCache.Event> events, long revision) {
    // All events of one version are sent together, so that a client that resumes after the version
    // has seen all of them.
    ByteArrayOutputStream lines = new ByteArrayOutputStream();
    for (WatchCache.Event event : events) {
      if (event.revision() > lastRevision
          && event.object().kind() == kind
          && filter.test(event.object())) {
        ObjectNode json = event.object().toJson();
        ((ObjectNode) json.get("metadata"))
            .put("resourceVersion", String.valueOf(event.revision()));
        appendEvent(lines, event.type().name(), json);
      }
    }
    send(lines);
    lastRevision = Math.max(lastRevision, revision);
  }

  @Override
  public void onEventsLost() {
    ByteArrayOutputStream lines = new ByteArrayOutputStream();
    appendEvent(
        lines,
        "ERROR",
        KubernetesStatus.expired(
                "changes since resource version "
                    + lastRevision
                    + " are no longer kept; list the objects again")
            .toJson());
    send(lines);
    close();
  }

  private void sendBookmark() {
    if (!open) {
      return;
    }
    ObjectNode object =
        KubernetesJson.newObject()
            .put("kind", kind.publishedName())
            .put("apiVersion", kind.apiVersion());
    object.putObject("metadata").put("resourceVersion", String.valueOf(watchCache.revision()));
    ByteArrayOutputStream lines = new ByteArrayOutputStream();
    appendEvent(lines, "BOOKMARK", object);
    send(lines);
    loop.schedule(BOOKMARK_INTERVAL_SECONDS, this::sendBookmark);
  }

  private static void appendEvent(ByteArrayOutputStream lines, String type, ObjectNode object) {
    ObjectNode event = KubernetesJson.newObject().put("type", type);
    event.set("object", object);
    lines.writeBytes(KubernetesJson.toBytes(event));
    lines.write('\n');
  }

  private void send(ByteArrayOutputStream lines) {
    if (open && lines.size() > 0 && !stream.send(lines.toByteArray())) {
      close();
    }
  }

  private void close() {
    if (open) {
      open = false;
      watchCache.removeWatcher(this);
      stream.end();
    }
  }
}
