package io.violetrail.configuration;

import io.violetrail.config.Settings;
import io.violetrail.config.Settings.Objective;
import io.violetrail.config.Settings.Team;
import io.violetrail.ownership.Directory;
import java.util.Collection;
import java.util.List;

/**
 * The platform's settings file, for as long as the process runs. Where another controller has
 * stored a configuration, this one cannot vouch for any limit and starts nothing.
 */
public final class FixedConfiguration implements Configuration {
  private final Settings settings;
  private final Directory directory;

  public FixedConfiguration(Settings settings, Directory directory) {
    this.settings = settings;
    this.directory = directory;
  }

  @Override
  public Team team(String name) {
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
  public boolean accepts(String team) {
    return settings.teams().containsKey(team);
  }

  @Override
  public boolean canChange() {
    return false;
  }

  @Override
  public boolean fresh() {
    return directory.configuration() == null;
  }

  @Override
  public long revision() {
    return 0;
  }

  @Override
  public long stamp() {
    return 0;
  }
}
