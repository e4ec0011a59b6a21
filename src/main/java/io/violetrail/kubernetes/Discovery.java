package io.violetrail.kubernetes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Team;
import io.violetrail.wire.kubernetes.KubernetesJson;
import java.util.Collection;
import java.util.List;

/** The discovery documents, from which clients learn what is served, and the namespaces. */
final class Discovery {
  private static final List<String> READ_WRITE_VERBS =
      List.of("create", "delete", "get", "list", "update", "watch");

  private Discovery() {}

  /** Returns the discovery document at a path, or null if there is none. */
  static ObjectNode findDocument(String path) {
    return switch (path) {
      case "/version" ->
          KubernetesJson.newObject()
              .put("major", "1")
              .put("minor", "30")
              .put("gitVersion", "v1.30.0-violetrail");
      case "/api" -> {
        ObjectNode document = KubernetesJson.newObject().put("kind", "APIVersions");
        document.putArray("versions").add("v1");
        yield document;
      }
      case "/apis" -> {
        ObjectNode document =
            KubernetesJson.newObject().put("kind", "APIGroupList").put("apiVersion", "v1");
        var groups = document.putArray("groups");
        for (ObjectKind kind : ObjectKind.values()) {
          groups.add(groupDocument(kind.group()));
        }
        yield document;
      }
      case "/apis/batch", "/apis/apps" ->
          groupDocument(path.substring(path.lastIndexOf('/') + 1))
              .put("kind", "APIGroup")
              .put("apiVersion", "v1");
      case "/api/v1" -> {
        ObjectNode document = resourceListDocument("v1");
        addResource(document, "namespaces", "Namespace", false, List.of("get", "list"));
        addResource(document, "pods", "Pod", true, List.of("get", "list"));
        yield document;
      }
      case "/apis/batch/v1" -> {
        ObjectNode document = resourceListDocument("batch/v1");
        addResource(document, "jobs", "Job", true, READ_WRITE_VERBS);
        addResource(document, "jobs/status", "Job", true, List.of("get"));
        yield document;
      }
      case "/apis/apps/v1" -> {
        ObjectNode document = resourceListDocument("apps/v1");
        addResource(document, "deployments", "Deployment", true, READ_WRITE_VERBS);
        addResource(document, "deployments/status", "Deployment", true, List.of("get"));
        addResource(document, "deployments/scale", "Scale", true, List.of("get", "update"));
        yield document;
      }
      default -> null;
    };
  }

  private static ObjectNode groupDocument(String name) {
    ObjectNode document = KubernetesJson.newObject().put("name", name);
    ObjectNode version =
        KubernetesJson.newObject().put("groupVersion", name + "/v1").put("version", "v1");
    document.putArray("versions").add(version);
    document.set("preferredVersion", version);
    return document;
  }

  private static ObjectNode resourceListDocument(String version) {
    ObjectNode document =
        KubernetesJson.newObject().put("kind", "APIResourceList").put("apiVersion", "v1");
    document.put("groupVersion", version).putArray("resources");
    return document;
  }

  private static void addResource(
      ObjectNode resourceList, String name, String kind, boolean namespaced, List<String> verbs) {
    ObjectNode resource =
        resourceList
            .withArray("resources")
            .addObject()
            .put("name", name)
            .put("singularName", name.contains("/") ? "" : name.substring(0, name.length() - 1))
            .put("namespaced", namespaced)
            .put("kind", kind);
    verbs.forEach(resource.putArray("verbs")::add);
  }

  /** Returns the namespace that represents a team. */
  static ObjectNode namespaceDocument(String team) {
    ObjectNode document =
        KubernetesJson.newObject().put("kind", "Namespace").put("apiVersion", "v1");
    document.putObject("metadata").put("name", team);
    document.putObject("status").put("phase", "Active");
    return document;
  }

  static ObjectNode namespaceListDocument(Collection<Team> teams) {
    ObjectNode document =
        KubernetesJson.newObject().put("kind", "NamespaceList").put("apiVersion", "v1");
    document.putObject("metadata").put("resourceVersion", "");
    var items = document.putArray("items");
    teams.forEach(team -> items.add(namespaceDocument(team.name())));
    return document;
  }
}
