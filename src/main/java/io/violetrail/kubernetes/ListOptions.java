package io.violetrail.kubernetes;

import io.violetrail.wire.kubernetes.KubernetesJson.MalformedRequestException;
import io.violetrail.wire.kubernetes.LabelSelector;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** What a listing or watch asks for, read strictly: a parameter nobody knows is refused. */
record ListOptions(
    LabelSelector labelSelector,
    String name,
    int limit,
    String continueAfter,
    boolean watch,
    boolean allowWatchBookmarks,
    String resourceVersion,
    double timeoutSeconds) {
  /** Rows read for one answer at most. */
  static final int MAX_LIMIT = 500;

  private static final double DEFAULT_WATCH_SECONDS = 300;
  private static final double MAX_WATCH_SECONDS = 600;

  /** They change how an answer looks or who is said to have asked, and nothing else. */
  private static final Set<String> IGNORED_PARAMETERS =
      Set.of("pretty", "fieldManager", "fieldValidation");

  private static final Set<String> SUPPORTED_PARAMETERS =
      Set.of(
          "labelSelector",
          "fieldSelector",
          "limit",
          "continue",
          "watch",
          "allowWatchBookmarks",
          "resourceVersion",
          "timeoutSeconds");

  static ListOptions parse(Map<String, String> parameters) throws MalformedRequestException {
    requireSupported(parameters, SUPPORTED_PARAMETERS);
    String fieldSelector = parameters.getOrDefault("fieldSelector", "");
    if (!fieldSelector.isEmpty() && !fieldSelector.matches("metadata\\.name==?[a-z0-9-]{1,63}")) {
      throw new MalformedRequestException("fieldSelector", "only metadata.name=NAME is supported");
    }
    int limit = (int) readCount(parameters, "limit", 0);
    String resourceVersion = parameters.getOrDefault("resourceVersion", "");
    if (!resourceVersion.matches("[0-9]{0,18}")) {
      throw new MalformedRequestException("resourceVersion", "is not a version");
    }
    return new ListOptions(
        LabelSelector.parse(parameters.getOrDefault("labelSelector", "")),
        fieldSelector.isEmpty()
            ? null
            : fieldSelector.substring(fieldSelector.lastIndexOf('=') + 1),
        limit == 0 ? MAX_LIMIT : Math.min(MAX_LIMIT, limit),
        decodeToken(parameters.getOrDefault("continue", "")),
        readFlag(parameters, "watch"),
        readFlag(parameters, "allowWatchBookmarks"),
        resourceVersion.equals("0") ? "" : resourceVersion,
        Math.min(
            MAX_WATCH_SECONDS, readCount(parameters, "timeoutSeconds", DEFAULT_WATCH_SECONDS)));
  }

  /** Refuses parameters that are neither among these nor harmless. */
  static void requireSupported(Map<String, String> parameters, Set<String> names)
      throws MalformedRequestException {
    for (String name : parameters.keySet()) {
      if (!names.contains(name) && !IGNORED_PARAMETERS.contains(name)) {
        throw new MalformedRequestException(name, "the parameter is not supported");
      }
    }
  }

  private static double readCount(Map<String, String> parameters, String name, double defaultValue)
      throws MalformedRequestException {
    String text = parameters.getOrDefault(name, "");
    if (!text.matches("[0-9]{0,9}")) {
      throw new MalformedRequestException(name, "is not a count");
    }
    return text.isEmpty() || text.equals("0") ? defaultValue : Double.parseDouble(text);
  }

  private static boolean readFlag(Map<String, String> parameters, String name)
      throws MalformedRequestException {
    String text = parameters.getOrDefault(name, "false");
    if (!Set.of("true", "false", "1", "0", "").contains(text)) {
      throw new MalformedRequestException(name, "is neither true nor false");
    }
    return text.equals("true") || text.equals("1");
  }

  private static String decodeToken(String token) throws MalformedRequestException {
    try {
      return new String(Base64.getUrlDecoder().decode(token), StandardCharsets.UTF_8);
    } catch (IllegalArgumentException exception) {
      throw new MalformedRequestException("continue", "is not a token of ours");
    }
  }

  static String encodeToken(String after) {
    return Base64.getUrlEncoder()
        .withoutPadding()
        .encodeToString(after.getBytes(StandardCharsets.UTF_8));
  }

  /** Whether an object is among those asked for. */
  Predicate<KubernetesObject> filterFor(String namespace) {
    return o ->
        (namespace == null || o.namespace().equals(namespace))
            && (name == null || o.name().equals(name))
            && labelSelector.matches(o.labels());
  }
}
