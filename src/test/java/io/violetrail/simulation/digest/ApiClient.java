package io.violetrail.simulation.digest;

/** Somebody who uses one of the optional APIs during a simulated day. */
interface ApiClient {
  /** Nobody. */
  ApiClient NONE = () -> {};

  /** What the client does within about a second. */
  void act();

  /** What the client has been told that no message of the simulated network has carried. */
  default void end() {}
}
