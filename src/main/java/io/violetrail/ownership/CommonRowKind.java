package io.violetrail.ownership;

/** The kinds of common rows, which are told apart by their keys. */
enum CommonRowKind {
  LIVENESS,
  ENTITY,
  MACHINE,
  BLOCK,
  QUOTA_SHARE,
  MACHINE_ADDITIONS,
  MACHINE_TYPES,
  CONFIGURATION,
  /** A row that another release has written and this release does not use. */
  UNKNOWN;

  /** Returns the kind of the row with the given key. */
  static CommonRowKind of(String key) {
    if (key.startsWith(StateSchema.LIVENESS_PREFIX)) {
      return LIVENESS;
    }
    if (key.startsWith(StateSchema.ENTITY_PREFIX)) {
      return ENTITY;
    }
    if (key.startsWith(StateSchema.MACHINE_PREFIX)) {
      return MACHINE;
    }
    if (key.startsWith(StateSchema.BLOCK_PREFIX)) {
      return BLOCK;
    }
    if (key.startsWith(StateSchema.QUOTA_SHARE_PREFIX)) {
      return QUOTA_SHARE;
    }
    return switch (key) {
      case StateSchema.MACHINE_ADDITIONS_KEY -> MACHINE_ADDITIONS;
      case StateSchema.MACHINE_TYPES_KEY -> MACHINE_TYPES;
      case StateSchema.CONFIGURATION_KEY -> CONFIGURATION;
      default -> UNKNOWN;
    };
  }
}
