package io.violetrail.configuration;

import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.Team;
import java.util.Collection;
import java.util.List;

/**
 * The teams and objectives that apply to scheduling decisions.
 *
 * <p>Called on the event loop's thread only. A returned value is a snapshot: it does not change
 * when a later revision comes into force.
 */
public interface Configuration {
  /** Returns a team with its guarantee and limit; null if there is no such team. */
  Team findTeam(String name);

  Collection<Team> teams();

  List<Objective> objectives();

  /**
   * Returns whether new jobs of the team are accepted. A closed team only finishes its open jobs.
   */
  boolean acceptsJobs(String team);

  /** Returns whether teams and objectives may change while this controller runs. */
  boolean canChange();

  /**
   * Returns whether tasks may be started under the revision known here. False if the controller has
   * no recent confirmation that this revision is in force.
   */
  boolean isFresh();

  /** Returns the number of the revision in force here; 0 for the settings file. */
  long revision();

  /**
   * Returns the state service's revision of the row that put this revision in force; 0 for the
   * settings file.
   */
  long modRevision();

  /** Returns this controller's state for operators; null if its configuration cannot change. */
  default ConfigurationState findState() {
    return null;
  }

  /** Called after the common rows, which every controller watches, have changed. */
  default void onRowsChanged() {}

  /** Registers a listener that runs whenever another revision comes into force here. */
  default void addChangeListener(Runnable listener) {}

  /** Starts to follow changes of the stored configuration, if it can change. */
  default void start() {}
}
