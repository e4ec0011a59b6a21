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
  private MachineRow row;
  private final MachineType type;

  /**
   * The version under which this controller's hold on the machine began; older reports prove no
   * absence.
   */
  private final Version since;

  private final Map<TaskId, Placement> tasks = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();

  /**
   * Tasks of jobs that are over, or that nobody knows, seen here: they count until they are gone.
   */
  private final Map<TaskId, Amounts> strays = new HashMap<>();

  /** What is free, worked out anew only after a change: placement asks far more often. */
  private Amounts room;

  private long session;
  private long sequence;

  /** Reports of earlier sessions are leftovers: those sessions' leases are surely over. */
  private long firstSession;

  /** It reported under our term, so what it holds is known. */
  private boolean heard;

  /** Until then, an unheard machine may hold any task. */
  private double unheardGoneS;

  private double heardS;
  private double answeredS;
  private final double rentedS;
  private double idleSinceS;
  private Double noticeS;
  private boolean draining;
  private boolean returning;

  /**
   * The cloud was asked to take it back and may still do so. Where it only said no, as in an outage
   * of its own, the machine may be used again: idle machines were out of use for all of an outage.
   */
  private boolean returnUncertain;

  private boolean silent;

  /** Promised to another entity until then; nothing starts here meanwhile. */
  private boolean promised;

  /** A more urgent job for which room is being made here; others keep out until then. */
  private Job reservedFor;

  private double reservedUntilS;

  /** No spare work is started here until then: others need the machine. */
  private double clearedUntilS;

  /** Nothing is started here until then: it is emptied for another entity. */
  private double evictedUntilS = Double.NEGATIVE_INFINITY;

  /** When it came to this entity's present owner. */
  private final double joinedS;

  /** Where its worker answers; null until it has reported here. */
  private HostPort endpoint;

  /** Tasks here that are not spare work. */
  private int wanted;

  private boolean marking;

  /** Failures here of each job since something ended well here. */
  private final Map<Job, Integer> failures = new HashMap<>();

  /** It fails what it starts, by what its failures say now. */
  private boolean sick;

  /** Seconds of full use so far, by the scarcer of processors and accelerators. */
  private double usedS;

  /** A machine that joins an entity now, rented just now and certain to hold nothing. */
  public Machine(MachineRow row, MachineType type, Version since, double now) {
    this(row, type, since, now, now, 0);
  }

  /**
   * A machine that joins an entity.
   *
   * @param since the version under which this controller's hold on it begins
   * @param now seconds of the steady clock
   * @param rentedS when it was rented, in the same seconds
   * @param unheardGoneS until when it may hold tasks that nobody here knows of
   */
  public Machine(
      MachineRow row,
      MachineType type,
      Version since,
      double now,
      double rentedS,
      double unheardGoneS) {
    this.row = row;
    this.type = type;
    this.since = since;
    this.rentedS = rentedS;
    this.unheardGoneS = unheardGoneS;
    this.joinedS = now;
    this.idleSinceS = now;
    this.heardS = now;
    this.answeredS = now;
    this.heard = !row.up();
  }

  public MachineId id() {
    return row.id();
  }

  /** The machine's record as it was last stored. */
  public MachineRow row() {
    return row;
  }

  /** The type of machine that the cloud rents out under its name. */
  public MachineType type() {
    return type;
  }

  /**
   * The version under which this controller's hold on the machine began; older reports prove no
   * absence.
   */
  public Version since() {
    return since;
  }

  /** The newest report was in this session of the worker; 0 before the first. */
  public long session() {
    return session;
  }

  /** The newest report's number within its session. */
  public long sequence() {
    return sequence;
  }

  /** Reports of earlier sessions are leftovers: those sessions' leases are surely over. */
  public long firstSession() {
    return firstSession;
  }

  /** A report has come: nothing is concluded from it yet. */
  public void reportArrived(HostPort workerEndpoint, double now) {
    heardS = now;
    answeredS = now;
    endpoint = workerEndpoint;
  }

  /** A report that was kept open is answered now. */
  public void reportAnswered(double now) {
    answeredS = now;
  }

  /** Notes which report of the worker is the newest. */
  public void newestReport(long newSession, long newSequence) {
    session = newSession;
    sequence = newSequence;
  }

  /** A report under the current term was taken: what the machine holds is known. */
  public void reportTaken(Double newNoticeS) {
    noticeS = newNoticeS;
    heard = true;
    silent = false;
  }

  /** It has come empty from another entity, so what it holds is known. */
  void joinedEmpty() {
    heard = true;
  }

  /** Whether it has reported under our term, so that what it holds is known. */
  public boolean heard() {
    return heard;
  }

  /** Until then, in seconds of the steady clock, a machine that has not reported may hold tasks. */
  public double unheardGoneS() {
    return unheardGoneS;
  }

  /** Its worker's lease may be kept until then by another controller. */
  public void mayHoldTasksUntil(double untilSeconds) {
    unheardGoneS = Math.max(unheardGoneS, untilSeconds);
  }

  /** When its last report came, in seconds of the steady clock. */
  public double heardS() {
    return heardS;
  }

  /** When its last report was answered, in seconds of the steady clock. */
  public double answeredS() {
    return answeredS;
  }

  /** When it was rented, in seconds of the steady clock. */
  public double rentedS() {
    return rentedS;
  }

  /** Since when nothing but spare work has been here. */
  public double idleSinceS() {
    return idleSinceS;
  }

  /** It has nothing to do from now on. */
  public void becameIdle(double now) {
    idleSinceS = now;
  }

  /** Seconds until the cloud takes it back, as last reported; null if there is no notice. */
  public Double noticeS() {
    return noticeS;
  }

  /** Whether it goes out of use: what runs is saved, and nothing new starts. */
  public boolean draining() {
    return draining;
  }

  /** Takes it out of use, or back into use. */
  public void setDraining(boolean nowDraining) {
    draining = nowDraining;
  }

  /** Whether it is being returned to the cloud. */
  public boolean returning() {
    return returning;
  }

  /** It is to be returned to the cloud. */
  void startReturn() {
    returning = true;
  }

  /**
   * The cloud has refused to take it back, and will not do so late, unless it was unclear before.
   */
  void returnRefused() {
    returning = returnUncertain;
  }

  /** The cloud may still take it back. */
  void returnUnclear() {
    returnUncertain = true;
  }

  /** Whether its reports have stopped coming. */
  public boolean silent() {
    return silent;
  }

  /** Its reports have stopped coming. */
  public void markSilent() {
    silent = true;
  }

  /** Its worker's lease is certainly over, and so are its tasks and its session. */
  public void leaseExpired() {
    firstSession = session + 1;
    strays(Map.of());
  }

  /** Whether it is being passed to another entity. */
  boolean promised() {
    return promised;
  }

  /** It is being passed to another entity: nothing starts here meanwhile. */
  void promise() {
    promised = true;
  }

  /** It was not passed to another entity after all. */
  void promiseFailed(MachineRow stored) {
    row = stored;
    promised = false;
  }

  /** A more urgent job for which room is being made here; null if there is none. */
  public Job reservedFor() {
    return reservedFor;
  }

  /** Until when others keep out of the reserved room. */
  public double reservedUntilS() {
    return reservedUntilS;
  }

  /** Keeps the room that is made here for a more urgent job. */
  public void reserve(Job job, double untilSeconds) {
    reservedFor = job;
    reservedUntilS = untilSeconds;
  }

  /** No spare work is started here until then: others need the machine. */
  public double clearedUntilS() {
    return clearedUntilS;
  }

  /** Keeps spare work away until then. */
  public void keepSpareWorkAway(double untilSeconds) {
    clearedUntilS = untilSeconds;
  }

  /** Nothing is started here until then: it is emptied for another entity. */
  public double evictedUntilS() {
    return evictedUntilS;
  }

  /** Starts nothing here until then. */
  public void keepEmpty(double untilSeconds) {
    evictedUntilS = untilSeconds;
  }

  /** When it came to this entity's present owner. */
  public double joinedS() {
    return joinedS;
  }

  /** Where its worker answers; null until it has reported here. */
  public HostPort endpoint() {
    return endpoint;
  }

  /** Whether a write of its record is under way. */
  boolean marking() {
    return marking;
  }

  /** A write of its record begins. */
  void startRewrite() {
    marking = true;
  }

  /** A write of its record has ended, as it may be without effect. */
  void endRewrite() {
    marking = false;
  }

  /** Its record was stored. */
  void rewritten(MachineRow stored) {
    row = stored;
  }

  /** Whether the image is there, as far as reports have shown. */
  public boolean hasImage(String image) {
    return images.contains(image);
  }

  /** A task with the image has run here. */
  public void imageSeen(String image) {
    images.add(image);
  }

  /** Failures here of each job since something ended well here; not to be changed. */
  public Map<Job, Integer> failures() {
    return Collections.unmodifiableMap(failures);
  }

  /** A task of the job has failed here. */
  public void countFailure(Job job) {
    failures.merge(job, 1, Integer::sum);
  }

  /** Something has ended well here. */
  public void clearFailures() {
    failures.clear();
  }

  /** Whether it fails what it starts, by what its failures say now. */
  public boolean sick() {
    return sick;
  }

  /** Says whether it fails what it starts. */
  public void setSick(boolean nowSick) {
    sick = nowSick;
  }

  /** Seconds of full use so far, by the scarcer of processors and accelerators. */
  public double usedS() {
    return usedS;
  }

  /** Counts the present use for so many seconds more. */
  public void countUse(double seconds) {
    usedS += seconds * share();
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
    wanted += (p.job().spareWork() ? 0 : 1) - (before == null || before.job().spareWork() ? 0 : 1);
    room = null;
  }

  /** Removes a task if exactly this placement is recorded, and returns whether it was. */
  public boolean remove(Placement p) {
    room = null;
    boolean removed = tasks.remove(p.task(), p);
    wanted -= removed && !p.job().spareWork() ? 1 : 0;
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
      Amounts a = p.job().spec().task();
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
        all = p.job().spareWork() ? all.plus(p.job().spec().task()) : all;
      }
    }
    return all;
  }

  /** Whether new tasks may be decided for this machine. */
  public boolean open() {
    return row.up() && heard && !draining && !returning && !silent && !promised && noticeS == null;
  }

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
