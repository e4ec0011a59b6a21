package io.violetrail.ownership;

import io.violetrail.errors.RequestFailedException;
import io.violetrail.model.MachineId;

/**
 * Thrown if a requested change of a machine's record was refused. The caller must not rely on the
 * change. Many instances may be created at once when an entity is lost.
 */
public final class RecordChangeRefusedException extends RequestFailedException {
  private static final long serialVersionUID = 1L;

  /** Why the record was not changed. */
  public enum Reason {
    /** Another entity owns the machine, or this entity no longer owns it. */
    OWNED_ELSEWHERE("the machine does not belong to this entity"),
    /** The record has changed since it was read. */
    RECORD_CHANGED("the record has changed since it was read"),
    /** The machine's entity, or the target entity of a transfer, has moved to another owner. */
    ENTITY_MOVED("the machine's entity or the target entity has moved to another owner"),
    /** This controller lost the machine's entity before the change was written. */
    ENTITY_LOST("this controller no longer owns the machine's entity"),
    /** The queue of pending changes is full. The caller may retry later. */
    OVERLOADED("too many machine record changes are pending; retry later");

    private final String description;

    Reason(String description) {
      this.description = description;
    }
  }

  private final transient MachineId machine;
  private final Reason reason;

  RecordChangeRefusedException(MachineId machine, Reason reason) {
    super("record of machine " + machine + " was not changed: " + reason.description);
    this.machine = machine;
    this.reason = reason;
  }

  /** Returns the machine whose record was not changed. */
  public MachineId machine() {
    return machine;
  }

  public Reason reason() {
    return reason;
  }
}
