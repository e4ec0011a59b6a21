package io.violetrail.wire.kubernetes;

/** Builds field paths in the Kubernetes form, such as {@code spec.containers[0].name}. */
public final class FieldPaths {
  private FieldPaths() {}

  /**
   * Converts a JSON pointer into a field path. Indexes and segments that contain a dot or a slash
   * are put in brackets.
   */
  public static String fromJsonPointer(String pointer) {
    StringBuilder path = new StringBuilder();
    for (String escapedSegment : pointer.split("/", 0)) {
      String segment = escapedSegment.replace("~1", "/").replace("~0", "~");
      if (segment.isEmpty()) {
        continue;
      }
      if (segment.chars().allMatch(c -> c >= '0' && c <= '9')) {
        path.append('[').append(segment).append(']');
      } else if (segment.indexOf('.') >= 0 || segment.indexOf('/') >= 0) {
        path.append('[').append(segment).append(']');
      } else {
        path.append(path.isEmpty() ? "" : ".").append(segment);
      }
    }
    return path.toString();
  }

  /** Returns the path of a field inside the object at the given path, which may be empty. */
  public static String join(String path, String field) {
    return path.isEmpty() ? field : path + "." + field;
  }
}
