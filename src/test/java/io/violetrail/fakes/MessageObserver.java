package io.violetrail.fakes;

import io.violetrail.net.RequestHandler;

/**
 * Observes all messages between the hosts of a {@link ClusterSimulation}, in virtual time order.
 */
public interface MessageObserver {
  /** Observes nothing. */
  MessageObserver NONE = new MessageObserver() {};

  /** A request as its sender sends it; the body is null if there is none. */
  record Request(String from, String to, String method, String path, byte[] body) {}

  /** Called when a request leaves its sender; it may still be lost, delayed or refused. */
  default void sent(Request request) {}

  /** Called when a request reaches its service, before the service handles it. */
  default void delivered(Request request) {}

  /** Called when a reply has crossed the network; a partition may still lose it. */
  default void answered(Request request, RequestHandler.HttpResponse answer) {}
}
