package io.violetrail.fleet;

import io.violetrail.config.Settings.HostPort;
import io.violetrail.model.Amounts;
import io.violetrail.model.MachineId;
import io.violetrail.model.MachineType;
import io.violetrail.model.TaskId;
import io.violetrail.model.Version;
import io.violetrail.ownership.Rows.MachineRow;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.Placement;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** A machine of an entity that this controller owns. */
public final class Machine {
  public MachineRow row;
  public final MachineType type;

  /**
   * The version under which this controller's hold on the machine began; older reports prove no
   * absence.
   */
  public final Version since;

  private final Map<TaskId, Placement> tasks = new LinkedHashMap<>();
  public final Set<String> images = new HashSet<>();

  /**
   * Tasks of jobs that are over, or that nobody knows, seen here: they count until they are gone.
   */
  private final Map<TaskId, Amounts> strays = new HashMap<>();

  /** What is free, worked out anew only after a change: placement asks far more often. */
  private Amounts room;

  public long session;
  public long sequence;

  /** Reports of earlier sessions are leftovers: those sessions' leases are surely over. */
  public long firstSession;

  /** It reported under our term, so what it holds is known. */
  public boolean heard;

  /** Until then, an unheard machine may hold any task. */
  public double unheardGoneS;

  public double heardS;
  public double answeredS;
  public double rentedS;
  public double idleSinceS;
  public Double noticeS;
  public boolean draining;
  public boolean returning;

  /**
   * The cloud was asked to take it back and may still do so. Where it only said no, as in an outage
   * of its own, the machine may be used again: idle machines were out of use for all of an outage.
   */
  public boolean returnUncertain;

  public boolean silent;

  /** Promised to another entity until then; nothing starts here meanwhile. */
  public boolean promised;

  /** A more urgent job for which room is being made here; others keep out until then. */
  public Job reservedFor;

  public double reservedUntilS;

  /** No spare work is started here until then: others need the machine. */
  public double clearedUntilS;

  /** Nothing is started here until then: it is emptied for another entity. */
  public double evictedUntilS = Double.NEGATIVE_INFINITY;

  /** When it came to this entity's present owner. */
  public final double joinedS;

  /** Where its worker answers; null until it has reported here. */
  public HostPort endpoint;

  /** Tasks here that are not spare work. */
  private int wanted;

  public boolean marking;

  /** Failures here of each job since something ended well here. */
  public final Map<Job, Integer> failures = new HashMap<>();

  /** It fails what it starts, by what its failures say now. */
  public boolean sick;

  /**
   * Creates the machine of a stored record.
   *
   * @param since version of the owning entity under which it was taken over
   * @param now steady clock reading, in seconds
   */
  public Machine(MachineRow row, MachineType type, Version since, double now) {
    this.row = row;
    this.type = type;
    this.since = since;
    this.rentedS = now;
    this.joinedS = now;
    this.idleSinceS = now;
    this.heardS = now;
    this.answeredS = now;
    this.heard = !row.up();
  }

  public MachineId id() {
    return row.id();
  }

  /** Tasks placed here, by name; not to be changed. */
  public Map<TaskId, Placement> tasks() {
    return Collections.unmodifiableMap(tasks);
  }

  public Placement task(TaskId id) {
    return tasks.get(id);
  }

  /**
   * Adds a task and invalidates the cached free resources; a placement of the same task is
   * replaced.
   */
  public void add(Placement p) {
    Placement before = tasks.put(p.task(), p);
    wanted += (p.job.spareWork ? 0 : 1) - (before == null || before.job.spareWork ? 0 : 1);
    room = null;
  }

  /** Removes a task if exactly this placement is recorded, and returns whether it was. */
  public boolean remove(Placement p) {
    room = null;
    boolean removed = tasks.remove(p.task(), p);
    wanted -= removed && !p.job.spareWork ? 1 : 0;
    return removed;
  }

  public Map<TaskId, Amounts> strays() {
    return Collections.unmodifiableMap(strays);
  }

  /**
   * Replaces the tasks that the worker reports but the controller does not know, with what they
   * use.
   */
  public void strays(Map<TaskId, Amounts> now) {
    if (!now.isEmpty() || !strays.isEmpty()) {
      strays.clear();
      strays.putAll(now);
      room = null;
    }
  }

  /** Returns the free resources, which are computed again only after the tasks have changed. */
  public Amounts room() {
    if (room == null) {
      room = free();
    }
    return room;
  }

  private Amounts free() {
    double cpus = type.size().cpus();
    double gpus = type.size().gpus();
    double memory = type.size().memoryGb();
    for (Placement p : tasks.values()) {
      Amounts a = p.job.spec.task();
      cpus -= a.cpus();
      gpus -= a.gpus();
      memory -= a.memoryGb();
    }
    for (Amounts a : strays.values()) {
      cpus -= a.cpus();
      gpus -= a.gpus();
      memory -= a.memoryGb();
    }
    return new Amounts(cpus, gpus, memory);
  }

  /** What would be free without the spare work here. */
  public Amounts withoutSpare() {
    Amounts all = room();
    if (tasks.size() > wanted) {
      for (Placement p : tasks.values()) {
        all = p.job.spareWork ? all.plus(p.job.spec.task()) : all;
      }
    }
    return all;
  }

  /** Whether new tasks may be decided for this machine. */
  public boolean open() {
    return row.up() && heard && !draining && !returning && !silent && !promised && noticeS == null;
  }

  /** Seconds of full use so far, by the scarcer of processors and accelerators. */
  public double usedS;

  /** The share in use now. */
  public double share() {
    Amounts used = type.size().minus(room());
    double gpus = type.size().gpus() > 0 ? used.gpus() / type.size().gpus() : 0;
    return Math.max(used.cpus() / type.size().cpus(), gpus);
  }

  public boolean empty() {
    return tasks.isEmpty() && strays.isEmpty();
  }

  /** Whether nothing but spare work is here, if anything. */
  public boolean spare() {
    return wanted == 0 && strays.isEmpty();
  }

  /** Whether it may still hold a task that this controller does not know of. */
  public boolean uncertain(double now) {
    return !heard && now < unheardGoneS;
  }
}
