package io.violetrail.fakes;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Network faults between the hosts of a {@link ClusterSimulation}: partitioned hosts, cut links,
 * held messages and refused connections. Filters see a message as the text "from to method path".
 */
public final class NetworkFaults {
  private final Predicate<String> isController;
  private final Set<String> partitionedHosts = new HashSet<>();
  private final List<Runnable> heldDeliveries = new ArrayList<>();
  private Predicate<String> holdFilter = message -> false;
  private Predicate<String> lossFilter = message -> false;
  private Predicate<String> refusalFilter = message -> false;

  NetworkFaults(Predicate<String> isController) {
    this.isController = isController;
  }

  /** Loses all messages to and from the host until {@link #healHost}. */
  public void partitionHost(String host) {
    partitionedHosts.add(host);
  }

  public void healHost(String host) {
    partitionedHosts.remove(host);
  }

  /**
   * Holds back requests whose "from to method path" matches, until {@link #releaseHeldMessages}.
   */
  public void holdMessages(Predicate<String> filter) {
    holdFilter = filter;
  }

  /**
   * Holds back workers' reports to the controller and its status requests to them, until {@link
   * #releaseHeldMessages}. All other messages to and from the controller pass.
   */
  public void cutOffFromWorkers(String controller) {
    holdMessages(
        message ->
            message.matches("vm-\\d+ " + controller + " POST /agent/beat.*")
                || message.matches(controller + " vm-\\d+ GET /status.*"));
  }

  /** Cuts a controller off from the state service and its peers, but not from workers or users. */
  public void isolateFromStateAndPeers(String name) {
    lossFilter =
        message -> {
          String[] parts = message.split(" ", 0);
          boolean controllers = isController.test(parts[0]) && isController.test(parts[1]);
          boolean state =
              parts[0].equals(name) && parts[1].equals(ClusterSimulation.STATE_ADDRESS.host());
          return state || (controllers && (parts[0].equals(name) || parts[1].equals(name)));
        };
  }

  /** Loses all messages between the given workers and the controller, in both directions. */
  public void cutLinks(Collection<FakeWorker> workers, String controller) {
    Set<String> ids = workers.stream().map(worker -> worker.id()).collect(Collectors.toSet());
    lossFilter =
        message -> {
          String[] parts = message.split(" ", 0);
          return (parts[0].equals(controller) && ids.contains(parts[1]))
              || (parts[1].equals(controller) && ids.contains(parts[0]));
        };
  }

  /** Refuses the connections of requests whose "from to method path" matches. */
  public void refuseConnections(Predicate<String> filter) {
    refusalFilter = filter;
  }

  public void healLinks() {
    lossFilter = message -> false;
  }

  /** Stops holding back messages and delivers the held ones in order. */
  public void releaseHeldMessages() {
    holdFilter = message -> false;
    List<Runnable> deliveries = new ArrayList<>(heldDeliveries);
    heldDeliveries.clear();
    deliveries.forEach(Runnable::run);
  }

  public int heldMessageCount() {
    return heldDeliveries.size();
  }

  /** Returns whether the connection for the message is refused. */
  boolean refusesConnection(String message) {
    return refusalFilter.test(message);
  }

  /** Returns whether the message is held back until {@link #releaseHeldMessages}. */
  boolean holdIfMatching(String message, Runnable deliver) {
    return holdFilter.test(message) && heldDeliveries.add(deliver);
  }

  boolean losesMessage(String from, String to, String message) {
    return partitionedHosts.contains(from)
        || partitionedHosts.contains(to)
        || lossFilter.test(message);
  }
}
