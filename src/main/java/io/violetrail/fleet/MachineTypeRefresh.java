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
 * Fetches the machine types from the provider periodically, and stores them for other controllers.
 * Called by the {@link Autoscaler} on the event loop's thread; the stored row survives a crash.
 */
public final class MachineTypeRefresh {
  private static final double REFRESH_SECONDS = 240;

  /** Delay after a failed fetch if some types are known. */
  private static final double RETRY_SECONDS = 20;

  /** Delay between fetches while no type is known. */
  private static final double FIRST_RETRY_SECONDS = 1;

  private final EventLoop loop;
  private final StateStore stateStore;
  private final ClusterView clusterView;
  private final MachineTypes machineTypes;
  private final SchedulingLoop schedulingLoop;
  private final CloudClient cloud;
  private double refreshedAtSeconds = Double.NEGATIVE_INFINITY;

  /** The types in the provider's last answer to this process; null before the first one. */
  private List<MachineType> fetchedTypes;

  private boolean storeInFlight;

  /** Creates an object whose first {@link #refreshIfStale} fetches the types. */
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

  /** Fetches the types from the provider if the known ones are due for a refresh. */
  void refreshIfStale() {
    double nowSeconds = loop.monotonicSeconds();
    boolean hasTypes = !machineTypes.isEmpty();
    if (nowSeconds - refreshedAtSeconds < (hasTypes ? REFRESH_SECONDS : FIRST_RETRY_SECONDS)
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
                        hasTypes ? nowSeconds - REFRESH_SECONDS + RETRY_SECONDS : nowSeconds;
                    return;
                  }
                  machineTypes.replaceAll(types);
                  fetchedTypes = types;
                  schedulingLoop.requestPass();
                }),
        "fetch the machine types from the cloud");
  }

  /**
   * Stores the machine types, unless they are stored already, for controllers that start during a
   * provider outage. Called in each pass and not only after a fetch, since a starting controller
   * fetches the types before it has its lease. When they were stored only after a fetch, the row
   * was missing for minutes, and controllers that restarted meanwhile served nothing until the
   * provider was available again.
   */
  void storeIfMissing() {
    if (fetchedTypes == null || storeInFlight || clusterView.machineTypes() != null) {
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
                        CloudMessages.machineTypesMessage(fetchedTypes)))
            .whenComplete((outcome, failure) -> storeInFlight = false),
        "store the machine types");
  }
}
