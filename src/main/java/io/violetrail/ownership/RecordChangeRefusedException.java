package io.violetrail.ownership;

import io.violetrail.model.MachineId;

/**
 * A machine's record was not changed as asked: nothing may rest on the change. It has no stack
 * trace, since many are made at once when an entity is lost.
 */
public final class RecordChangeRefusedException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Why the record was not changed. */
  public enum Reason {
    /** Another entity has the machine, or this one has it no more. */
    OWNED_ELSEWHERE("it is not this entity's machine"),
    /** The record has changed since it was read. */
    RECORD_CHANGED("its record has changed"),
    /** Its entity, or the one that it was to pass to, has moved to another owner. */
    ENTITY_MOVED("an entity has moved"),
    /** Its entity was lost before the change was written. */
    ENTITY_LOST("the entity is not owned here any more"),
    /** Too many changes wait already: the caller is to come back later. */
    OVERLOADED("too many changes wait");

    private final String description;

    Reason(String description) {
      this.description = description;
    }
  }

  private final transient MachineId machine;
  private final Reason reason;

  RecordChangeRefusedException(MachineId machine, Reason reason) {
    super(machine + ": " + reason.description, null, false, false);
    this.machine = machine;
    this.reason = reason;
  }

  /** The machine whose record was to change. */
  public MachineId machine() {
    return machine;
  }

  /** Why the record was not changed. */
  public Reason reason() {
    return reason;
  }
}
