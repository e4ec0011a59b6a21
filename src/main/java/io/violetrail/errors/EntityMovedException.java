package io.violetrail.errors;

import io.violetrail.model.ControllerId;

/** Another controller owns the entity now, so this controller's fencing token is outdated. */
public final class EntityMovedException extends RequestFailedException {
  private static final long serialVersionUID = 1L;

  private final transient ControllerId entity;

  /** Creates a failure for an entity that is no longer owned here. */
  public EntityMovedException(ControllerId entity) {
    super("entity " + entity + " is now owned by another controller");
    this.entity = entity;
  }

  public ControllerId entity() {
    return entity;
  }
}
