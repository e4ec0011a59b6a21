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
 * Follows the stored configuration.
 *
 * <p>Bounded staleness: a task starts nowhere later than {@link #MAX_STALENESS_SECONDS} after
 * another revision was stored, unless by that revision. The head row is read with each renewal of
 * the lease. A reading that shows the revision in force here confirms it as of its
 * <em>sending</em>: a later one cannot have been stored before. Tasks are launched only while the
 * last confirmation is younger than {@link #MAX_CONFIRMATION_AGE_SECONDS}, and workers drop an
 * answer that is older than {@link #MAX_ANSWER_AGE_SECONDS}. The argument rests on this
 * controller's steady clock alone, so it holds for a controller that is slow, partitioned, paused
 * or just started, and for one that has just acquired an entity.
 *
 * <p>The watch of the common rows only shortens the delay. Called on the event loop's thread;
 * nothing here survives a crash, and a new process begins unconfirmed.
 */
public final class ConfigurationFollower implements Configuration {
  private static final Logger LOG = LoggerFactory.getLogger(ConfigurationFollower.class);

  /** The time within which a stored revision is in force everywhere, or nothing is started. */
  public static final double MAX_STALENESS_SECONDS = 8;

  /** A worker drops an answer that is older than this (PROTOCOL, "Workers"). */
  static final double MAX_ANSWER_AGE_SECONDS = 4;

  private static final double MAX_CLOCK_DRIFT = 0.002;

  /** With a confirmation older than this nothing is started. */
  static final double MAX_CONFIRMATION_AGE_SECONDS =
      (MAX_STALENESS_SECONDS - MAX_ANSWER_AGE_SECONDS) * (1 - MAX_CLOCK_DRIFT);

  /** The longest interval between reads of the head row, however long the lease is. */
  private static final double MAX_POLL_SECONDS = 1.5;

  private final Settings settings;
  private final EventLoop loop;
  private final StateStore store;
  private final ClusterView clusterView;
  private final double pollSeconds;
  private final List<Runnable> listeners = new ArrayList<>();
  private ClusterConfiguration content;
  private ConfigurationHead head = ConfigurationHead.NONE;

  /** The parts of the content in force, which the next one mostly shares. */
  private Map<String, JsonNode> parts = Map.of();

  private double confirmedAtSeconds = Double.NEGATIVE_INFINITY;
  private long inForceSinceMillis;
  private boolean readInFlight;
  private boolean readAgain;
  private boolean wasFresh;

  /**
   * Creates a follower that starts from the settings' own configuration; nothing is read before
   * {@code start()}.
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
   * Also false while the quota shares known here may be older than the revision: an entity may have
   * claimed more of a limit under the revision before.
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
                  ConfigurationHead found = ConfigurationHead.fromRow(row);
                  if (row.value() != null) {
                    clusterView.apply(new RowChange(row.key(), row.value(), row.modRevision()));
                  }
                  if (found.modRevision() <= head.modRevision()) {
                    return CompletableFuture.completedFuture(
                        new ReadResult(found, new Assembled(content, parts)));
                  }
                  return ConfigurationParts.readContent(store, found.findLatest(), parts)
                      .thenApply(read -> new ReadResult(found, read));
                })
            .whenComplete(
                (read, failure) -> {
                  readInFlight = false;
                  if (failure == null) {
                    applyRead(read, sentAtSeconds);
                  } else {
                    LOG.debug(
                        "configuration not confirmed: {}",
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

  private void applyRead(ReadResult read, double sentAtSeconds) {
    if (read.head().modRevision() > head.modRevision()) {
      head = read.head();
      content = read.assembled().content();
      parts = read.assembled().partsByDigest();
      inForceSinceMillis = loop.wallMillis();
      LOG.info(
          "configuration revision {} of {} ({}) is in force",
          head.currentNumber(),
          head.findLatest().author(),
          head.findLatest().reason());
      confirmedAtSeconds = sentAtSeconds;
      List.copyOf(listeners).forEach(Runnable::run);
    } else if (read.head().modRevision() == head.modRevision()) {
      confirmedAtSeconds = Math.max(confirmedAtSeconds, sentAtSeconds);
    }
    logFreshnessChange();
  }

  private void logFreshnessChange() {
    if (isFresh() != wasFresh) {
      wasFresh = isFresh();
      LOG.info(
          wasFresh
              ? "configuration revision {} is confirmed"
              : "configuration revision {} is not confirmed any more: nothing is started",
          revision());
    }
  }
}
