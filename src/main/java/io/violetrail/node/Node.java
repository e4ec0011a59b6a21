package io.violetrail.node;

import io.violetrail.api.Intake;
import io.violetrail.api.Jobs;
import io.violetrail.api.UserApi;
import io.violetrail.cloud.CloudClient;
import io.violetrail.config.Options;
import io.violetrail.config.Settings;
import io.violetrail.configuration.Configuration;
import io.violetrail.configuration.ConfigurationApi;
import io.violetrail.configuration.ConfigurationFollower;
import io.violetrail.configuration.ConfigurationWriter;
import io.violetrail.configuration.FixedConfiguration;
import io.violetrail.evidence.EvidenceLog;
import io.violetrail.evidence.GoneProof;
import io.violetrail.fleet.Fleet;
import io.violetrail.fleet.Machine;
import io.violetrail.fleet.Prices;
import io.violetrail.fleet.QuotaTransfer;
import io.violetrail.fleet.TransferRequests;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobView;
import io.violetrail.model.MachineId;
import io.violetrail.model.MachineType;
import io.violetrail.model.Version;
import io.violetrail.net.Futures;
import io.violetrail.net.Http;
import io.violetrail.net.Loop;
import io.violetrail.net.Service;
import io.violetrail.ownership.Directory;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.Rows;
import io.violetrail.ownership.Rows.MachineRow;
import io.violetrail.ownership.Timing;
import io.violetrail.peer.Peers;
import io.violetrail.scheduling.Dispatcher;
import io.violetrail.scheduling.Estimates;
import io.violetrail.scheduling.Job;
import io.violetrail.state.StateStore;
import io.violetrail.tracing.Traces;
import io.violetrail.wire.Cbor.Malformed;
import io.violetrail.wire.CloudWire;
import io.violetrail.worker.HeartbeatHandler;
import io.violetrail.worker.TaskStopper;
import io.violetrail.worker.WorkerReachability;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: its parts, and what happens when entities come and go. */
public final class Node implements Membership.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(Node.class);
  private static final Logger EVIDENCE = LoggerFactory.getLogger(EvidenceLog.class);
  private static final double TELL_S = 2;
  private static final double RETURN_EXCESS_S = 1;

  public final Settings settings;
  public final Options options;
  public final Loop loop;
  public final Random random;
  public final Timing timing;
  public final StateStore store;
  public final Directory directory;
  public final Membership membership;
  public final Configuration configuration;
  public final Jobs jobs;
  public final Intake intake;
  public final Dispatcher dispatcher;
  public final Fleet fleet;
  public final UserApi api;
  public final Peers peers;
  public final QuotaTransfer quotas;
  public final TransferRequests transfers;
  public final HeartbeatHandler heartbeats;
  public final WorkerReachability reachability;
  public final TaskStopper taskStopper;
  public final EvidenceLog evidence;
  public final Estimates estimates = new Estimates();

  /** Serves the paths of what is off unless it is switched on; null if nothing is. */
  public Service optionalService;

  /** Notes nothing unless it is switched on before the start. */
  public Traces traces = Traces.NONE;

  private final Map<String, MachineType> types = new HashMap<>();
  private Object typesFrom;

  /** Machines that the cloud has taken back while their rows still stand. */
  public final Set<MachineId> gone = new HashSet<>();

  /** Creates all parts of one controller without starting timers or sending requests. */
  public Node(Settings settings, Options options, Loop loop, Http http, Random random) {
    this.settings = settings;
    this.options = options;
    this.loop = loop;
    this.random = random;
    this.timing = Timing.of(settings, options.lapseS());
    this.store = new StateStore(loop, http, settings);
    this.directory = new Directory(settings);
    this.membership = new Membership(settings, loop, store, directory, timing, this);
    this.configuration =
        options.configuration()
            ? new ConfigurationFollower(settings, loop, store, directory, timing)
            : new FixedConfiguration(settings, directory);
    this.evidence = new EvidenceLog(loop, EVIDENCE::info);
    this.jobs = new Jobs(this);
    this.intake = new Intake(this);
    this.taskStopper = new TaskStopper(this, http);
    this.dispatcher = new Dispatcher(this);
    this.peers = new Peers(this, http);
    this.quotas = new QuotaTransfer(loop, store, directory, membership, settings, configuration);
    this.transfers = new TransferRequests(this, quotas);
    this.fleet = new Fleet(this, new CloudClient(loop, http, settings));
    this.heartbeats = new HeartbeatHandler(this, jobs);
    this.reachability = new WorkerReachability(this, http);
    this.api = new UserApi(this, jobs);
  }

  private void configurationChanged() {
    quotas.dropUnsent(membership.holdings());
    quotas.returnExcess(membership.holdings());
    dispatcher.wake();
  }

  /** Serves the configuration's paths beside what is served already. */
  public void serveConfiguration() {
    optionalService =
        new ConfigurationApi(
            loop,
            configuration,
            new ConfigurationWriter(settings, loop, store),
            peers::configurationStates,
            optionalService);
  }

  public Service peerService() {
    return peers;
  }

  /** Starts membership, configuration and the periodic work that depends on them. */
  public void start() {
    membership.start();
    configuration.start();
    configuration.onChange(this::configurationChanged);
    if (configuration.canChange()) {
      loop.every(RETURN_EXCESS_S, () -> quotas.returnExcess(membership.holdings()));
    }
    peers.start();
    dispatcher.start();
    fleet.start();
    reachability.start();
    taskStopper.start();
    loop.every(TELL_S, this::tell);
  }

  /**
   * A former owner that the state service refuses learns of a seizure from its peers alone, and one
   * message may be lost: it is told until its grace is over in any case.
   */
  private void tell() {
    for (OwnedEntity h : membership.holdings()) {
      if (!h.calm && loop.seconds() - h.gainedS < timing.ttlS() + timing.graceS()) {
        peers.announce(h);
      }
    }
  }

  /** The type as last told by the cloud or stored by a controller; null if not known. */
  public MachineType type(String name) {
    types();
    return types.get(name);
  }

  /**
   * Returns the machine types by name, as last stored; they are kept if newly stored ones cannot be
   * read.
   */
  public Map<String, MachineType> types() {
    if (directory.types() != null && directory.types() != typesFrom) {
      typesFrom = directory.types();
      try {
        List<MachineType> all = CloudWire.types(directory.types());
        types.clear();
        all.forEach(t -> types.put(t.name(), t));
      } catch (Malformed e) {
        LOG.error("the stored machine types cannot be read: {}", e.getMessage());
      }
    }
    return types;
  }

  public Prices prices() {
    return new Prices(types().values());
  }

  public void typesAre(List<MachineType> all) {
    types.clear();
    all.forEach(t -> types.put(t.name(), t));
  }

  /** The machine of a held entity; null while its type is not known. */
  public Machine machine(OwnedEntity h, MachineRow row) {
    Machine m = h.machines.get(row.id());
    if (m != null) {
      return m;
    }
    // A machine from outside the entity can hide none of its tasks: they start only on recorded
    // machines.
    return add(h, row, loop.seconds());
  }

  private Machine add(OwnedEntity h, MachineRow row, double unheardGoneS) {
    MachineType type = type(row.type());
    if (type == null) {
      return null;
    }
    Version since = h.row.version().compareTo(row.term()) >= 0 ? h.row.version() : row.term();
    Machine m = new Machine(row, type, since, loop.seconds());
    m.unheardGoneS = unheardGoneS;
    m.rentedS = loop.seconds() - Math.max(0, loop.wallMillis() - row.rentedMs()) / 1000.0;
    h.machines.put(row.id(), m);
    return m;
  }

  /** Records that a machine has reported, before anything may be launched on it. */
  public void markUp(OwnedEntity h, Machine m) {
    if (m.marking || !h.active() || !membership.valid()) {
      return;
    }
    m.marking = true;
    rewrite(h, m, m.row.nowUp());
  }

  /** The worker has seen a higher token than ours: its term is raised above that. */
  public void raiseTerm(OwnedEntity h, Machine m, Version seen) {
    if (m.marking || !h.active() || !membership.valid()) {
      return;
    }
    m.marking = true;
    Version term = seen.nextFor(h.row.version().owner());
    LOG.info("machine {} has seen {}: its term becomes {}", m.id(), seen, term);
    rewrite(h, m, m.row.raised(term));
  }

  private void rewrite(OwnedEntity h, Machine m, MachineRow next) {
    Futures.logFailure(
        h.register
            .change(m.row, next)
            .whenComplete(
                (stored, failure) -> {
                  m.marking = false;
                  if (failure == null) {
                    if (!m.row.up()) {
                      fleet.boots.up(m.type, loop.seconds() - m.rentedS, loop.seconds());
                      // Its boot is not idleness: dear machines were returned the moment they came
                      // up.
                      m.idleSinceS = loop.seconds();
                    }
                    m.row = stored;
                    dispatcher.wake();
                  } else {
                    membership.suspect();
                  }
                }),
        "rewrite a machine's record");
  }

  /** Removes a machine that the cloud has taken back for sure. */
  public void removed(OwnedEntity h, Machine m) {
    for (var p : List.copyOf(m.tasks().values())) {
      h.unplace(p, loop.seconds(), GoneProof.RETURNED);
    }
    h.machines.remove(m.id());
    gone.add(m.id());
    dispatcher.wake();
  }

  /** After an unclear write: whether a machine is still this entity's. */
  public void checkMachine(OwnedEntity h, Machine m) {
    membership.relistThen(
        () -> {
          MachineRow row = directory.machine(m.id());
          if (row == null || !row.entity().equals(h.entity())) {
            h.machines.remove(m.id(), m);
          } else {
            m.row = row;
            m.promised = false;
          }
        });
  }

  @Override
  public void gained(OwnedEntity h) {
    peers.announce();
    load(h);
  }

  private void load(OwnedEntity h) {
    if (h.phase != OwnedEntity.Phase.LOADING) {
      return;
    }
    var open = store.list(Rows.sheets(h.entity())).thenCompose(l -> jobs.open(h, l.entries()));
    var hires = store.list(Rows.hires(h.entity()));
    var progress = store.list(Rows.progress(h.entity()));
    // Rows of machines as of after the move: from here on only this owner changes them.
    var common = store.list(Rows.COMMON);
    Futures.logFailure(
        open.thenCombine(hires, (o, i) -> o)
            .thenCombine(progress, (o, p) -> o)
            .thenCombine(common, (o, c) -> c)
            .whenComplete(
                (listing, failure) -> {
                  if (failure != null) {
                    loop.after(0.5, () -> load(h));
                    return;
                  }
                  directory.replace(listing.entries(), listing.revision());
                  if (h.phase != OwnedEntity.Phase.LOADING) {
                    return;
                  }
                  if (!activate(h)) {
                    loop.after(0.3, () -> load(h));
                    return;
                  }
                  jobs.load(h, open.join(), progress.join().entries());
                  fleet.resume(h, hires.join().entries());
                  LOG.info(
                      "entity {} version {} active: {} jobs, {} machines",
                      h.entity(),
                      h.row.version(),
                      h.jobs.size(),
                      h.machines.size());
                  dispatcher.wake();
                }),
        "load an entity's state");
  }

  private boolean activate(OwnedEntity h) {
    double now = loop.seconds();
    double gone =
        Math.max(
            h.gainedS + (h.calm ? timing.goneAfterAnswerS() : timing.goneAfterSeizureS()),
            now + timing.goneAfterAnswerS());
    // Handed on soon after a seizure: the owner that it was seized from may still be in its grace.
    gone = Math.max(gone, now + timing.goneAfterLastSeizureS(h.row.past(), loop.wallMillis()));
    for (MachineRow row : directory.machinesOf(h.entity())) {
      if (add(h, row, gone) == null) {
        h.machines.clear();
        LOG.info("entity {} waits for the machine types", h.entity());
        return false;
      }
    }
    h.phase = OwnedEntity.Phase.ACTIVE;
    return true;
  }

  @Override
  public void lost(OwnedEntity h) {
    peers.announce();
  }

  /** The common rows have changed: machines may have been passed over to an entity held here. */
  @Override
  public void changed() {
    configuration.rowsChanged();
    for (OwnedEntity h : membership.holdings()) {
      if (!h.active()) {
        continue;
      }
      for (MachineRow row : directory.machinesOf(h.entity())) {
        if (!h.machines.containsKey(row.id()) && !gone.contains(row.id())) {
          Machine m = add(h, row, loop.seconds());
          if (m != null) {
            // A machine is passed over empty, so it hides nothing.
            m.heard = true;
            LOG.info("machine {} joins entity {} with term {}", row.id(), h.entity(), m.since);
            dispatcher.wake();
          }
        }
      }
    }
  }

  @Override
  public boolean deaf() {
    return reachability.deaf();
  }

  @Override
  public void askBack(ControllerId owner) {
    peers.askBack(owner);
  }

  /**
   * Whether requests of users can be taken: the own entity is here, and its lease at most lapsing.
   */
  public boolean ready() {
    OwnedEntity own = membership.own();
    return own != null && own.active() && membership.mayKeepAlive() && !types().isEmpty();
  }

  /**
   * The state of a job as it is known here for sure; null if it is not.
   *
   * <p>An end that is stored never changes. An open job's state is known to its valid owner alone,
   * and only while no write of its end is undecided: that may have been carried out with its answer
   * lost, and others may have read it. The owner then said "running" after another controller had
   * told the same user "cancelled"; now whoever asks gets what the rows say.
   */
  public JobView knownView(JobId id) {
    JobView over = jobs.terminalView(id);
    if (over != null || !membership.valid()) {
      return over;
    }
    OwnedEntity h = holdingOf(id);
    Job job = h == null ? null : h.jobs.get(id);
    return job == null || job.endUndecided() ? null : job.view();
  }

  /** The held entity that has the job open; null if there is none. */
  public OwnedEntity holdingOf(JobId id) {
    for (OwnedEntity h : membership.holdings()) {
      if (h.active() && h.jobs.containsKey(id)) {
        return h;
      }
    }
    return null;
  }
}
