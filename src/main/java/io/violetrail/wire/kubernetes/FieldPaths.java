package io.violetrail.wire.kubernetes;

/** Paths of fields as the Kubernetes API writes them: {@code spec.containers[0].name}. */
public final class FieldPaths {
  private FieldPaths() {}

  /** Turns a JSON pointer into such a path. */
  public static String fromJsonPointer(String pointer) {
    StringBuilder path = new StringBuilder();
    for (String raw : pointer.split("/")) {
      String step = raw.replace("~1", "/").replace("~0", "~");
      if (step.isEmpty()) {
        continue;
      }
      if (step.chars().allMatch(c -> c >= '0' && c <= '9')) {
        path.append('[').append(step).append(']');
      } else if (step.indexOf('.') >= 0 || step.indexOf('/') >= 0) {
        path.append('[').append(step).append(']');
      } else {
        path.append(path.isEmpty() ? "" : ".").append(step);
      }
    }
    return path.toString();
  }

  /** The path of a field inside another. */
  public static String join(String path, String field) {
    return path.isEmpty() ? field : path + "." + field;
  }
}
