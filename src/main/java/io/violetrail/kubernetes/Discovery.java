package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Team;
import io.violetrail.wire.kubernetes.KubeJson;
import java.util.Collection;
import java.util.List;

/** What is served, for clients that ask first. */
final class Discovery {
  private static final List<String> WRITABLE =
      List.of("create", "delete", "get", "list", "update", "watch");

  private Discovery() {}

  /** The answer for a path; null if it is none of these. */
  static ObjectNode of(String path) {
    return switch (path) {
      case "/version" ->
          KubeJson.object()
              .put("major", "1")
              .put("minor", "30")
              .put("gitVersion", "v1.30.0-violetrail");
      case "/api" -> {
        ObjectNode m = KubeJson.object().put("kind", "APIVersions");
        m.putArray("versions").add("v1");
        yield m;
      }
      case "/apis" -> {
        ObjectNode m = KubeJson.object().put("kind", "APIGroupList").put("apiVersion", "v1");
        var groups = m.putArray("groups");
        for (Kind k : Kind.values()) {
          groups.add(group(k.group()));
        }
        yield m;
      }
      case "/apis/batch", "/apis/apps" ->
          group(path.substring(path.lastIndexOf('/') + 1))
              .put("kind", "APIGroup")
              .put("apiVersion", "v1");
      case "/api/v1" -> {
        ObjectNode m = resources("v1");
        resource(m, "namespaces", "Namespace", false, List.of("get", "list"));
        resource(m, "pods", "Pod", true, List.of("get", "list"));
        yield m;
      }
      case "/apis/batch/v1" -> {
        ObjectNode m = resources("batch/v1");
        resource(m, "jobs", "Job", true, WRITABLE);
        resource(m, "jobs/status", "Job", true, List.of("get"));
        yield m;
      }
      case "/apis/apps/v1" -> {
        ObjectNode m = resources("apps/v1");
        resource(m, "deployments", "Deployment", true, WRITABLE);
        resource(m, "deployments/status", "Deployment", true, List.of("get"));
        resource(m, "deployments/scale", "Scale", true, List.of("get", "update"));
        yield m;
      }
      default -> null;
    };
  }

  private static ObjectNode group(String name) {
    ObjectNode m = KubeJson.object().put("name", name);
    ObjectNode version = KubeJson.object().put("groupVersion", name + "/v1").put("version", "v1");
    m.putArray("versions").add(version);
    m.set("preferredVersion", version);
    return m;
  }

  private static ObjectNode resources(String version) {
    ObjectNode m = KubeJson.object().put("kind", "APIResourceList").put("apiVersion", "v1");
    m.put("groupVersion", version).putArray("resources");
    return m;
  }

  private static void resource(
      ObjectNode to, String name, String kind, boolean namespaced, List<String> verbs) {
    ObjectNode r =
        to.withArray("resources")
            .addObject()
            .put("name", name)
            .put("singularName", name.contains("/") ? "" : name.substring(0, name.length() - 1))
            .put("namespaced", namespaced)
            .put("kind", kind);
    verbs.forEach(r.putArray("verbs")::add);
  }

  /** A team, shown as a namespace. */
  static ObjectNode namespace(String team) {
    ObjectNode m = KubeJson.object().put("kind", "Namespace").put("apiVersion", "v1");
    m.putObject("metadata").put("name", team);
    m.putObject("status").put("phase", "Active");
    return m;
  }

  static ObjectNode namespaces(Collection<Team> teams) {
    ObjectNode m = KubeJson.object().put("kind", "NamespaceList").put("apiVersion", "v1");
    m.putObject("metadata").put("resourceVersion", "");
    var items = m.putArray("items");
    teams.forEach(t -> items.add(namespace(t.name())));
    return m;
  }
}
