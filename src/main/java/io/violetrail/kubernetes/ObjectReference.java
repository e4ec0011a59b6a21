package io.violetrail.kubernetes;

/** Which object is meant. */
record ObjectReference(ObjectKind kind, String namespace, String name) {
  String key() {
    return KubernetesObject.keyPrefix(kind, namespace) + name;
  }

  /** As errors name it. */
  String displayName() {
    return kind.qualifiedResource() + " \"" + name + "\"";
  }
}
