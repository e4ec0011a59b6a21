package io.violetrail.kubernetes;

import io.violetrail.api.Intake;
import io.violetrail.api.Jobs;
import io.violetrail.config.Settings;
import io.violetrail.configuration.Configuration;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.net.Http;
import io.violetrail.net.Loop;
import io.violetrail.ownership.Directory;
import io.violetrail.ownership.Membership;
import io.violetrail.state.StateStore;
import java.util.Random;

/** The subset of the Kubernetes API on one controller. Nothing of it is loaded unless it is on. */
public final class Kubernetes {
  private final Feed feed;
  private final Keeper keeper;
  private final KubernetesApi api;

  /**
   * Made once for a controller that serves this API.
   *
   * @param http asks the other controllers for their pods
   * @param port where every controller serves this API
   */
  public Kubernetes(
      Loop loop,
      Random random,
      Settings settings,
      StateStore store,
      Directory directory,
      Membership membership,
      Configuration configuration,
      MachineTypes machineTypes,
      Jobs jobs,
      Intake intake,
      Http http,
      int port) {
    Translation translation = new Translation(new Schema());
    this.keeper = new Keeper(loop, store, membership, jobs, translation);
    this.feed = new Feed(store, loop, keeper);
    Objects objects =
        new Objects(
            loop, random, settings, store, membership, machineTypes, intake, translation, feed);
    Pods pods = new Pods(settings, directory, membership, keeper, http, port);
    this.api = new KubernetesApi(loop, configuration, objects, pods, feed);
  }

  /** Begins to follow the kept objects and to reconcile jobs with them. */
  public void start() {
    feed.start();
    keeper.start();
  }

  /** What is to be served at the port. */
  public KubernetesApi api() {
    return api;
  }
}
