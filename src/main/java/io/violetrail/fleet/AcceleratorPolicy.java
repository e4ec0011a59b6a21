package io.violetrail.fleet;

import io.violetrail.model.JobSpec;
import io.violetrail.model.MachineType;
import io.violetrail.model.Resources;
import io.violetrail.peer.ResourceRequest;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;

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
   * Returns whether the type suits the job's next task: it has no accelerators, the task uses some,
   * or no allowed type without accelerators could run it.
   *
   * @param allowsZone the zones in which the next task may start
   */
  public boolean suits(JobSpec job, Predicate<String> allowsZone, MachineType type) {
    return type.avoidsIdleAccelerators(job.taskResources())
        || hasNoOtherType(job.taskResources(), job.machineTypes(), allowsZone);
  }

  /** Returns whether the type suits the tasks for which another entity requests machines. */
  boolean suits(ResourceRequest request, MachineType type) {
    return type.avoidsIdleAccelerators(request.requestedAmounts())
        || hasNoOtherType(request.requestedAmounts(), request.allowedTypes(), request::allowsZone);
  }

  /**
   * Returns whether no type without accelerators has room for the task. Nothing is gained by
   * keeping such a task waiting for one.
   *
   * @param allowedTypes the allowed types; null for any
   */
  private boolean hasNoOtherType(
      Resources task, List<String> allowedTypes, Predicate<String> allowsZone) {
    for (MachineType type : types) {
      if (type.capacity().gpus() == 0
          && task.fitsIn(type.capacity())
          && (allowedTypes == null || allowedTypes.contains(type.name()))
          && type.isOfferedIn(allowsZone)) {
        return false;
      }
    }
    return true;
  }
}
