package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.wire.kubernetes.KubernetesStatus;
import java.util.Map;

/** A request, and where its answer goes: one document, or a stream of events. */
public interface HttpExchange {
  /**
   * What was asked. The body is bounded and whole; {@code mediaType} is its media type, or null.
   */
  record Request(
      String method, String path, Map<String, String> query, String mediaType, byte[] body) {}

  /** Answers once; {@code retryAfterSeconds} above 0: not before then is it worth asking again. */
  void answer(int code, ObjectNode body, int retryAfterSeconds);

  /** Begins a stream of events instead. */
  EventStream startStream(Runnable onClosed);

  /** Events to a client that keeps its connection open. */
  interface EventStream {
    /** Sends lines; false if the client is gone or does not read. */
    boolean send(byte[] lines);

    void end();
  }

  /** What becomes of an answer on its way. */
  interface AnswerFilter {
    void answer(int code, ObjectNode body, int retryAfterSeconds);
  }

  /** The same exchange, but that its answer takes another step first; streams go straight on. */
  default HttpExchange withAnswerFilter(AnswerFilter filter) {
    HttpExchange delegate = this;
    return new HttpExchange() {
      @Override
      public void answer(int code, ObjectNode body, int retryAfterSeconds) {
        filter.answer(code, body, retryAfterSeconds);
      }

      @Override
      public EventStream startStream(Runnable onClosed) {
        return delegate.startStream(onClosed);
      }
    };
  }

  default void answer(KubernetesStatus status) {
    answer(status.code(), status.toJson(), status.retryAfterSeconds());
  }
}
