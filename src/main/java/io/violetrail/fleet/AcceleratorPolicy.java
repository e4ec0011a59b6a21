package io.violetrail.fleet;

import io.violetrail.model.JobSpec;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import io.violetrail.peer.ResourceRequest;
import java.util.Collection;
import java.util.List;

/**
 * Decides which machine types suit tasks as far as accelerators are concerned: tasks that use none
 * are kept off machines that have some, unless they could run nowhere else. Placement, preemption,
 * scale-out and transfers between entities all ask this class, so that none of them counts on a
 * machine that another refuses. Stateless.
 */
public final class AcceleratorPolicy {
  private final Collection<MachineType> types;

  /** Creates a policy for the machine types that the provider offers. */
  public AcceleratorPolicy(Collection<MachineType> types) {
    this.types = types;
  }

  /**
   * Returns whether the type suits the job's tasks: it has no accelerators, the tasks use some, or
   * no allowed type without accelerators could run them.
   */
  public boolean suits(JobSpec job, MachineType type) {
    return type.avoidsIdleAccelerators(job.taskResources()) || needsAcceleratorMachine(job);
  }

  /** Returns whether the type suits the tasks for which another entity requests machines. */
  boolean suits(ResourceRequest request, MachineType type) {
    String zone = request.zone().isEmpty() ? null : request.zone();
    return type.avoidsIdleAccelerators(request.requestedAmounts())
        || hasNoOtherType(request.requestedAmounts(), request.allowedTypes(), zone);
  }

  /**
   * Returns whether the job's tasks use no accelerators but can run only on machines that have
   * some. Nothing is gained by keeping such a job waiting for them.
   */
  public boolean needsAcceleratorMachine(JobSpec job) {
    return job.taskResources().gpus() == 0
        && hasNoOtherType(job.taskResources(), job.machineTypes(), job.zone());
  }

  /**
   * Returns whether no type without accelerators has room for the task.
   *
   * @param allowedTypes the allowed types; null for any
   * @param zone the only allowed zone; null for any
   */
  private boolean hasNoOtherType(Resources task, List<String> allowedTypes, String zone) {
    for (MachineType type : types) {
      if (type.capacity().gpus() == 0
          && task.fitsIn(type.capacity())
          && (allowedTypes == null || allowedTypes.contains(type.name()))
          && (zone == null || type.zones().contains(zone))) {
        return false;
      }
    }
    return true;
  }
}
