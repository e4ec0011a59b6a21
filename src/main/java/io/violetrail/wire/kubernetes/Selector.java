package io.violetrail.wire.kubernetes;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A label selector: all of its requirements must hold. */
public final class Selector {
  public static final Selector ALL = new Selector(List.of());

  private static final String KEY =
      "((?:[a-z0-9][a-z0-9.-]{0,252}/)?[A-Za-z0-9](?:[A-Za-z0-9_.-]{0,61}[A-Za-z0-9])?)";
  private static final String VALUE = "([A-Za-z0-9](?:[A-Za-z0-9_.-]{0,61}[A-Za-z0-9])?|)";
  private static final Pattern EQUAL = Pattern.compile(KEY + "\\s*(==|=|!=)\\s*" + VALUE);
  private static final Pattern IN = Pattern.compile(KEY + "\\s+(in|notin)\\s*\\(([^()]*)\\)");
  private static final Pattern EXISTS = Pattern.compile("(!?)\\s*" + KEY);
  private static final Pattern ONE_VALUE = Pattern.compile(VALUE);

  private final List<Requirement> requirements;

  private record Requirement(String key, boolean negated, Set<String> values) {
    /** Without values: the key's presence is what counts. */
    boolean holds(JsonNode labels) {
      JsonNode value = labels == null ? null : labels.get(key);
      boolean found = value != null && (values == null || values.contains(value.asText()));
      return found != negated;
    }
  }

  private Selector(List<Requirement> requirements) {
    this.requirements = requirements;
  }

  /** Reads a selector's text; the malformed requirement is named. */
  public static Selector parse(String text) throws KubeJson.Malformed {
    List<Requirement> all = new ArrayList<>();
    for (String part : split(text)) {
      all.add(requirement(part.strip()));
    }
    return new Selector(List.copyOf(all));
  }

  /** At commas outside of brackets. */
  private static List<String> split(String text) {
    List<String> parts = new ArrayList<>();
    int depth = 0;
    int from = 0;
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      depth += c == '(' ? 1 : c == ')' ? -1 : 0;
      if (c == ',' && depth == 0) {
        parts.add(text.substring(from, i));
        from = i + 1;
      }
    }
    if (from > 0 || !text.isBlank()) {
      parts.add(text.substring(from));
    }
    return parts;
  }

  private static Requirement requirement(String part) throws KubeJson.Malformed {
    Matcher m = EQUAL.matcher(part);
    if (m.matches()) {
      return new Requirement(m.group(1), m.group(2).equals("!="), Set.of(m.group(3)));
    }
    m = IN.matcher(part);
    if (m.matches()) {
      Set<String> values = new TreeSet<>();
      for (String value : m.group(3).split(",", -1)) {
        if (!ONE_VALUE.matcher(value.strip()).matches()) {
          throw malformed(part);
        }
        values.add(value.strip());
      }
      return new Requirement(m.group(1), m.group(2).equals("notin"), values);
    }
    m = EXISTS.matcher(part);
    if (m.matches()) {
      return new Requirement(m.group(2), !m.group(1).isEmpty(), null);
    }
    throw malformed(part);
  }

  private static KubeJson.Malformed malformed(String part) {
    return new KubeJson.Malformed("labelSelector", "'" + part + "' is not a requirement");
  }

  public boolean matches(JsonNode labels) {
    return requirements.stream().allMatch(r -> r.holds(labels));
  }
}
