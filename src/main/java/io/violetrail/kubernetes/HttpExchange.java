package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.wire.kubernetes.KubernetesStatus;
import java.util.Map;

/** Takes the answer to one HTTP request: either one document or a stream of events. */
public interface HttpExchange {
  /**
   * A request.
   *
   * @param mediaType the body's content type as the client sent it, or null
   * @param body the complete body, of bounded size
   */
  record Request(
      String method, String path, Map<String, String> query, String mediaType, byte[] body) {}

  /**
   * Answers the request; called once.
   *
   * @param retryAfterSeconds how long the client is to wait before it retries; 0 to leave it out
   */
  void answer(int code, ObjectNode body, int retryAfterSeconds);

  /** Starts a stream of events as the answer; {@code onClosed} runs if sending on it fails. */
  EventStream startStream(Runnable onClosed);

  /** A stream of events to a client that keeps its connection open. */
  interface EventStream {
    /** Sends lines. Returns false if the client has disconnected or does not read. */
    boolean send(byte[] lines);

    void end();
  }

  /** Receives an answer before it is sent, for example to log or to change it. */
  interface AnswerFilter {
    void answer(int code, ObjectNode body, int retryAfterSeconds);
  }

  /**
   * Returns an exchange that passes its answer to a filter, which has to answer this exchange.
   * Streams bypass the filter.
   */
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
