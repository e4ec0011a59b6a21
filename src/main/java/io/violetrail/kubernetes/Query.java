package io.violetrail.kubernetes;

import io.violetrail.wire.kubernetes.KubeJson.Malformed;
import io.violetrail.wire.kubernetes.Selector;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** What a listing or watch asks for, read strictly: a parameter nobody knows is refused. */
record Query(
    Selector labels,
    String name,
    int limit,
    String after,
    boolean watch,
    boolean bookmarks,
    String version,
    double forS) {
  /** Rows read for one answer at most. */
  static final int MOST = 500;

  private static final double USUAL_WATCH_S = 300;
  private static final double LONGEST_WATCH_S = 600;

  /** They change how an answer looks or who is said to have asked, and nothing else. */
  private static final Set<String> HARMLESS = Set.of("pretty", "fieldManager", "fieldValidation");

  private static final Set<String> KNOWN =
      Set.of(
          "labelSelector",
          "fieldSelector",
          "limit",
          "continue",
          "watch",
          "allowWatchBookmarks",
          "resourceVersion",
          "timeoutSeconds");

  static Query of(Map<String, String> q) throws Malformed {
    known(q, KNOWN);
    String field = q.getOrDefault("fieldSelector", "");
    if (!field.isEmpty() && !field.matches("metadata\\.name==?[a-z0-9-]{1,63}")) {
      throw new Malformed("fieldSelector", "only metadata.name=NAME is supported");
    }
    int limit = (int) number(q, "limit", 0);
    String version = q.getOrDefault("resourceVersion", "");
    if (!version.matches("[0-9]{0,18}")) {
      throw new Malformed("resourceVersion", "is not a version");
    }
    return new Query(
        Selector.parse(q.getOrDefault("labelSelector", "")),
        field.isEmpty() ? null : field.substring(field.lastIndexOf('=') + 1),
        limit == 0 ? MOST : Math.min(MOST, limit),
        decoded(q.getOrDefault("continue", "")),
        flag(q, "watch"),
        flag(q, "allowWatchBookmarks"),
        version.equals("0") ? "" : version,
        Math.min(LONGEST_WATCH_S, number(q, "timeoutSeconds", USUAL_WATCH_S)));
  }

  /** Refuses parameters that are neither among these nor harmless. */
  static void known(Map<String, String> q, Set<String> names) throws Malformed {
    for (String name : q.keySet()) {
      if (!names.contains(name) && !HARMLESS.contains(name)) {
        throw new Malformed(name, "the parameter is not supported");
      }
    }
  }

  private static double number(Map<String, String> q, String name, double other) throws Malformed {
    String text = q.getOrDefault(name, "");
    if (!text.matches("[0-9]{0,9}")) {
      throw new Malformed(name, "is not a count");
    }
    return text.isEmpty() || text.equals("0") ? other : Double.parseDouble(text);
  }

  private static boolean flag(Map<String, String> q, String name) throws Malformed {
    String text = q.getOrDefault(name, "false");
    if (!Set.of("true", "false", "1", "0", "").contains(text)) {
      throw new Malformed(name, "is neither true nor false");
    }
    return text.equals("true") || text.equals("1");
  }

  private static String decoded(String token) throws Malformed {
    try {
      return new String(Base64.getUrlDecoder().decode(token), StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      throw new Malformed("continue", "is not a token of ours");
    }
  }

  static String token(String after) {
    return Base64.getUrlEncoder()
        .withoutPadding()
        .encodeToString(after.getBytes(StandardCharsets.UTF_8));
  }

  /** Whether an object is among those asked for. */
  Predicate<KubeObject> in(String namespace) {
    return o ->
        (namespace == null || o.namespace().equals(namespace))
            && (name == null || o.name().equals(name))
            && labels.matches(o.labels());
  }
}
