package io.violetrail.fakes;

import java.util.Map;
import java.util.TreeMap;

/** Counts messages and bytes between the processes of a deployment, by kind of message. */
public final class TrafficCounter {
  /** The counts of one kind of message; bytes are those of bodies, without headers. */
  public static final class MessageCount {
    public long messages;
    public long requestBytes;
    public long replyBytes;
  }

  private final Map<String, MessageCount> byKind = new TreeMap<>();

  /** Counts a request and the bytes of its body. */
  public void countRequest(String kind, byte[] body) {
    MessageCount count = countOf(kind);
    count.messages++;
    count.requestBytes += body == null ? 0 : body.length;
  }

  public void countReply(String kind, byte[] body) {
    countOf(kind).replyBytes += body == null ? 0 : body.length;
  }

  /** Returns the counts of a kind; all are zero if there was no such message. */
  public MessageCount countOf(String kind) {
    return byKind.computeIfAbsent(kind, k -> new MessageCount());
  }

  public Map<String, MessageCount> byKind() {
    return byKind;
  }

  /** Returns the kind of a request, by the interface that it belongs to. */
  public static String kindOf(String method, String path) {
    if (path.equals("/agent/beat")) {
      return "worker report";
    }
    if (path.equals("/peer")) {
      return "controller to controller";
    }
    if (path.startsWith("/config") || path.equals("/ready")) {
      return "operator";
    }
    if (path.startsWith("/work")) {
      return path.endsWith("/abort")
          ? "user cancels"
          : method.equals("POST") ? "user submits" : "user asks";
    }
    if (path.startsWith("/keys?")) {
      return "state list";
    }
    if (path.startsWith("/keys/")) {
      return "state read";
    }
    if (path.startsWith("/txn")) {
      return "state transaction";
    }
    if (path.startsWith("/leases")) {
      return "state lease";
    }
    if (path.startsWith("/changes")) {
      return "state watch";
    }
    return path.startsWith("/hosts") || path.startsWith("/flavors") ? "cloud" : "worker command";
  }
}
