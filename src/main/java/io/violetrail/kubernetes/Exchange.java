package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.wire.kubernetes.KubeStatus;
import java.util.Map;

/** A request, and where its answer goes: one document, or a stream of events. */
public interface Exchange {
  /** What was asked. The body is bounded and whole; {@code type} is its media type, or null. */
  record Request(String method, String path, Map<String, String> query, String type, byte[] body) {}

  /** Answers once; {@code againS} above 0: not before then is it worth asking again. */
  void answer(int code, ObjectNode body, int againS);

  /** Begins a stream of events instead. */
  Stream stream(Runnable closed);

  /** Events to a client that keeps its connection open. */
  interface Stream {
    /** Sends lines; false if the client is gone or does not read. */
    boolean send(byte[] lines);

    void end();
  }

  /** What becomes of an answer on its way. */
  interface Step {
    void answer(int code, ObjectNode body, int againS);
  }

  /** The same exchange, but that its answer takes another step first; streams go straight on. */
  default Exchange through(Step step) {
    Exchange to = this;
    return new Exchange() {
      @Override
      public void answer(int code, ObjectNode body, int againS) {
        step.answer(code, body, againS);
      }

      @Override
      public Stream stream(Runnable closed) {
        return to.stream(closed);
      }
    };
  }

  default void answer(KubeStatus status) {
    answer(status.code(), status.json(), status.againS());
  }
}
