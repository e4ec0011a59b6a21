package io.violetrail.tools.scale;

/**
 * The size of a deployment and of the load on it.
 *
 * @param controllers number of controllers
 * @param workers machines, spread evenly over {@link #ZONES} zones in {@link #REGIONS} regions
 * @param runningTasks tasks that run at the same time once the load is steady
 * @param startsPerS task starts per second
 * @param jobsPerS submissions per second
 * @param teams number of teams, each with a guarantee and a limit
 * @param gangWidth number of tasks of the widest gang
 * @param regionDelayS one-way delay between two regions in seconds
 */
public record LoadShape(
    int controllers,
    int workers,
    int runningTasks,
    double startsPerS,
    double jobsPerS,
    int teams,
    int gangWidth,
    double regionDelayS) {
  public static final int REGIONS = 3;
  public static final int ZONES = 9;

  /**
   * The design target. 19,000 jobs a day with 200 tasks each give 920 starts per second when they
   * arrive at 21 times their average rate.
   */
  public static final LoadShape TARGET = new LoadShape(7, 1_700, 33_000, 920, 4.6, 270, 128, 0.015);

  /** Returns the mean task duration at which the given number of tasks runs in a steady state. */
  public double taskDurationSeconds() {
    return runningTasks / startsPerS;
  }

  public double tasksPerJob() {
    return startsPerS / jobsPerS;
  }

  /** Returns the name of a zone, which starts with the name of its region. */
  public static String zoneName(int number) {
    int zonesPerRegion = ZONES / REGIONS;
    return "r" + number / zonesPerRegion + "z" + number % zonesPerRegion;
  }

  public static String regionOf(String zone) {
    return zone.substring(0, zone.indexOf('z'));
  }

  public LoadShape withControllers(int value) {
    return new LoadShape(
        value, workers, runningTasks, startsPerS, jobsPerS, teams, gangWidth, regionDelayS);
  }

  public LoadShape withWorkers(int value) {
    return new LoadShape(
        controllers, value, runningTasks, startsPerS, jobsPerS, teams, gangWidth, regionDelayS);
  }

  public LoadShape withRunningTasks(int value) {
    return new LoadShape(
        controllers, workers, value, startsPerS, jobsPerS, teams, gangWidth, regionDelayS);
  }

  public LoadShape withStartsPerS(double value) {
    return new LoadShape(
        controllers, workers, runningTasks, value, jobsPerS, teams, gangWidth, regionDelayS);
  }

  public LoadShape withJobsPerS(double value) {
    return new LoadShape(
        controllers, workers, runningTasks, startsPerS, value, teams, gangWidth, regionDelayS);
  }

  public LoadShape withTeams(int value) {
    return new LoadShape(
        controllers, workers, runningTasks, startsPerS, jobsPerS, value, gangWidth, regionDelayS);
  }

  public LoadShape withGangWidth(int value) {
    return new LoadShape(
        controllers, workers, runningTasks, startsPerS, jobsPerS, teams, value, regionDelayS);
  }

  public LoadShape withRegionDelayS(double seconds) {
    return new LoadShape(
        controllers, workers, runningTasks, startsPerS, jobsPerS, teams, gangWidth, seconds);
  }
}
