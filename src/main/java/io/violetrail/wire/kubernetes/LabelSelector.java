package io.violetrail.wire.kubernetes;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A Kubernetes label selector. It matches labels that meet all of its requirements. */
public final class LabelSelector {
  public static final LabelSelector EVERYTHING = new LabelSelector(List.of());

  private static final String KEY_REGEX =
      "((?:[a-z0-9][a-z0-9.-]{0,252}/)?[A-Za-z0-9](?:[A-Za-z0-9_.-]{0,61}[A-Za-z0-9])?)";
  private static final String VALUE_REGEX = "([A-Za-z0-9](?:[A-Za-z0-9_.-]{0,61}[A-Za-z0-9])?|)";
  private static final Pattern EQUALITY_PATTERN =
      Pattern.compile(KEY_REGEX + "\\s*(==|=|!=)\\s*" + VALUE_REGEX);
  private static final Pattern SET_PATTERN =
      Pattern.compile(KEY_REGEX + "\\s+(in|notin)\\s*\\(([^()]*)\\)");
  private static final Pattern EXISTENCE_PATTERN = Pattern.compile("(!?)\\s*" + KEY_REGEX);
  private static final Pattern VALUE_PATTERN = Pattern.compile(VALUE_REGEX);

  private final List<Requirement> requirements;

  private record Requirement(String key, boolean negated, Set<String> values) {
    /** Without values (null), the requirement concerns the presence of the key only. */
    boolean isMetBy(JsonNode labels) {
      JsonNode value = labels == null ? null : labels.get(key);
      boolean found = value != null && (values == null || values.contains(value.asText()));
      return found != negated;
    }
  }

  private LabelSelector(List<Requirement> requirements) {
    this.requirements = requirements;
  }

  /**
   * Parses the text of a selector.
   *
   * @throws KubernetesJson.MalformedRequestException if a requirement is malformed; the message
   *     quotes it
   */
  public static LabelSelector parse(String text) throws KubernetesJson.MalformedRequestException {
    List<Requirement> requirements = new ArrayList<>();
    for (String part : splitRequirements(text)) {
      requirements.add(parseRequirement(part.strip()));
    }
    return new LabelSelector(List.copyOf(requirements));
  }

  /** Splits a selector at the commas outside of parentheses. */
  private static List<String> splitRequirements(String text) {
    List<String> parts = new ArrayList<>();
    int depth = 0;
    int start = 0;
    for (int i = 0; i < text.length(); i++) {
      char character = text.charAt(i);
      depth += character == '(' ? 1 : character == ')' ? -1 : 0;
      if (character == ',' && depth == 0) {
        parts.add(text.substring(start, i));
        start = i + 1;
      }
    }
    if (start > 0 || !text.isBlank()) {
      parts.add(text.substring(start));
    }
    return parts;
  }

  private static Requirement parseRequirement(String part)
      throws KubernetesJson.MalformedRequestException {
    Matcher matcher = EQUALITY_PATTERN.matcher(part);
    if (matcher.matches()) {
      return new Requirement(
          matcher.group(1), matcher.group(2).equals("!="), Set.of(matcher.group(3)));
    }
    matcher = SET_PATTERN.matcher(part);
    if (matcher.matches()) {
      Set<String> values = new TreeSet<>();
      for (String value : matcher.group(3).split(",", -1)) {
        if (!VALUE_PATTERN.matcher(value.strip()).matches()) {
          throw malformed(part);
        }
        values.add(value.strip());
      }
      return new Requirement(matcher.group(1), matcher.group(2).equals("notin"), values);
    }
    matcher = EXISTENCE_PATTERN.matcher(part);
    if (matcher.matches()) {
      return new Requirement(matcher.group(2), !matcher.group(1).isEmpty(), null);
    }
    throw malformed(part);
  }

  private static KubernetesJson.MalformedRequestException malformed(String part) {
    return new KubernetesJson.MalformedRequestException(
        "labelSelector", "'" + part + "' is not a valid requirement");
  }

  public boolean matches(JsonNode labels) {
    return requirements.stream().allMatch(requirement -> requirement.isMetBy(labels));
  }
}
