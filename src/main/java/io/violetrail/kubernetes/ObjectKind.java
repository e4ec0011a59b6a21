package io.violetrail.kubernetes;

/** The kinds of objects that this API stores. */
public enum ObjectKind {
  JOB("Job", "batch", "jobs", "job"),
  DEPLOYMENT("Deployment", "apps", "deployments", "deployment");

  private final String publishedName;
  private final String group;
  private final String plural;
  private final String keySegment;

  ObjectKind(String publishedName, String group, String plural, String keySegment) {
    this.publishedName = publishedName;
    this.group = group;
    this.plural = plural;
    this.keySegment = keySegment;
  }

  public String publishedName() {
    return publishedName;
  }

  public String group() {
    return group;
  }

  public String apiVersion() {
    return group + "/v1";
  }

  public String plural() {
    return plural;
  }

  /** Returns the name that errors use, such as {@code jobs.batch}. */
  String qualifiedResource() {
    return plural + "." + group;
  }

  String keySegment() {
    return keySegment;
  }

  /** Returns the kind with the given API group and plural name, or null if there is none. */
  static ObjectKind find(String group, String plural) {
    for (ObjectKind candidate : values()) {
      if (candidate.group.equals(group) && candidate.plural.equals(plural)) {
        return candidate;
      }
    }
    return null;
  }

  /** Returns the kind that a manifest declares, or null if it is not supported. */
  public static ObjectKind findForManifest(String apiVersion, String kind) {
    for (ObjectKind candidate : values()) {
      if (candidate.apiVersion().equals(apiVersion) && candidate.publishedName.equals(kind)) {
        return candidate;
      }
    }
    return null;
  }
}
