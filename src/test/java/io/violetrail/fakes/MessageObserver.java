package io.violetrail.fakes;

import io.violetrail.net.RequestHandler;

/**
 * Is told of every message between the hosts of a {@link ClusterSimulation}, in the order of
 * virtual time.
 */
public interface MessageObserver {
  /** Observes nothing. */
  MessageObserver NONE = new MessageObserver() {};

  /** A request as its sender sends it; the body is null if there is none. */
  record Request(String from, String to, String method, String path, byte[] body) {}

  /** A request leaves its sender. It may be lost, delayed or refused on its way. */
  default void sent(Request request) {}

  /** A request reaches the service that it is for. */
  default void delivered(Request request) {}

  /** A response has crossed the network; a partition may still lose it before its receiver. */
  default void answered(Request request, RequestHandler.HttpAnswer answer) {}
}
