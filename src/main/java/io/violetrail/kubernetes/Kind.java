package io.violetrail.kubernetes;

/** The kinds of objects that are kept. */
public enum Kind {
  JOB("Job", "batch", "jobs", "job"),
  DEPLOYMENT("Deployment", "apps", "deployments", "deployment");

  private final String published;
  private final String group;
  private final String plural;
  private final String row;

  Kind(String published, String group, String plural, String row) {
    this.published = published;
    this.group = group;
    this.plural = plural;
    this.row = row;
  }

  public String published() {
    return published;
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

  /** As errors name it: {@code jobs.batch}. */
  String resource() {
    return plural + "." + group;
  }

  String row() {
    return row;
  }

  /** The kind with this name in its group, null if there is none. */
  static Kind of(String group, String plural) {
    for (Kind k : values()) {
      if (k.group.equals(group) && k.plural.equals(plural)) {
        return k;
      }
    }
    return null;
  }

  /** The kind that a manifest names, null if it is none of ours. */
  public static Kind ofManifest(String apiVersion, String kind) {
    for (Kind k : values()) {
      if (k.apiVersion().equals(apiVersion) && k.published.equals(kind)) {
        return k;
      }
    }
    return null;
  }
}
