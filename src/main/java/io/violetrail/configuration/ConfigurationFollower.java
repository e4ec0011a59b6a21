package io.violetrail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import io.violetrail.config.Settings;
import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.Team;
import io.violetrail.configuration.ConfigurationParts.Assembled;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.ownership.Directory;
import io.violetrail.ownership.Timing;
import io.violetrail.state.StateStore;
import io.violetrail.state.StateStore.Unavailable;
import io.violetrail.wire.StateWire.Change;
import io.violetrail.wire.StateWire.Entry;
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
 * <p>Bounded staleness: a task starts nowhere later than {@link #IN_FORCE_S} after another revision
 * was stored, unless by that revision. The head row is read with each renewal of the lease. A
 * reading that shows the revision in force here confirms it as of its <em>sending</em>: a later one
 * cannot have been stored before. Tasks are launched only while the last confirmation is younger
 * than {@link #STALE_S}, and workers drop an answer that is older than {@link #ANSWER_S}. The
 * argument rests on this controller's steady clock alone, so it holds for one that is slow, cut
 * off, frozen, just started, or that has just taken an entity over.
 *
 * <p>The watch of the common rows only makes learning faster. Owned by the controller's lock;
 * nothing here survives a crash, and a new process begins unconfirmed.
 */
public final class ConfigurationFollower implements Configuration {
  private static final Logger LOG = LoggerFactory.getLogger(ConfigurationFollower.class);

  /** Within which a stored revision is in force everywhere, or nothing is started. */
  public static final double IN_FORCE_S = 8;

  /** A worker drops an answer that is older than this (PROTOCOL, "Workers"). */
  static final double ANSWER_S = 4;

  private static final double DRIFT = 0.002;

  /** A confirmation older than this does not vouch for what is started. */
  static final double STALE_S = (IN_FORCE_S - ANSWER_S) * (1 - DRIFT);

  /** Readings are no rarer than this, however long the lease is. */
  private static final double LONGEST_PERIOD_S = 1.5;

  private final Settings settings;
  private final Loop loop;
  private final StateStore store;
  private final Directory directory;
  private final double periodS;
  private final List<Runnable> listeners = new ArrayList<>();
  private ClusterConfiguration content;
  private ConfigurationHead head = ConfigurationHead.NONE;

  /** The parts of the content in force, which the next one mostly shares. */
  private Map<String, JsonNode> parts = Map.of();

  private double confirmedS = Double.NEGATIVE_INFINITY;
  private long inForceSinceMs;
  private boolean reading;
  private boolean again;
  private boolean wasFresh;

  /**
   * Creates a follower that starts from the settings' own configuration; nothing is read before
   * {@code start()}.
   */
  public ConfigurationFollower(
      Settings settings, Loop loop, StateStore store, Directory directory, Timing timing) {
    this.settings = settings;
    this.loop = loop;
    this.store = store;
    this.directory = directory;
    this.periodS = Math.min(LONGEST_PERIOD_S, timing.renewS());
    this.content = ClusterConfiguration.of(settings);
    this.inForceSinceMs = loop.wallMillis();
  }

  @Override
  public void start() {
    confirm();
    loop.every(periodS, this::confirm);
  }

  @Override
  public Team team(String name) {
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
  public boolean accepts(String team) {
    return content.teams().containsKey(team) && !content.closed().contains(team);
  }

  @Override
  public boolean canChange() {
    return true;
  }

  /**
   * Also false while the slices known here may be older than the revision: an entity may have
   * claimed more of a limit under the one before.
   */
  @Override
  public boolean fresh() {
    return loop.seconds() - confirmedS < STALE_S && directory.revision() >= head.stamp();
  }

  @Override
  public long revision() {
    return head.number();
  }

  @Override
  public long stamp() {
    return head.stamp();
  }

  @Override
  public ConfigurationState state() {
    double ago = loop.seconds() - confirmedS;
    return new ConfigurationState(
        settings.self().value(),
        revision(),
        Double.isInfinite(ago) ? -1 : Math.round(1000 * ago),
        inForceSinceMs,
        fresh());
  }

  @Override
  public void rowsChanged() {
    Entry row = directory.configuration();
    if (row != null && row.stamp() > head.stamp()) {
      confirm();
    }
  }

  @Override
  public void onChange(Runnable step) {
    listeners.add(step);
  }

  private void confirm() {
    tellFreshness();
    if (reading) {
      again = true;
      return;
    }
    reading = true;
    double sentS = loop.seconds();
    Futures.logFailure(
        store
            .getNow(ConfigurationHead.KEY)
            .thenCompose(
                row -> {
                  ConfigurationHead found = ConfigurationHead.of(row);
                  if (row.value() != null) {
                    directory.apply(new Change(row.key(), row.value(), row.stamp()));
                  }
                  if (found.stamp() <= head.stamp()) {
                    return CompletableFuture.completedFuture(
                        new Read(found, new Assembled(content, parts)));
                  }
                  return ConfigurationParts.read(store, found.newest(), parts)
                      .thenApply(read -> new Read(found, read));
                })
            .whenComplete(
                (read, failure) -> {
                  reading = false;
                  if (failure == null) {
                    confirmed(read, sentS);
                  } else {
                    LOG.debug(
                        "configuration not confirmed: {}", Unavailable.of(failure).getMessage());
                  }
                  if (again) {
                    again = false;
                    confirm();
                  }
                }),
        "read the configuration");
  }

  private record Read(ConfigurationHead head, Assembled assembled) {}

  private void confirmed(Read read, double sentS) {
    if (read.head().stamp() > head.stamp()) {
      head = read.head();
      content = read.assembled().content();
      parts = read.assembled().parts();
      inForceSinceMs = loop.wallMillis();
      LOG.info(
          "configuration revision {} of {} ({}) is in force",
          head.number(),
          head.newest().who(),
          head.newest().why());
      confirmedS = sentS;
      List.copyOf(listeners).forEach(Runnable::run);
    } else if (read.head().stamp() == head.stamp()) {
      confirmedS = Math.max(confirmedS, sentS);
    }
    tellFreshness();
  }

  private void tellFreshness() {
    if (fresh() != wasFresh) {
      wasFresh = fresh();
      LOG.info(
          wasFresh
              ? "configuration revision {} is confirmed"
              : "configuration revision {} is not confirmed any more: nothing is started",
          revision());
    }
  }
}
