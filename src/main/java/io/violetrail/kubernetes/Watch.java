package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.net.Loop;
import io.violetrail.wire.kubernetes.KubeJson;
import io.violetrail.wire.kubernetes.KubeStatus;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.function.Predicate;

/** One client's watch. Events come in the order of their versions and none twice. */
final class Watch implements Feed.Follower {
  private static final double BOOKMARK_S = 10;

  private final Kind kind;
  private final Predicate<KubeObject> wanted;
  private final Loop loop;
  private final Feed feed;
  private final boolean bookmarks;
  private Exchange.Stream stream;
  private long after;
  private boolean open = true;

  Watch(Kind kind, Predicate<KubeObject> wanted, Loop loop, Feed feed, boolean bookmarks) {
    this.kind = kind;
    this.wanted = wanted;
    this.loop = loop;
    this.feed = feed;
    this.bookmarks = bookmarks;
  }

  /** Begins after a version; false if changes since then are not kept any more. */
  boolean begin(Exchange exchange, List<KubeObject> first, long version, double forS) {
    after = version;
    stream = exchange.stream(this::close);
    ByteArrayOutputStream lines = new ByteArrayOutputStream();
    first.stream().filter(wanted).forEach(o -> line(lines, "ADDED", o.json()));
    send(lines);
    if (!feed.follow(version, this)) {
      lost();
      return false;
    }
    loop.after(forS, this::close);
    if (bookmarks) {
      loop.after(BOOKMARK_S, this::bookmark);
    }
    return true;
  }

  @Override
  public void changed(List<Feed.Event> events, long revision) {
    // All events of one version leave together: whoever goes on after it has seen them all.
    ByteArrayOutputStream lines = new ByteArrayOutputStream();
    for (Feed.Event e : events) {
      if (e.revision() > after && e.object().kind() == kind && wanted.test(e.object())) {
        ObjectNode json = e.object().json();
        ((ObjectNode) json.get("metadata")).put("resourceVersion", String.valueOf(e.revision()));
        line(lines, e.type().name(), json);
      }
    }
    send(lines);
    after = Math.max(after, revision);
  }

  @Override
  public void lost() {
    ByteArrayOutputStream lines = new ByteArrayOutputStream();
    line(lines, "ERROR", KubeStatus.expired("changes since then are no longer kept").json());
    send(lines);
    close();
  }

  private void bookmark() {
    if (!open) {
      return;
    }
    ObjectNode object =
        KubeJson.object().put("kind", kind.published()).put("apiVersion", kind.apiVersion());
    object.putObject("metadata").put("resourceVersion", String.valueOf(feed.revision()));
    ByteArrayOutputStream lines = new ByteArrayOutputStream();
    line(lines, "BOOKMARK", object);
    send(lines);
    loop.after(BOOKMARK_S, this::bookmark);
  }

  private static void line(ByteArrayOutputStream to, String type, ObjectNode object) {
    ObjectNode event = KubeJson.object().put("type", type);
    event.set("object", object);
    to.writeBytes(KubeJson.bytes(event));
    to.write('\n');
  }

  private void send(ByteArrayOutputStream lines) {
    if (open && lines.size() > 0 && !stream.send(lines.toByteArray())) {
      close();
    }
  }

  private void close() {
    if (open) {
      open = false;
      feed.leave(this);
      stream.end();
    }
  }
}
