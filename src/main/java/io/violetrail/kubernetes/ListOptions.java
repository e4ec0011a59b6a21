package io.violetrail.kubernetes;

import io.violetrail.wire.kubernetes.KubernetesJson.MalformedRequestException;
import io.violetrail.wire.kubernetes.LabelSelector;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The query parameters of a list or watch request. Unknown parameters are refused.
 *
 * @param name the name of the only object that is requested; null for all objects
 * @param continueAfter the last key that an earlier page covered; empty for the first page
 * @param resourceVersion the version after which a watch starts; empty to start with the present
 *     objects
 * @param timeoutSeconds how long a watch stays open
 */
record ListOptions(
    LabelSelector labelSelector,
    String name,
    int limit,
    String continueAfter,
    boolean watch,
    boolean allowWatchBookmarks,
    String resourceVersion,
    double timeoutSeconds) {
  /** Maximum number of rows that are read for one answer; also the default. */
  static final int MAX_LIMIT = 500;

  private static final double DEFAULT_WATCH_SECONDS = 300;
  private static final double MAX_WATCH_SECONDS = 600;

  /** Parameters that affect only an answer's format or the recorded author of a request. */
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
      throw new MalformedRequestException(
          "fieldSelector", "only metadata.name=NAME is supported, not '" + fieldSelector + "'");
    }
    int limit = (int) readCount(parameters, "limit", 0);
    String resourceVersion = parameters.getOrDefault("resourceVersion", "");
    if (!resourceVersion.matches("[0-9]{0,18}")) {
      throw new MalformedRequestException(
          "resourceVersion",
          "must be a number of at most 18 digits, not '" + resourceVersion + "'");
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

  /** Refuses a request with parameters that are neither among {@code names} nor ignored. */
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
      throw new MalformedRequestException(
          name, "must be a number of at most 9 digits, not '" + text + "'");
    }
    return text.isEmpty() || text.equals("0") ? defaultValue : Double.parseDouble(text);
  }

  private static boolean readFlag(Map<String, String> parameters, String name)
      throws MalformedRequestException {
    String text = parameters.getOrDefault(name, "false");
    if (!Set.of("true", "false", "1", "0", "").contains(text)) {
      throw new MalformedRequestException(name, "must be true or false, not '" + text + "'");
    }
    return text.equals("true") || text.equals("1");
  }

  private static String decodeToken(String token) throws MalformedRequestException {
    try {
      return new String(Base64.getUrlDecoder().decode(token), StandardCharsets.UTF_8);
    } catch (IllegalArgumentException exception) {
      throw new MalformedRequestException(
          "continue", "is not a token that this API returned; list again without it");
    }
  }

  static String encodeToken(String continueAfter) {
    return Base64.getUrlEncoder()
        .withoutPadding()
        .encodeToString(continueAfter.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a filter for the requested objects; a null {@code namespace} admits all namespaces. */
  Predicate<KubernetesObject> filterFor(String namespace) {
    return object ->
        (namespace == null || object.namespace().equals(namespace))
            && (name == null || object.name().equals(name))
            && labelSelector.matches(object.labels());
  }
}
