package io.violetrail.configuration;

import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.Team;
import java.util.Collection;
import java.util.List;

/**
 * The teams and objectives that decisions go by.
 *
 * <p>Called under the controller's lock only. What is returned is a snapshot and may be replaced by
 * the next call.
 */
public interface Configuration {
  /** A team with its guarantee and limit; null if there is no such team. */
  Team findTeam(String name);

  Collection<Team> teams();

  List<Objective> objectives();

  /** Whether new jobs of the team are taken in. A closed team only finishes what it has. */
  boolean acceptsJobs(String team);

  /** Whether limits may change while this controller runs. */
  boolean canChange();

  /**
   * Whether tasks may be started by what is known here: false once the controller cannot show that
   * this was in force a moment ago.
   */
  boolean isFresh();

  /** Counts changes; 0 is the platform's settings file. */
  long revision();

  /** The stamp of the row that put this revision in force; 0 for the settings file. */
  long modRevision();

  /** What else this controller can say of it to operators; null if there is nothing to say. */
  default ConfigurationState findState() {
    return null;
  }

  /** The common rows have changed. */
  default void onRowsChanged() {}

  /** Runs the step whenever another revision comes into force here. */
  default void addChangeListener(Runnable listener) {}

  /** Starts what is needed to follow changes. */
  default void start() {}
}
