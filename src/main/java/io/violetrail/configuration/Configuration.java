package io.violetrail.configuration;

import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.Team;
import java.util.Collection;
import java.util.List;

/**
 * The teams and objectives that decisions go by.
 *
 * <p>Called on the event loop's thread only. What is returned is a snapshot, which a later revision
 * replaces.
 */
public interface Configuration {
  /** A team with its guarantee and limit; null if there is no such team. */
  Team findTeam(String name);

  Collection<Team> teams();

  List<Objective> objectives();

  /** Whether new jobs of the team are accepted. A closed team only finishes what it has. */
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

  /**
   * The state service's revision of the row that put this revision in force; 0 for the settings
   * file.
   */
  long modRevision();

  /** This controller's state for operators; null if its configuration cannot change. */
  default ConfigurationState findState() {
    return null;
  }

  /** To be called when the common rows have changed. */
  default void onRowsChanged() {}

  /** Runs the step whenever another revision comes into force here. */
  default void addChangeListener(Runnable listener) {}

  /** Starts what is needed to follow changes. */
  default void start() {}
}
