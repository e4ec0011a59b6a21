package io.violetrail.kubernetes;

/** Identifies a stored object. */
record ObjectReference(ObjectKind kind, String namespace, String name) {
  String key() {
    return KubernetesObject.keyPrefix(kind, namespace) + name;
  }

  /** Returns the name that errors use, such as {@code jobs.batch "scan"}. */
  String displayName() {
    return kind.qualifiedResource() + " \"" + name + "\"";
  }
}
