package io.violetrail.errors;

import io.violetrail.model.ControllerId;

/** The entity is owned by another controller now: its fencing token here is outdated. */
public final class EntityMovedException extends RequestFailedException {
  private static final long serialVersionUID = 1L;

  private final transient ControllerId entity;

  /** The entity that is not owned here any more. */
  public EntityMovedException(ControllerId entity) {
    super("entity " + entity + " has moved");
    this.entity = entity;
  }

  public ControllerId entity() {
    return entity;
  }
}
