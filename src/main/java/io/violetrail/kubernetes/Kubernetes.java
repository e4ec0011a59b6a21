package io.violetrail.kubernetes;

import io.violetrail.net.Http;
import io.violetrail.node.Node;

/** The subset of the Kubernetes API on one controller. Nothing of it is loaded unless it is on. */
public final class Kubernetes {
  private final Feed feed;
  private final Keeper keeper;
  private final KubernetesApi api;

  /**
   * Creates the Kubernetes API of one controller.
   *
   * @param port where every controller serves this API
   */
  public Kubernetes(Node node, Http http, int port) {
    Translation translation = new Translation(new Schema());
    this.keeper = new Keeper(node, translation);
    this.feed = new Feed(node, keeper);
    this.api =
        new KubernetesApi(
            node, new Objects(node, translation, feed), new Pods(node, keeper, http, port), feed);
  }

  public void start() {
    feed.start();
    keeper.start();
  }

  public KubernetesApi api() {
    return api;
  }
}
