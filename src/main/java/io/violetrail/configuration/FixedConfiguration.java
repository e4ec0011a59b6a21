package io.violetrail.configuration;

import io.violetrail.config.Settings;
import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.Team;
import io.violetrail.ownership.ClusterView;
import java.util.Collection;
import java.util.List;

/**
 * The configuration of the settings file, which stays the same while the process runs. If another
 * controller has stored a configuration, the limits in force are unknown here and this controller
 * starts no tasks.
 */
public final class FixedConfiguration implements Configuration {
  private final Settings settings;
  private final ClusterView clusterView;

  public FixedConfiguration(Settings settings, ClusterView clusterView) {
    this.settings = settings;
    this.clusterView = clusterView;
  }

  @Override
  public Team findTeam(String name) {
    return settings.teams().get(name);
  }

  @Override
  public Collection<Team> teams() {
    return settings.teams().values();
  }

  @Override
  public List<Objective> objectives() {
    return settings.objectives();
  }

  @Override
  public boolean acceptsJobs(String team) {
    return settings.teams().containsKey(team);
  }

  @Override
  public boolean canChange() {
    return false;
  }

  @Override
  public boolean isFresh() {
    return clusterView.configurationEntry() == null;
  }

  @Override
  public long revision() {
    return 0;
  }

  @Override
  public long modRevision() {
    return 0;
  }
}
