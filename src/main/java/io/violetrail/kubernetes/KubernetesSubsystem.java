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

/** The subset of the Kubernetes API on one controller. Nothing of it is loaded unless it is on. */
public final class KubernetesSubsystem {
  private final WatchCache watchCache;
  private final ObjectReconciler reconciler;
  private final KubernetesApi api;

  /**
   * Made once for a controller that serves this API.
   *
   * @param http asks the other controllers for their pods
   * @param port where every controller serves this API
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

  /** Begins to follow the kept objects and to reconcile jobs with them. */
  public void start() {
    watchCache.start();
    reconciler.start();
  }

  /** What is to be served at the port. */
  public KubernetesApi api() {
    return api;
  }
}
