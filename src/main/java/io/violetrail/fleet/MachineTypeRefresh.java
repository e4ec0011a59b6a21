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

/** Keeps the machine types up to date with the cloud, and stored for other controllers. */
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

  /** As the cloud told them to this process; null before. */
  private List<MachineType> fromCloud;

  private boolean storing;

  /** Asks the cloud, and stores the types where the directory knows of none. */
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

  /** Asks the cloud again if the types known here are old. */
  void refresh() {
    double now = loop.monotonicSeconds();
    boolean known = !machineTypes.isEmpty();
    if (now - refreshedAtSeconds < (known ? REFRESH_SECONDS : FIRST_RETRY_SECONDS)
        || !cloud.tryAcquireCall()) {
      return;
    }
    refreshedAtSeconds = now;
    Futures.logFailure(
        cloud
            .fetchMachineTypes()
            .whenComplete(
                (types, failure) -> {
                  if (failure != null) {
                    refreshedAtSeconds = known ? now - REFRESH_SECONDS + RETRY_SECONDS : now;
                    return;
                  }
                  machineTypes.replaceAll(types);
                  fromCloud = types;
                  schedulingLoop.requestPass();
                }),
        "ask the cloud for the machine types");
  }

  /**
   * The machine types are kept for controllers that start while the cloud does not answer. At its
   * own start a controller is told them before it has its lease; written only then, they were
   * missing for minutes, and controllers that ended meanwhile served nothing until the cloud was
   * back.
   */
  void store() {
    if (fromCloud == null || storing || clusterView.machineTypes() != null) {
      return;
    }
    storing = true;
    Futures.logFailure(
        stateStore
            .commit(
                new Transaction()
                    .ifRevision(StateSchema.MACHINE_TYPES_KEY, 0)
                    .put(
                        StateSchema.MACHINE_TYPES_KEY,
                        CloudMessages.machineTypesMessage(fromCloud)))
            .whenComplete((outcome, failure) -> storing = false),
        "store the machine types");
  }
}
