package io.violetrail.fakes;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * What is wrong between the hosts of a {@link ClusterSimulation}: hosts and links that are cut,
 * messages that are held back, connections that are refused. A message is named "from to method
 * path".
 */
public final class NetworkFaults {
  private final Predicate<String> isController;
  private final Set<String> partitionedHosts = new HashSet<>();
  private final List<Runnable> heldDeliveries = new ArrayList<>();
  private Predicate<String> holdFilter = m -> false;
  private Predicate<String> lossFilter = m -> false;
  private Predicate<String> refusalFilter = m -> false;

  NetworkFaults(Predicate<String> isController) {
    this.isController = isController;
  }

  /** Nothing goes to or comes from the host until it is mended. */
  public void partitionHost(String host) {
    partitionedHosts.add(host);
  }

  public void healHost(String host) {
    partitionedHosts.remove(host);
  }

  /**
   * Messages whose "from to method path" matches are kept, and delivered late by {@link
   * #releaseHeldMessages}.
   */
  public void holdMessages(Predicate<String> filter) {
    holdFilter = filter;
  }

  /** A controller loses the state service and the other controllers, not its workers or users. */
  public void isolateFromStateAndPeers(String name) {
    lossFilter =
        m -> {
          String[] parts = m.split(" ", 0);
          boolean controllers = isController.test(parts[0]) && isController.test(parts[1]);
          boolean state =
              parts[0].equals(name) && parts[1].equals(ClusterSimulation.STATE_ADDRESS.host());
          return state || (controllers && (parts[0].equals(name) || parts[1].equals(name)));
        };
  }

  /** Messages between one of these workers and the controller are lost, both ways. */
  public void cutLinks(Collection<FakeWorker> workers, String controller) {
    Set<String> ids = workers.stream().map(w -> w.id()).collect(Collectors.toSet());
    lossFilter =
        m -> {
          String[] parts = m.split(" ", 0);
          return (parts[0].equals(controller) && ids.contains(parts[1]))
              || (parts[1].equals(controller) && ids.contains(parts[0]));
        };
  }

  /** Connections for messages whose "from to method path" matches are refused. */
  public void refuseConnections(Predicate<String> filter) {
    refusalFilter = filter;
  }

  public void healLinks() {
    lossFilter = m -> false;
  }

  /** Stops holding messages back and delivers those held so far, in order. */
  public void releaseHeldMessages() {
    holdFilter = m -> false;
    List<Runnable> deliveries = new ArrayList<>(heldDeliveries);
    heldDeliveries.clear();
    deliveries.forEach(Runnable::run);
  }

  public int heldMessageCount() {
    return heldDeliveries.size();
  }

  /** Whether a connection for the message is refused. */
  boolean refusesConnection(String message) {
    return refusalFilter.test(message);
  }

  /** Whether the message is held back; then it is delivered by {@link #releaseHeldMessages}. */
  boolean holdIfMatching(String message, Runnable deliver) {
    return holdFilter.test(message) && heldDeliveries.add(deliver);
  }

  boolean losesMessage(String from, String to, String message) {
    return partitionedHosts.contains(from)
        || partitionedHosts.contains(to)
        || lossFilter.test(message);
  }
}
