package io.violetrail.fakes;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * What is wrong between the hosts of a {@link World}: hosts and links that are cut, messages that
 * are held back, connections that are refused. A message is named "from to method path".
 */
public final class NetworkFaults {
  private final Predicate<String> isController;
  private final Set<String> cut = new HashSet<>();
  private final List<Runnable> held = new ArrayList<>();
  private Predicate<String> hold = m -> false;
  private Predicate<String> lose = m -> false;
  private Predicate<String> refuse = m -> false;

  NetworkFaults(Predicate<String> isController) {
    this.isController = isController;
  }

  /** Nothing goes to or comes from the host until it is mended. */
  public void cut(String host) {
    cut.add(host);
  }

  public void mend(String host) {
    cut.remove(host);
  }

  /**
   * Messages whose "from to method path" matches are kept, and delivered late by {@link #release}.
   */
  public void hold(Predicate<String> which) {
    hold = which;
  }

  /** A controller loses the state service and the other controllers, not its workers or users. */
  public void isolate(String name) {
    lose =
        m -> {
          String[] part = m.split(" ", 0);
          boolean controllers = isController.test(part[0]) && isController.test(part[1]);
          boolean state = part[0].equals(name) && part[1].equals(World.STATE.host());
          return state || (controllers && (part[0].equals(name) || part[1].equals(name)));
        };
  }

  /** Messages between one of these workers and the controller are lost, both ways. */
  public void cutLinks(Collection<FakeWorker> workers, String controller) {
    Set<String> ids = workers.stream().map(w -> w.id).collect(Collectors.toSet());
    lose =
        m -> {
          String[] part = m.split(" ", 0);
          return (part[0].equals(controller) && ids.contains(part[1]))
              || (part[1].equals(controller) && ids.contains(part[0]));
        };
  }

  /** Connections for messages whose "from to method path" matches are refused. */
  public void refuse(Predicate<String> which) {
    refuse = which;
  }

  public void rejoin() {
    lose = m -> false;
  }

  /** Stops holding messages back and delivers those held so far, in order. */
  public void release() {
    hold = m -> false;
    List<Runnable> late = new ArrayList<>(held);
    held.clear();
    late.forEach(Runnable::run);
  }

  public int heldBack() {
    return held.size();
  }

  /** Whether a connection for the message is refused. */
  boolean refuses(String message) {
    return refuse.test(message);
  }

  /** Whether the message is held back; then it is delivered by {@link #release}. */
  boolean holds(String message, Runnable deliver) {
    return hold.test(message) && held.add(deliver);
  }

  boolean loses(String from, String to, String message) {
    return cut.contains(from) || cut.contains(to) || lose.test(message);
  }
}
