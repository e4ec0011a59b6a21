package io.violetrail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import io.violetrail.config.Settings;
import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.Team;
import io.violetrail.configuration.ConfigurationParts.Assembled;
import io.violetrail.errors.RequestFailedException;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.LeaseTiming;
import io.violetrail.state.StateStore;
import io.violetrail.wire.StateStoreMessages.Entry;
import io.violetrail.wire.StateStoreMessages.RowChange;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the configuration in the state service with bounded staleness.
 *
 * <p>Guarantee: once a revision has been stored for {@link #MAX_STALENESS_SECONDS}, no controller
 * starts a task under an older one. The head row is read at least as often as the lease is renewed.
 * A read that returns the revision in force here confirms it as of the time at which the read was
 * <em>sent</em>, because a newer revision cannot have been stored before that. Tasks are launched
 * only while the last confirmation is younger than {@link #MAX_CONFIRMATION_AGE_SECONDS}, and
 * workers drop a heartbeat answer that is older than {@link #MAX_ANSWER_AGE_SECONDS}. The guarantee
 * depends only on this controller's monotonic clock. It therefore holds for a controller that is
 * slow, partitioned, paused or just started, and for one that has just acquired an entity.
 *
 * <p>The watch of the common rows only shortens the delay; the guarantee does not depend on it.
 *
 * <p>Called on the event loop's thread. No state survives a crash: a new process starts without a
 * confirmation.
 */
public final class ConfigurationFollower implements Configuration {
  private static final Logger LOG = LoggerFactory.getLogger(ConfigurationFollower.class);

  /**
   * The time after which a stored revision is in force at every controller that still starts tasks.
   */
  public static final double MAX_STALENESS_SECONDS = 8;

  /** The age above which a worker drops a heartbeat answer (PROTOCOL, "Workers"). */
  static final double MAX_ANSWER_AGE_SECONDS = 4;

  private static final double MAX_CLOCK_DRIFT = 0.002;

  /** The age from which a confirmation no longer permits the start of tasks. */
  static final double MAX_CONFIRMATION_AGE_SECONDS =
      (MAX_STALENESS_SECONDS - MAX_ANSWER_AGE_SECONDS) * (1 - MAX_CLOCK_DRIFT);

  /** The longest interval between reads of the head row, for any lease duration. */
  private static final double MAX_POLL_SECONDS = 1.5;

  private final Settings settings;
  private final EventLoop loop;
  private final StateStore store;
  private final ClusterView clusterView;
  private final double pollSeconds;
  private final List<Runnable> listeners = new ArrayList<>();
  private ClusterConfiguration content;
  private ConfigurationHead head = ConfigurationHead.NONE;

  /**
   * The parts of the content in force. They are not read again for the next revision, which usually
   * shares most of them.
   */
  private Map<String, JsonNode> partsByDigest = Map.of();

  private double confirmedAtSeconds = Double.NEGATIVE_INFINITY;
  private long inForceSinceMillis;
  private boolean readInFlight;
  private boolean readAgain;
  private boolean wasFresh;

  /**
   * Creates a follower that holds the configuration of the settings file until {@link #start} reads
   * the stored one.
   */
  public ConfigurationFollower(
      Settings settings,
      EventLoop loop,
      StateStore store,
      ClusterView clusterView,
      LeaseTiming leaseTiming) {
    this.settings = settings;
    this.loop = loop;
    this.store = store;
    this.clusterView = clusterView;
    this.pollSeconds = Math.min(MAX_POLL_SECONDS, leaseTiming.renewIntervalSeconds());
    this.content = ClusterConfiguration.fromSettings(settings);
    this.inForceSinceMillis = loop.wallMillis();
  }

  @Override
  public void start() {
    readHead();
    loop.scheduleWithFixedDelay(pollSeconds, this::readHead);
  }

  @Override
  public Team findTeam(String name) {
    return content.teams().get(name);
  }

  @Override
  public Collection<Team> teams() {
    return content.teams().values();
  }

  @Override
  public List<Objective> objectives() {
    return content.objectives();
  }

  @Override
  public boolean acceptsJobs(String team) {
    return content.teams().containsKey(team) && !content.closedTeams().contains(team);
  }

  @Override
  public boolean canChange() {
    return true;
  }

  /**
   * {@inheritDoc}
   *
   * <p>Also returns false while the quota shares known here may be older than the revision in
   * force, because an entity may have claimed a larger share under the previous revision.
   */
  @Override
  public boolean isFresh() {
    return loop.monotonicSeconds() - confirmedAtSeconds < MAX_CONFIRMATION_AGE_SECONDS
        && clusterView.revision() >= head.modRevision();
  }

  @Override
  public long revision() {
    return head.currentNumber();
  }

  @Override
  public long modRevision() {
    return head.modRevision();
  }

  @Override
  public ConfigurationState findState() {
    double confirmedSecondsAgo = loop.monotonicSeconds() - confirmedAtSeconds;
    return new ConfigurationState(
        settings.self().value(),
        revision(),
        Double.isInfinite(confirmedSecondsAgo) ? -1 : Math.round(1000 * confirmedSecondsAgo),
        inForceSinceMillis,
        isFresh());
  }

  @Override
  public void onRowsChanged() {
    Entry row = clusterView.configurationEntry();
    if (row != null && row.modRevision() > head.modRevision()) {
      readHead();
    }
  }

  @Override
  public void addChangeListener(Runnable listener) {
    listeners.add(listener);
  }

  private void readHead() {
    logFreshnessChange();
    if (readInFlight) {
      readAgain = true;
      return;
    }
    readInFlight = true;
    double sentAtSeconds = loop.monotonicSeconds();
    Futures.logFailure(
        store
            .getUrgent(ConfigurationHead.KEY)
            .thenCompose(
                row -> {
                  ConfigurationHead storedHead = ConfigurationHead.fromRow(row);
                  if (row.value() != null) {
                    clusterView.apply(new RowChange(row.key(), row.value(), row.modRevision()));
                  }
                  if (storedHead.modRevision() <= head.modRevision()) {
                    return CompletableFuture.completedFuture(
                        new ReadResult(storedHead, new Assembled(content, partsByDigest)));
                  }
                  return ConfigurationParts.readContent(
                          store, storedHead.findLatest(), partsByDigest)
                      .thenApply(assembled -> new ReadResult(storedHead, assembled));
                })
            .whenComplete(
                (result, failure) -> {
                  readInFlight = false;
                  if (failure == null) {
                    applyRead(result, sentAtSeconds);
                  } else {
                    LOG.debug(
                        "configuration not confirmed because reading it failed: {}",
                        RequestFailedException.from(failure).getMessage());
                  }
                  if (readAgain) {
                    readAgain = false;
                    readHead();
                  }
                }),
        "read the configuration");
  }

  private record ReadResult(ConfigurationHead head, Assembled assembled) {}

  private void applyRead(ReadResult result, double sentAtSeconds) {
    if (result.head().modRevision() > head.modRevision()) {
      head = result.head();
      content = result.assembled().content();
      partsByDigest = result.assembled().partsByDigest();
      inForceSinceMillis = loop.wallMillis();
      LOG.info(
          "configuration revision {} by {} ({}) is now in force",
          head.currentNumber(),
          head.findLatest().author(),
          head.findLatest().reason());
      confirmedAtSeconds = sentAtSeconds;
      List.copyOf(listeners).forEach(Runnable::run);
    } else if (result.head().modRevision() == head.modRevision()) {
      confirmedAtSeconds = Math.max(confirmedAtSeconds, sentAtSeconds);
    }
    logFreshnessChange();
  }

  private void logFreshnessChange() {
    if (isFresh() != wasFresh) {
      wasFresh = isFresh();
      LOG.info(
          wasFresh
              ? "configuration revision {} is confirmed: tasks may start"
              : "configuration revision {} is no longer confirmed: no tasks are started",
          revision());
    }
  }
}
