package io.violetrail.compatibility;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** The forms of stored rows: the names and types of what they hold, without the values. */
final class RowForms {
  /** Key prefixes whose second part belongs to the kind of the row. */
  private static final Set<String> TWO_PART_KINDS = Set.of("c", "cal", "config", "k8s");

  private RowForms() {}

  /** Returns the different forms of the rows of each kind. */
  static Map<String, Set<String>> byKind(Map<String, JsonNode> rows) {
    Map<String, Set<String>> forms = new TreeMap<>();
    rows.forEach(
        (key, row) -> forms.computeIfAbsent(kindOf(key), k -> new TreeSet<>()).add(formOf(row)));
    return forms;
  }

  private static String kindOf(String key) {
    String[] parts = key.split("/", -1);
    return TWO_PART_KINDS.contains(parts[0]) ? parts[0] + "/" + parts[1] : parts[0];
  }

  private static String formOf(JsonNode node) {
    if (node.isObject()) {
      Map<String, String> fields = new TreeMap<>();
      for (Map.Entry<String, JsonNode> field : node.properties()) {
        fields.put(withoutIds(field.getKey()), formOf(field.getValue()));
      }
      return fields.toString();
    }
    if (node.isArray()) {
      Set<String> elements = new TreeSet<>();
      node.forEach(element -> elements.add(formOf(element)));
      return elements.toString();
    }
    return node.getNodeType().toString();
  }

  /** Replaces the ids of machines, jobs and tasks, which differ from run to run. */
  private static String withoutIds(String name) {
    return name.replaceAll("(vm|job)-\\d+(/\\d+)?", "id");
  }
}
