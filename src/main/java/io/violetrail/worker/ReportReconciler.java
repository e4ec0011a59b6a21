package io.violetrail.worker;

import io.violetrail.api.Jobs;
import io.violetrail.evidence.GoneProof;
import io.violetrail.fleet.Machine;
import io.violetrail.model.Amounts;
import io.violetrail.model.Shape;
import io.violetrail.model.TaskId;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.Blame;
import io.violetrail.scheduling.Estimates;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.Placement;
import io.violetrail.scheduling.TaskFailureHandler;
import io.violetrail.wire.HeartbeatMessages.Command;
import io.violetrail.wire.HeartbeatMessages.Command.Verb;
import io.violetrail.wire.HeartbeatMessages.ExitCause;
import io.violetrail.wire.HeartbeatMessages.State;
import io.violetrail.wire.HeartbeatMessages.TaskReport;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings an owner's picture of a machine in line with its worker's newest report: what runs there,
 * what has ended, and what is there that should not be. Keeps no state of its own.
 */
public final class ReportReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(ReportReconciler.class);

  private final Jobs jobs;
  private final Estimates estimates;
  private final TaskFailureHandler failureHandler;

  /** Tells the jobs what is done and the failure handler what has failed. */
  public ReportReconciler(Jobs jobs, Estimates estimates, TaskFailureHandler failureHandler) {
    this.jobs = jobs;
    this.estimates = estimates;
    this.failureHandler = failureHandler;
  }

  /** Brings the picture of a machine in line with its newest report. */
  void take(
      OwnedEntity entity, Machine m, WorkerReport report, double now, List<Command> commands) {
    Set<TaskId> present = new HashSet<>();
    Map<TaskId, Amounts> strays = new HashMap<>();
    for (TaskReport task : report.pieces()) {
      Job job = entity.jobs().get(task.task().job());
      if (job == null || task.task().index() >= job.spec().tasks()) {
        stray(entity, m, task, strays, commands);
      } else if (task.state() == State.EXITED) {
        exited(entity, m, job, task, now, commands);
      } else {
        present.add(task.task());
        if (!active(entity, m, job, task, now)) {
          strays.put(task.task(), job.spec().task());
          commands.add(new Command(Verb.HALT, task.task(), task.attempt(), 0));
        }
      }
    }
    m.strays(strays);
    GoneProof proof =
        m.heard() && report.session() > m.session()
            ? GoneProof.LATER_SESSION
            : GoneProof.REPORT_WITHOUT_IT;
    for (Placement p : List.copyOf(m.tasks().values())) {
      // Sent in the answer to an earlier report and not in this newer one: it was never taken, or
      // is over.
      if (!p.revocable() && !present.contains(p.task()) && m.task(p.task()) == p) {
        LOG.debug("task {} try {} is no longer on {}", p.task(), p.attempt(), m.id());
        entity.unplace(p, now, proof);
      }
    }
  }

  /** False if the task is known to be on another machine. */
  private boolean active(OwnedEntity entity, Machine m, Job job, TaskReport task, double now) {
    int index = task.task().index();
    Placement p = m.task(task.task());
    if (p != null && p.attempt() != task.attempt() && p.revocable()) {
      entity.unplace(p, now, GoneProof.NEVER_SENT);
      p = null;
    }
    if (p == null || p.attempt() != task.attempt()) {
      Placement elsewhere = job.placed(index);
      if (elsewhere != null && elsewhere.machine() != m) {
        if (elsewhere.revocable()) {
          entity.unplace(elsewhere, now, GoneProof.NEVER_SENT);
        } else {
          LOG.error("task {} is on {} and on {}", task.task(), m.id(), elsewhere.machine().id());
          return false;
        }
      }
      p = new Placement(job, index, m, task.attempt(), now);
      p.foundByReport();
      entity.place(p);
    }
    if (p.reported(task.state(), now)) {
      m.imageSeen(job.spec().image());
    }
    if (p.state() == State.RUNNING && p.runningS() > 0) {
      Blame.runs(job, now - p.runningS());
    }
    if (job.phase() != Job.Phase.OPEN || job.isDone(index)) {
      p.halt(0);
    }
    return true;
  }

  private void exited(
      OwnedEntity entity, Machine m, Job job, TaskReport task, double now, List<Command> commands) {
    int index = task.task().index();
    Placement p = m.task(task.task());
    boolean current = p != null && p.attempt() == task.attempt() && !p.revocable();
    // A replica is never done: one that ends is started again.
    boolean done = task.why() == ExitCause.DONE && job.spec().shape() != Shape.SERVICE;
    if (done && !job.isDone(index)) {
      job.markDone(index);
      Blame.endedWell(m, job);
      m.imageSeen(job.spec().image());
    }
    if (current) {
      if (task.why() == ExitCause.DONE && p.runningS() > 0 && p.haltGraceS() < 0) {
        estimates.learn(job.spec(), now - p.runningS());
      }
      entity.unplace(p, now, GoneProof.REPORTED_ENDED);
      if (task.why() != ExitCause.DONE) {
        failureHandler.taskFailed(m, p, task.why());
      }
    }
    if (job.isDone(index)) {
      jobs.progressed(entity, job);
      if (task.why() == ExitCause.DONE && !job.isStored(index) && job.phase() != Job.Phase.OVER) {
        return;
      }
    }
    commands.add(new Command(Verb.FORGET, task.task(), task.attempt(), 0));
  }

  /** A task of a job that is over, or that this owner has not loaded. */
  private void stray(
      OwnedEntity entity,
      Machine m,
      TaskReport task,
      Map<TaskId, Amounts> strays,
      List<Command> commands) {
    Jobs.Known known = jobs.known(entity, task.task().job());
    if (task.state() != State.EXITED) {
      // Its halt goes with whatever renews the lease.
      strays.put(task.task(), known == null ? m.type().size() : known.amounts());
    } else if (known != null) {
      commands.add(new Command(Verb.FORGET, task.task(), task.attempt(), 0));
    }
  }
}
