package io.violetrail.fleet;

import io.violetrail.cloud.CloudClient;
import io.violetrail.model.MachineType;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.StateSchema;
import io.violetrail.scheduling.SchedulingLoop;
import io.violetrail.state.StateStore;
import io.violetrail.wire.CloudMessages;
import io.violetrail.wire.StateStoreMessages.Transaction;
import java.util.List;

/**
 * Keeps the machine types up to date with the provider, and stored for other controllers. Called by
 * the {@link Autoscaler} on the event loop's thread; the stored row survives a crash.
 */
public final class MachineTypeRefresh {
  private static final double REFRESH_SECONDS = 240;

  /** After a failure, while some types are known. */
  private static final double RETRY_SECONDS = 20;

  /** While no type is known. */
  private static final double FIRST_RETRY_SECONDS = 1;

  private final EventLoop loop;
  private final StateStore stateStore;
  private final ClusterView clusterView;
  private final MachineTypes machineTypes;
  private final SchedulingLoop schedulingLoop;
  private final CloudClient cloud;
  private double refreshedAtSeconds = Double.NEGATIVE_INFINITY;

  /** As the provider last answered this process; null before. */
  private List<MachineType> fromCloud;

  private boolean storeInFlight;

  /** Creates the refresh, which asks the provider at its first call. */
  public MachineTypeRefresh(
      EventLoop loop,
      StateStore stateStore,
      ClusterView clusterView,
      MachineTypes machineTypes,
      SchedulingLoop schedulingLoop,
      CloudClient cloud) {
    this.loop = loop;
    this.stateStore = stateStore;
    this.clusterView = clusterView;
    this.machineTypes = machineTypes;
    this.schedulingLoop = schedulingLoop;
    this.cloud = cloud;
  }

  /** Asks the provider again if the types known here are old. */
  void refresh() {
    double nowSeconds = loop.monotonicSeconds();
    boolean known = !machineTypes.isEmpty();
    if (nowSeconds - refreshedAtSeconds < (known ? REFRESH_SECONDS : FIRST_RETRY_SECONDS)
        || !cloud.tryAcquireCall()) {
      return;
    }
    refreshedAtSeconds = nowSeconds;
    Futures.logFailure(
        cloud
            .fetchMachineTypes()
            .whenComplete(
                (types, failure) -> {
                  if (failure != null) {
                    refreshedAtSeconds =
                        known ? nowSeconds - REFRESH_SECONDS + RETRY_SECONDS : nowSeconds;
                    return;
                  }
                  machineTypes.replaceAll(types);
                  fromCloud = types;
                  schedulingLoop.requestPass();
                }),
        "ask the cloud for the machine types");
  }

  /**
   * Stores the machine types for controllers that start while the provider does not answer, unless
   * they are stored already. Called at each pass, since at its start a controller learns them
   * before it has its lease: stored only on an answer, they were missing for minutes, and
   * controllers that restarted meanwhile served nothing until the provider was back.
   */
  void store() {
    if (fromCloud == null || storeInFlight || clusterView.machineTypes() != null) {
      return;
    }
    storeInFlight = true;
    Futures.logFailure(
        stateStore
            .commit(
                new Transaction()
                    .ifRevision(StateSchema.MACHINE_TYPES_KEY, 0)
                    .put(
                        StateSchema.MACHINE_TYPES_KEY,
                        CloudMessages.machineTypesMessage(fromCloud)))
            .whenComplete((outcome, failure) -> storeInFlight = false),
        "store the machine types");
  }
}
