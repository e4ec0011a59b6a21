package io.violetrail.kubernetes;

import io.violetrail.api.JobAdmission;
import io.violetrail.api.JobLifecycle;
import io.violetrail.config.Settings;
import io.violetrail.configuration.Configuration;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.net.EventLoop;
import io.violetrail.net.HttpClient;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.Membership;
import io.violetrail.state.StateStore;
import java.util.Random;

/** The Kubernetes API subset of one controller. None of it is loaded unless the API is enabled. */
public final class KubernetesSubsystem {
  private final WatchCache watchCache;
  private final ObjectReconciler reconciler;
  private final KubernetesApi api;

  /**
   * Creates the components of a controller that serves this API.
   *
   * @param http client for requesting the pods of the other controllers
   * @param port the port on which every controller serves this API
   */
  public KubernetesSubsystem(
      EventLoop loop,
      Random random,
      Settings settings,
      StateStore store,
      ClusterView clusterView,
      Membership membership,
      Configuration configuration,
      MachineTypes machineTypes,
      JobLifecycle jobLifecycle,
      JobAdmission jobAdmission,
      HttpClient http,
      int port) {
    NativeJobTranslator translator = new NativeJobTranslator(new ManifestSchema());
    this.reconciler = new ObjectReconciler(loop, store, membership, jobLifecycle, translator);
    this.watchCache = new WatchCache(store, loop, reconciler);
    ObjectQueries objectQueries = new ObjectQueries(store);
    ObjectCreator objectCreator =
        new ObjectCreator(
            loop,
            random,
            settings,
            store,
            membership,
            jobAdmission,
            translator,
            watchCache,
            objectQueries);
    ObjectUpdater objectUpdater =
        new ObjectUpdater(
            loop, settings, store, machineTypes, jobAdmission, translator, objectQueries);
    ObjectDeleter objectDeleter = new ObjectDeleter(loop, store, objectQueries);
    PodLister podLister = new PodLister(settings, clusterView, membership, reconciler, http, port);
    this.api =
        new KubernetesApi(
            loop,
            configuration,
            objectQueries,
            objectCreator,
            objectUpdater,
            objectDeleter,
            podLister,
            watchCache);
  }

  /** Starts watching the stored objects and reconciling native jobs with them. */
  public void start() {
    watchCache.start();
    reconciler.start();
  }

  /** Returns the handler of the API's requests. */
  public KubernetesApi api() {
    return api;
  }
}
