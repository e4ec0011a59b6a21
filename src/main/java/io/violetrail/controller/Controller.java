package io.violetrail.controller;

import io.violetrail.api.EntityJobStores;
import io.violetrail.api.JobAdmission;
import io.violetrail.api.JobCancellation;
import io.violetrail.api.JobLifecycle;
import io.violetrail.api.JobLookup;
import io.violetrail.api.JobQuery;
import io.violetrail.api.JobRestorer;
import io.violetrail.api.JobStateLookup;
import io.violetrail.api.JobStateResolver;
import io.violetrail.api.JobSubmission;
import io.violetrail.api.KnownJobs;
import io.violetrail.api.LocalCancellation;
import io.violetrail.api.Metrics;
import io.violetrail.api.PeerOwners;
import io.violetrail.api.Readiness;
import io.violetrail.api.UnknownTaskLookup;
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
import io.violetrail.fleet.SoldOutOfferings;
import io.violetrail.fleet.TransferRequests;
import io.violetrail.fleet.WarmCapacity;
import io.violetrail.fleet.ZoneSupply;
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
import io.violetrail.scheduling.PlacementConstraints;
import io.violetrail.scheduling.Preemption;
import io.violetrail.scheduling.RuntimeEstimates;
import io.violetrail.scheduling.SchedulingLoop;
import io.violetrail.scheduling.ServiceLevelObjectives;
import io.violetrail.scheduling.SingleZonePlanner;
import io.violetrail.scheduling.TaskFailureHandler;
import io.violetrail.scheduling.TaskScheduler;
import io.violetrail.state.StateStore;
import io.violetrail.tracing.JobTracer;
import io.violetrail.worker.CommandWriter;
import io.violetrail.worker.HeartbeatHandler;
import io.violetrail.worker.LastHeartbeats;
import io.violetrail.worker.LeaseRenewal;
import io.violetrail.worker.LongPollReplies;
import io.violetrail.worker.LongPolls;
import io.violetrail.worker.MachineAdoption;
import io.violetrail.worker.OwnedMachineHeartbeat;
import io.violetrail.worker.PartitionHandover;
import io.violetrail.worker.ReportReconciler;
import io.violetrail.worker.TaskStopper;
import io.violetrail.worker.WorkerProbe;
import io.violetrail.worker.WorkerReachability;
import io.violetrail.worker.WorkerRouter;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller. Creates all of its components, connects and starts them; no other class knows all
 * components.
 *
 * <p>Everything runs on the event loop's thread. All state in memory is lost with the process; what
 * must survive is kept in the state service.
 */
public final class Controller {
  private static final Logger EVIDENCE = LoggerFactory.getLogger(EvidenceLog.class);
  private static final double ANNOUNCE_PERIOD_SECONDS = 2;
  private static final double RETURN_EXCESS_PERIOD_SECONDS = 1;

  private final Settings settings;
  private final EventLoop loop;
  private final Random random;
  private final HttpClient http;
  private final LeaseTiming leaseTiming;
  private final StateStore store;
  private final ClusterView clusterView;
  private final Membership membership;
  private final Configuration configuration;
  private final MachineTypes machineTypes;
  private final SchedulingLoop schedulingLoop;
  private final RuntimeEstimates runtimeEstimates = new RuntimeEstimates();
  private final PeerClient peerClient;
  private final QuotaTransfer quotaTransfer;
  private final TaskStopper taskStopper;
  private final JobLifecycle jobLifecycle;
  private final JobAdmission jobAdmission;
  private final EntityMachines entityMachines;
  private final TaskScheduler taskScheduler;
  private final EntityMaintenance entityMaintenance;
  private final Autoscaler autoscaler;
  private final EntityRecovery entityRecovery;
  private final WorkerReachability workerReachability;
  private final WriteBudgetLending budgetLending;
  private final UserApi api;
  private final PeerService peerService;

  /**
   * Creates a controller that does nothing before {@link #start}.
   *
   * @param loop the controller's only thread, and its clocks
   * @param http sends requests to the state service, the cloud, workers and other controllers
   * @param random source of all random choices
   * @param jobTracer records traces of the jobs
   */
  public Controller(
      Settings settings,
      Options options,
      EventLoop loop,
      HttpClient http,
      Random random,
      JobTracer jobTracer) {
    this.settings = settings;
    this.loop = loop;
    this.http = http;
    this.random = random;

    // The state service, membership and configuration.
    leaseTiming = LeaseTiming.from(settings, options.leaseTtlSeconds());
    store = new StateStore(loop, http, settings);
    clusterView = new ClusterView(settings);
    membership =
        new Membership(settings, loop, store, clusterView, leaseTiming, new MembershipListener());
    configuration =
        options.configurationEnabled()
            ? new ConfigurationFollower(settings, loop, store, clusterView, leaseTiming)
            : new FixedConfiguration(settings, clusterView);
    final EvidenceLog evidence = new EvidenceLog(loop, EVIDENCE::info);
    PeerCodec peerCodec = new PeerCodec();
    peerClient = new PeerClient(settings, clusterView, http, peerCodec);
    budgetLending = new WriteBudgetLending(settings, loop, store, clusterView, peerClient);

    // Machines and jobs.
    machineTypes = new MachineTypes(clusterView);
    schedulingLoop = new SchedulingLoop(loop);
    BootTimes bootTimes = new BootTimes();
    final WarmCapacity warmCapacity = new WarmCapacity(configuration);
    ServiceLevelObjectives objectives = new ServiceLevelObjectives(configuration);
    final PendingQueues pendingQueues =
        new PendingQueues(loop, objectives, runtimeEstimates, schedulingLoop);
    taskStopper = new TaskStopper(loop, membership, http);
    quotaTransfer =
        new QuotaTransfer(loop, store, clusterView, membership, settings, configuration);
    entityMachines =
        new EntityMachines(loop, clusterView, membership, machineTypes, bootTimes, schedulingLoop);
    final KnownJobs knownJobs = new KnownJobs();
    final JobLookup jobLookup = new JobLookup(store, knownJobs);
    EntityJobStores jobStores =
        new EntityJobStores(loop, store, settings.stateStoreLimits(), membership);
    jobLifecycle =
        new JobLifecycle(
            loop,
            membership,
            jobStores,
            knownJobs,
            jobLookup,
            pendingQueues,
            objectives,
            warmCapacity,
            taskStopper,
            jobTracer);
    jobAdmission =
        new JobAdmission(
            store, membership, configuration, machineTypes, jobLookup, jobLifecycle, jobTracer);
    final JobRestorer jobRestorer =
        new JobRestorer(loop, jobStores, knownJobs, jobLifecycle, pendingQueues, objectives);

    // Scheduling.
    double heartbeatSeconds = settings.workerTiming().heartbeatIntervalSeconds();
    LongPolls longPolls = new LongPolls(loop, heartbeatSeconds);
    PlacementConstraints constraints =
        new PlacementConstraints(objectives, runtimeEstimates, machineTypes);
    Preemption preemption = new Preemption(constraints, taskStopper::enqueueStop);
    SoldOutOfferings soldOutOfferings = new SoldOutOfferings(loop);
    SingleZonePlanner singleZonePlanner =
        new SingleZonePlanner(
            constraints, preemption, new ZoneSupply(machineTypes, soldOutOfferings));
    MachineDrainer drainer = new MachineDrainer(loop, preemption);
    BinPacker binPacker =
        new BinPacker(constraints, objectives, machineTypes, random, options.placementSampleSize());
    MachineTransfer machineTransfer =
        new MachineTransfer(
            loop,
            membership,
            machineTypes,
            entityMachines,
            constraints,
            drainer,
            quotaTransfer,
            longPolls);
    TransferRequests transferRequests =
        new TransferRequests(
            loop,
            random,
            clusterView,
            membership,
            machineTypes,
            pendingQueues,
            objectives,
            runtimeEstimates,
            quotaTransfer,
            constraints,
            machineTransfer,
            peerClient);
    taskScheduler =
        new TaskScheduler(
            loop,
            membership,
            configuration,
            constraints,
            singleZonePlanner,
            pendingQueues,
            binPacker,
            preemption,
            drainer,
            quotaTransfer,
            transferRequests,
            longPolls);
    schedulingLoop.setPass(taskScheduler::runPass);
    entityMaintenance =
        new EntityMaintenance(
            loop,
            membership,
            pendingQueues,
            schedulingLoop,
            new MachineLivenessMonitor(
                clusterView, leaseTiming, heartbeatSeconds, EntityMaintenance.PERIOD_SECONDS),
            new GangRepair(taskStopper),
            jobLifecycle);

    // Scale out and scale in.
    CloudClient cloud = new CloudClient(loop, http, settings);
    ScaleOutRequests scaleOutRequests =
        new ScaleOutRequests(
            loop, store, clusterView, membership, peerClient, cloud, soldOutOfferings);
    autoscaler =
        new Autoscaler(
            loop,
            membership,
            new MachineTypeRefresh(loop, store, clusterView, machineTypes, schedulingLoop, cloud),
            new ScaleIn(
                settings,
                options.maxIdleSeconds(),
                loop,
                leaseTiming,
                clusterView,
                membership,
                machineTypes,
                entityMachines,
                bootTimes,
                warmCapacity,
                cloud),
            new ScaleOut(
                settings,
                random,
                clusterView,
                machineTypes,
                pendingQueues,
                constraints,
                objectives,
                runtimeEstimates,
                quotaTransfer,
                bootTimes,
                warmCapacity,
                scaleOutRequests,
                soldOutOfferings,
                singleZonePlanner),
            scaleOutRequests,
            soldOutOfferings,
            new OrphanedMachines(
                settings, loop, clusterView, membership, machineTypes, entityMachines, cloud));
    entityRecovery =
        new EntityRecovery(
            loop,
            leaseTiming,
            store,
            clusterView,
            entityMachines,
            jobRestorer,
            scaleOutRequests,
            schedulingLoop);

    // Workers' heartbeats.
    workerReachability =
        new WorkerReachability(
            loop,
            random,
            membership,
            new WorkerProbe(http),
            new PartitionHandover(settings.peers().keySet(), clusterView, membership, peerClient),
            heartbeatSeconds);
    LeaseRenewal leaseRenewal = new LeaseRenewal(membership, jobLifecycle, evidence);
    CommandWriter commandWriter = new CommandWriter(configuration, jobTracer, evidence);
    ReportReconciler reconciler =
        new ReportReconciler(
            jobLifecycle,
            new UnknownTaskLookup(loop, jobLookup, knownJobs, jobRestorer),
            runtimeEstimates,
            new TaskFailureHandler(loop));
    WorkerRouter workerRouter =
        new WorkerRouter(settings, loop, leaseTiming, clusterView, membership);
    HeartbeatHandler heartbeatHandler =
        new HeartbeatHandler(
            clusterView,
            membership,
            entityMachines,
            workerReachability,
            longPolls,
            new LastHeartbeats(loop, evidence, heartbeatSeconds),
            workerRouter,
            new MachineAdoption(loop, clusterView, membership, machineTypes),
            new OwnedMachineHeartbeat(
                loop,
                leaseTiming,
                membership,
                entityMachines,
                taskScheduler,
                drainer,
                schedulingLoop,
                reconciler,
                leaseRenewal,
                commandWriter),
            leaseRenewal,
            new LongPollReplies(
                loop, clusterView, membership, workerRouter, leaseRenewal, commandWriter));

    // The HTTP API and the service for the other controllers.
    JobStateLookup jobStates = new JobStateLookup(membership, knownJobs);
    final LocalCancellation localCancellation =
        new LocalCancellation(membership, knownJobs, jobLifecycle, jobStates);
    PeerOwners peerOwners = new PeerOwners(settings.self(), clusterView);
    JobQuery jobQuery =
        new JobQuery(
            new JobStateResolver(
                settings.peers().keySet(),
                clusterView,
                peerOwners,
                new PeerJobViews(peerClient, knownJobs),
                knownJobs,
                jobLookup,
                jobStates));
    api =
        new UserApi(
            loop,
            new JobSubmission(
                settings.stateStoreLimits().maxValueBytes(),
                knownJobs,
                jobLookup,
                jobAdmission,
                jobQuery),
            jobQuery,
            new JobCancellation(localCancellation, knownJobs, jobLookup, peerOwners, peerClient),
            heartbeatHandler,
            new Readiness(membership, machineTypes, configuration),
            jobTracer,
            new Metrics(loop, clusterView, membership, configuration, evidence));
    peerService =
        new PeerService(
            membership,
            configuration,
            knownJobs,
            jobStates,
            localCancellation,
            workerReachability,
            transferRequests,
            soldOutOfferings,
            budgetLending,
            peerCodec);
  }

  /** Starts to renew the lease, to follow the rows of the state service, and all periodic work. */
  public void start() {
    membership.start();
    configuration.start();
    configuration.addChangeListener(this::configurationChanged);
    if (configuration.canChange()) {
      loop.scheduleWithFixedDelay(
          RETURN_EXCESS_PERIOD_SECONDS,
          () -> quotaTransfer.returnExcess(membership.ownedEntities()));
    }
    budgetLending.start();
    entityMaintenance.start();
    autoscaler.start();
    workerReachability.start();
    taskStopper.start();
    loop.scheduleWithFixedDelay(ANNOUNCE_PERIOD_SECONDS, this::announceFailedOverEntities);
  }

  /** Returns the handler of requests from users, workers and health checks. */
  public RequestHandler api() {
    return api;
  }

  /** Returns the handler of requests from other controllers. */
  public RequestHandler peerService() {
    return peerService;
  }

  /** Starts to run schedules, and adds their paths to the API. */
  public void serveSchedules() {
    ScheduleRegistry scheduleRegistry =
        new ScheduleRegistry(
            loop, settings, store, membership, machineTypes, jobLifecycle, runtimeEstimates);
    scheduleRegistry.start();
    ScheduleApi scheduleApi =
        new ScheduleApi(
            loop,
            random,
            settings,
            store,
            membership,
            machineTypes,
            jobAdmission,
            scheduleRegistry);
    api.addOptionalService(others -> scheduleApi);
  }

  /** Adds the configuration's paths to the API. */
  public void serveConfiguration() {
    ConfigurationWriter writer = new ConfigurationWriter(settings, loop, store);
    api.addOptionalService(
        others ->
            new ConfigurationApi(loop, configuration, writer, this::configurationStates, others));
  }

  /**
   * Creates and starts the subset of the Kubernetes API.
   *
   * @param port the port at which all controllers serve it
   * @return the handler of requests at that port
   */
  public KubernetesApi startKubernetes(int port) {
    KubernetesSubsystem kubernetes =
        new KubernetesSubsystem(
            loop,
            random,
            settings,
            store,
            clusterView,
            membership,
            configuration,
            machineTypes,
            jobLifecycle,
            jobAdmission,
            http,
            port);
    kubernetes.start();
    return kubernetes.api();
  }

  /** Returns this controller's lease and entities, for tests. */
  public Membership membership() {
    return membership;
  }

  /** Returns this controller's view of the common rows, for tests. */
  public ClusterView clusterView() {
    return clusterView;
  }

  /** Returns the teams and objectives in force at this controller, for tests. */
  public Configuration configuration() {
    return configuration;
  }

  /** Returns the detection of a partition between this controller and its workers, for tests. */
  public WorkerReachability reachability() {
    return workerReachability;
  }

  /** Returns the machine types that this controller knows, for tests. */
  public MachineTypes machineTypes() {
    return machineTypes;
  }

  /** Returns the settings with which the controller was started, for tests. */
  public Settings settings() {
    return settings;
  }

  /** Returns how many machines were examined so far, a measure of the cost of placement. */
  public long machinesExamined() {
    return taskScheduler.machinesExamined();
  }

  private void configurationChanged() {
    quotaTransfer.revokeUnsentPlacements(membership.ownedEntities());
    quotaTransfer.returnExcess(membership.ownedEntities());
    schedulingLoop.requestPass();
  }

  /** Returns the configuration state of this controller, followed by those of all peers. */
  private CompletableFuture<List<ConfigurationState>> configurationStates() {
    List<CompletableFuture<ConfigurationState>> states = new ArrayList<>();
    states.add(CompletableFuture.completedFuture(configuration.findState()));
    states.addAll(peerClient.configurationStates());
    return CompletableFuture.allOf(states.toArray(CompletableFuture[]::new))
        .thenApply(ignored -> states.stream().map(CompletableFuture::join).toList());
  }

  /**
   * Announces again the entities that this controller acquired by failover. A former owner that the
   * state service refuses to answer learns of the failover only from its peers, and a message may
   * be lost. The announcement is repeated until the former owner's grace period is certainly over.
   */
  private void announceFailedOverEntities() {
    for (OwnedEntity entity : membership.ownedEntities()) {
      double ownedSeconds = loop.monotonicSeconds() - entity.acquiredAtSeconds();
      if (!entity.acquiredGracefully()
          && ownedSeconds < leaseTiming.ttlSeconds() + leaseTiming.keepAliveGraceSeconds()) {
        peerClient.announceOwnership(entity);
      }
    }
  }

  private final class MembershipListener implements Membership.Listener {
    @Override
    public void onEntityAcquired(OwnedEntity entity) {
      peerClient.announceOwnership(membership.ownedEntities());
      entityRecovery.recover(entity);
    }

    @Override
    public void onEntityLost(OwnedEntity entity) {
      peerClient.announceOwnership(membership.ownedEntities());
    }

    /** Also adds machines that were transferred to an entity owned by this controller. */
    @Override
    public void onRowsChanged() {
      configuration.onRowsChanged();
      entityMachines.addTransferred();
    }

    @Override
    public boolean isPartitionedFromWorkers() {
      return workerReachability.isPartitionedFromWorkers();
    }

    @Override
    public void requestHandback(ControllerId owner) {
      peerClient.requestHandback(owner);
    }
  }
}
