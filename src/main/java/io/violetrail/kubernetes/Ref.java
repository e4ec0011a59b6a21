package io.violetrail.kubernetes;

/** Which object is meant. */
record Ref(Kind kind, String namespace, String name) {
  String key() {
    return KubeObject.rows(kind, namespace) + name;
  }

  /** As errors name it. */
  String said() {
    return kind.resource() + " \"" + name + "\"";
  }
}
