package io.violetrail.controller;

import io.violetrail.api.JobAdmission;
import io.violetrail.api.JobLifecycle;
import io.violetrail.api.JobStateLookup;
import io.violetrail.api.Metrics;
import io.violetrail.api.Readiness;
import io.violetrail.api.UserApi;
import io.violetrail.calendar.ScheduleApi;
import io.violetrail.calendar.ScheduleRegistry;
import io.violetrail.cloud.CloudClient;
import io.violetrail.config.Options;
import io.violetrail.config.Settings;
import io.violetrail.configuration.Configuration;
import io.violetrail.configuration.ConfigurationApi;
import io.violetrail.configuration.ConfigurationFollower;
import io.violetrail.configuration.ConfigurationState;
import io.violetrail.configuration.ConfigurationWriter;
import io.violetrail.configuration.FixedConfiguration;
import io.violetrail.evidence.EvidenceLog;
import io.violetrail.fleet.Autoscaler;
import io.violetrail.fleet.BootTimes;
import io.violetrail.fleet.EntityMachines;
import io.violetrail.fleet.MachineTransfer;
import io.violetrail.fleet.MachineTypeRefresh;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.fleet.OrphanedMachines;
import io.violetrail.fleet.QuotaTransfer;
import io.violetrail.fleet.ScaleIn;
import io.violetrail.fleet.ScaleOut;
import io.violetrail.fleet.ScaleOutRequests;
import io.violetrail.fleet.TransferRequests;
import io.violetrail.fleet.WarmCapacity;
import io.violetrail.kubernetes.KubernetesApi;
import io.violetrail.kubernetes.KubernetesSubsystem;
import io.violetrail.model.ControllerId;
import io.violetrail.net.EventLoop;
import io.violetrail.net.HttpClient;
import io.violetrail.net.RequestHandler;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.LeaseTiming;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.peer.PeerClient;
import io.violetrail.peer.PeerCodec;
import io.violetrail.peer.PeerJobViews;
import io.violetrail.peer.PeerService;
import io.violetrail.peer.WriteBudgetLending;
import io.violetrail.scheduling.BinPacker;
import io.violetrail.scheduling.EntityMaintenance;
import io.violetrail.scheduling.GangRepair;
import io.violetrail.scheduling.MachineDrainer;
import io.violetrail.scheduling.MachineLivenessMonitor;
import io.violetrail.scheduling.PendingQueues;
import io.violetrail.scheduling.Preemption;
import io.violetrail.scheduling.RuntimeEstimates;
import io.violetrail.scheduling.SchedulingLoop;
import io.violetrail.scheduling.ServiceLevelObjectives;
import io.violetrail.scheduling.TaskFailureHandler;
import io.violetrail.scheduling.TaskScheduler;
import io.violetrail.state.StateStore;
import io.violetrail.tracing.JobTracer;
import io.violetrail.worker.CommandWriter;
import io.violetrail.worker.HeartbeatHandler;
import io.violetrail.worker.LastHeartbeats;
import io.violetrail.worker.LeaseRenewal;
import io.violetrail.worker.LongPolls;
import io.violetrail.worker.MachineAdoption;
import io.violetrail.worker.OwnedMachineHeartbeat;
import io.violetrail.worker.ReportReconciler;
import io.violetrail.worker.TaskStopper;
import io.violetrail.worker.WorkerReachability;
import io.violetrail.worker.WorkerRouter;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller: makes its parts, connects and starts them. The only class that knows them all.
 *
 * <p>Everything runs on the thread of the event loop. Nothing here survives the process: what must
 * is in the state service.
 */
public final class Controller {
  private static final Logger EVIDENCE = LoggerFactory.getLogger(EvidenceLog.class);
  private static final double ANNOUNCE_PERIOD_SECONDS = 2;
  private static final double RETURN_EXCESS_PERIOD_SECONDS = 1;

  private final Settings settings;
  private final EventLoop loop;
  private final Random random;
  private final HttpClient http;
  private final LeaseTiming timing;
  private final StateStore store;
  private final ClusterView directory;
  private final Membership membership;
  private final Configuration configuration;
  private final MachineTypes machineTypes;
  private final SchedulingLoop schedulingLoop;
  private final RuntimeEstimates estimates = new RuntimeEstimates();
  private final PeerClient peers;
  private final QuotaTransfer quotas;
  private final TaskStopper taskStopper;
  private final JobLifecycle jobs;
  private final JobAdmission intake;
  private final EntityMachines entityMachines;
  private final TaskScheduler dispatcher;
  private final EntityMaintenance entityMaintenance;
  private final Autoscaler fleet;
  private final EntityRecovery entityRecovery;
  private final WorkerReachability reachability;
  private final WriteBudgetLending budgetLending;
  private final UserApi api;
  private final PeerService peerService;

  /**
   * Makes a controller that does nothing before {@link #start}.
   *
   * @param loop the controller's only thread, and its clocks
   * @param http sends requests to the other programs
   * @param random decides wherever choices are equal
   * @param traces notes the ways of jobs
   */
  public Controller(
      Settings settings,
      Options options,
      EventLoop loop,
      HttpClient http,
      Random random,
      JobTracer traces) {
    this.settings = settings;
    this.loop = loop;
    this.http = http;
    this.random = random;

    // The state service, and what is known of the common rows.
    timing = LeaseTiming.from(settings, options.leaseTtlSeconds());
    store = new StateStore(loop, http, settings);
    directory = new ClusterView(settings);
    membership = new Membership(settings, loop, store, directory, timing, new MembershipListener());
    configuration =
        options.configurationEnabled()
            ? new ConfigurationFollower(settings, loop, store, directory, timing)
            : new FixedConfiguration(settings, directory);
    EvidenceLog evidence = new EvidenceLog(loop, EVIDENCE::info);
    PeerCodec peerCodec = new PeerCodec();
    peers = new PeerClient(settings, directory, http, peerCodec);
    budgetLending = new WriteBudgetLending(settings, loop, store, directory, peers);

    // Machines and jobs.
    machineTypes = new MachineTypes(directory);
    schedulingLoop = new SchedulingLoop(loop);
    BootTimes bootTimes = new BootTimes();
    WarmCapacity spares = new WarmCapacity(configuration);
    ServiceLevelObjectives objectives = new ServiceLevelObjectives(configuration);
    PendingQueues pendingQueues = new PendingQueues(loop, objectives, estimates, schedulingLoop);
    taskStopper = new TaskStopper(loop, membership, http);
    quotas = new QuotaTransfer(loop, store, directory, membership, settings, configuration);
    entityMachines =
        new EntityMachines(loop, directory, membership, machineTypes, bootTimes, schedulingLoop);
    jobs =
        new JobLifecycle(
            loop,
            store,
            settings.stateStoreLimits(),
            membership,
            pendingQueues,
            objectives,
            spares,
            taskStopper,
            traces);
    intake = new JobAdmission(store, membership, configuration, machineTypes, jobs, traces);

    // Scheduling.
    double heartbeatSeconds = settings.workerTiming().heartbeatIntervalSeconds();
    LongPolls longPolls = new LongPolls(loop, heartbeatSeconds);
    Preemption preemption = new Preemption(taskStopper::enqueueStop);
    MachineDrainer drainer = new MachineDrainer(loop, preemption);
    BinPacker placer = new BinPacker(objectives, estimates, random, options.placementSampleSize());
    MachineTransfer machineTransfer =
        new MachineTransfer(
            loop, membership, machineTypes, entityMachines, drainer, quotas, longPolls);
    TransferRequests transfers =
        new TransferRequests(
            loop,
            random,
            directory,
            membership,
            machineTypes,
            pendingQueues,
            objectives,
            estimates,
            quotas,
            machineTransfer,
            peers);
    dispatcher =
        new TaskScheduler(
            loop,
            membership,
            configuration,
            machineTypes,
            pendingQueues,
            placer,
            preemption,
            drainer,
            quotas,
            transfers,
            longPolls);
    schedulingLoop.setPass(dispatcher::runPass);
    entityMaintenance =
        new EntityMaintenance(
            loop,
            membership,
            pendingQueues,
            schedulingLoop,
            new MachineLivenessMonitor(
                directory, timing, heartbeatSeconds, EntityMaintenance.PERIOD_SECONDS),
            new GangRepair(taskStopper),
            jobs);

    // The fleet.
    CloudClient cloud = new CloudClient(loop, http, settings);
    ScaleOutRequests hires = new ScaleOutRequests(loop, store, directory, membership, peers, cloud);
    fleet =
        new Autoscaler(
            loop,
            membership,
            new MachineTypeRefresh(loop, store, directory, machineTypes, schedulingLoop, cloud),
            new ScaleIn(
                settings,
                options.maxIdleSeconds(),
                loop,
                timing,
                directory,
                membership,
                machineTypes,
                entityMachines,
                bootTimes,
                spares,
                cloud),
            new ScaleOut(
                settings,
                random,
                directory,
                machineTypes,
                pendingQueues,
                placer,
                objectives,
                estimates,
                quotas,
                bootTimes,
                spares,
                hires),
            hires,
            new OrphanedMachines(
                settings, loop, directory, membership, machineTypes, entityMachines, cloud));
    entityRecovery =
        new EntityRecovery(
            loop, timing, store, directory, entityMachines, jobs, hires, schedulingLoop);

    // Workers' heartbeats.
    reachability =
        new WorkerReachability(settings, loop, random, directory, membership, peers, http);
    LeaseRenewal leaseRenewal = new LeaseRenewal(membership, jobs, evidence);
    CommandWriter commandWriter = new CommandWriter(configuration, traces, evidence);
    ReportReconciler reconciler =
        new ReportReconciler(jobs, estimates, new TaskFailureHandler(loop));
    HeartbeatHandler heartbeats =
        new HeartbeatHandler(
            loop,
            directory,
            membership,
            entityMachines,
            reachability,
            longPolls,
            new LastHeartbeats(loop, evidence, heartbeatSeconds),
            new WorkerRouter(settings, loop, timing, directory, membership),
            new MachineAdoption(loop, directory, membership, machineTypes),
            new OwnedMachineHeartbeat(
                loop,
                timing,
                membership,
                entityMachines,
                dispatcher,
                drainer,
                schedulingLoop,
                reconciler,
                leaseRenewal,
                commandWriter),
            leaseRenewal,
            commandWriter);

    // What is served.
    JobStateLookup jobStates = new JobStateLookup(membership, jobs);
    api =
        new UserApi(
            loop,
            settings,
            directory,
            membership,
            peers,
            new PeerJobViews(peers, jobs),
            jobs,
            jobStates,
            intake,
            heartbeats,
            new Readiness(membership, machineTypes, configuration),
            traces,
            new Metrics(loop, directory, membership, configuration, evidence));
    peerService =
        new PeerService(
            membership,
            configuration,
            jobs,
            jobStates,
            reachability,
            transfers,
            hires,
            budgetLending,
            peerCodec);
  }

  /** Begins to renew the lease, to follow the rows and to work. */
  public void start() {
    membership.start();
    configuration.start();
    configuration.addChangeListener(this::configurationChanged);
    if (configuration.canChange()) {
      loop.scheduleWithFixedDelay(
          RETURN_EXCESS_PERIOD_SECONDS, () -> quotas.returnExcess(membership.ownedEntities()));
    }
    budgetLending.start();
    entityMaintenance.start();
    fleet.start();
    reachability.start();
    taskStopper.start();
    loop.scheduleWithFixedDelay(ANNOUNCE_PERIOD_SECONDS, this::announceSeizedEntities);
  }

  /** What is served to users, workers and health checks. */
  public RequestHandler api() {
    return api;
  }

  /** What is served to the other controllers. */
  public RequestHandler peerService() {
    return peerService;
  }

  /** Serves and fires schedules. */
  public void serveSchedules() {
    ScheduleRegistry schedules =
        new ScheduleRegistry(loop, settings, store, membership, machineTypes, jobs, estimates);
    schedules.start();
    ScheduleApi scheduleApi =
        new ScheduleApi(loop, random, settings, store, membership, machineTypes, intake, schedules);
    api.addOptionalService(others -> scheduleApi);
  }

  /** Serves the configuration's paths beside what is served already. */
  public void serveConfiguration() {
    ConfigurationWriter writer = new ConfigurationWriter(settings, loop, store);
    api.addOptionalService(
        others ->
            new ConfigurationApi(loop, configuration, writer, this::configurationStates, others));
  }

  /**
   * Makes and starts the subset of the Kubernetes API.
   *
   * @param port where all controllers serve it
   * @return what is to be served there
   */
  public KubernetesApi startKubernetes(int port) {
    KubernetesSubsystem kubernetes =
        new KubernetesSubsystem(
            loop,
            random,
            settings,
            store,
            directory,
            membership,
            configuration,
            machineTypes,
            jobs,
            intake,
            http,
            port);
    kubernetes.start();
    return kubernetes.api();
  }

  /** This controller's lease and entities, for tests. */
  public Membership membership() {
    return membership;
  }

  /** What is known here of the common rows, for tests. */
  public ClusterView directory() {
    return directory;
  }

  /** The teams and objectives that this controller goes by, for tests. */
  public Configuration configuration() {
    return configuration;
  }

  /** Whether workers are heard here, for tests. */
  public WorkerReachability reachability() {
    return reachability;
  }

  /** What the controller was started with, for tests. */
  public Settings settings() {
    return settings;
  }

  /** Machines examined for placement so far, a measure of what that costs. */
  public long machinesExamined() {
    return dispatcher.machinesExamined();
  }

  private void configurationChanged() {
    quotas.revokeUnsentPlacements(membership.ownedEntities());
    quotas.returnExcess(membership.ownedEntities());
    schedulingLoop.requestPass();
  }

  /** This controller's state of the configuration, and then those of all peers. */
  private CompletableFuture<List<ConfigurationState>> configurationStates() {
    List<CompletableFuture<ConfigurationState>> all = new ArrayList<>();
    all.add(CompletableFuture.completedFuture(configuration.findState()));
    all.addAll(peers.configurationStates());
    return CompletableFuture.allOf(all.toArray(CompletableFuture[]::new))
        .thenApply(nothing -> all.stream().map(CompletableFuture::join).toList());
  }

  /**
   * A former owner that the state service refuses learns of a seizure from its peers alone, and one
   * message may be lost: it is told until its grace is over in any case.
   */
  private void announceSeizedEntities() {
    for (OwnedEntity entity : membership.ownedEntities()) {
      double ownedSeconds = loop.monotonicSeconds() - entity.acquiredAtSeconds();
      if (!entity.acquiredGracefully()
          && ownedSeconds < timing.ttlSeconds() + timing.keepAliveGraceSeconds()) {
        peers.announce(entity);
      }
    }
  }

  private final class MembershipListener implements Membership.Listener {
    @Override
    public void onEntityAcquired(OwnedEntity entity) {
      peers.announce(membership.ownedEntities());
      entityRecovery.recover(entity);
    }

    @Override
    public void onEntityLost(OwnedEntity entity) {
      peers.announce(membership.ownedEntities());
    }

    /** Machines may have been passed over to an entity owned here. */
    @Override
    public void onRowsChanged() {
      configuration.onRowsChanged();
      entityMachines.addTransferred();
    }

    @Override
    public boolean isCutOffFromWorkers() {
      return reachability.isPartitionedFromWorkers();
    }

    @Override
    public void requestHandback(ControllerId owner) {
      peers.askBack(owner);
    }
  }
}
