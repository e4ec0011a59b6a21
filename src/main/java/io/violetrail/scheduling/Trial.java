package io.violetrail.scheduling;

import io.violetrail.fleet.Machine;
import io.violetrail.model.MachineId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the failures of a job say, by contrast: a job of which nothing has ended well anywhere, and
 * that fails on several machines that are not themselves out of use, is suspect. It was accepted
 * and the fault may yet be the machines', so it keeps being tried, but one probe at a time and
 * after ever longer pauses of the whole job.
 */
public final class Trial {
  private static final double MAX_PAUSE_S = 60;

  /** Failures this close together come of one try: tasks of a wide job start side by side. */
  private static final double ONE_TRY_S = 1;

  /** A task that runs for so many times as long as any that failed runs well. */
  private static final double RUNS_WELL = 3;

  /** Reports show starts and ends only so exactly. */
  private static final double SHORTEST_S = 10;

  private final Map<MachineId, Machine> failedOn = new HashMap<>();
  private int tries;
  private double lastS = Double.NEGATIVE_INFINITY;
  private double pausedUntilS = Double.NEGATIVE_INFINITY;
  private double slowestS;
  private boolean suspect;
  private boolean proven;

  /** A task of the job has failed there after so long. */
  void failed(Machine m, double ranS, double now) {
    failedOn.put(m.id(), m);
    slowestS = Math.max(slowestS, ranS);
    if (now - lastS > ONE_TRY_S) {
      tries++;
      lastS = now;
    }
    pausedUntilS = Math.max(pausedUntilS, now + Math.min(MAX_PAUSE_S, Math.pow(2, tries)));
  }

  /** A task of the job runs well: what failed was its machine's doing. */
  void endedWell() {
    suspect = false;
    proven = true;
    tries = 0;
    pausedUntilS = Double.NEGATIVE_INFINITY;
  }

  /** A probe has run for longer than any failure took, so others may follow. */
  boolean runsWell(double ranS) {
    return ranS > Math.max(SHORTEST_S, RUNS_WELL * slowestS);
  }

  void suspect(boolean now) {
    suspect = now;
  }

  public boolean suspect() {
    return suspect;
  }

  /** It has run well somewhere after it had failed. */
  boolean proven() {
    return proven;
  }

  public boolean failedAnywhere() {
    return !failedOn.isEmpty();
  }

  /** Whether the whole job waits before it is tried again. */
  boolean paused(double now) {
    return suspect && now < pausedUntilS;
  }

  /** When a single task that failed may be tried again. */
  double againS() {
    return pausedUntilS;
  }

  /** Machines on which it failed, as long as they are not out of use for that. */
  int machinesInUse() {
    int n = 0;
    for (Machine m : failedOn.values()) {
      n += m.sick() ? 0 : 1;
    }
    return n;
  }

  /** A machine on which it failed gets it again only once it has failed in several places. */
  boolean avoids(MachineId m) {
    return failedOn.size() < 3 && failedOn.containsKey(m);
  }

  List<Machine> machines() {
    return List.copyOf(failedOn.values());
  }
}
