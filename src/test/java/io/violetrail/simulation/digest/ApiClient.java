package io.violetrail.simulation.digest;

/** A client that uses one of the optional APIs during a simulated day. */
interface ApiClient {
  /** Sends no requests. */
  ApiClient NONE = () -> {};

  /** Performs the client's actions of one step, which lasts up to a second of virtual time. */
  void runStep();

  /**
   * Adds to the digest what the client has received outside the simulated network's messages.
   * Called once, at the end of the day.
   */
  default void finish() {}
}
