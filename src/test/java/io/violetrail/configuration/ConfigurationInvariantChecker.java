package io.violetrail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Team;
import io.violetrail.controller.Controller;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.ownership.StateSchema;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.Entry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks invariants against the rows of the state service at every step while the configuration
 * changes. The invariants are:
 *
 * <ul>
 *   <li>No team uses more than the largest limit that may be in force.
 *   <li>No controller starts tasks under a revision that was replaced longer ago than the staleness
 *       bound.
 *   <li>Revision numbers have no gaps, and the parts and the digest of each revision are
 *       consistent.
 *   <li>The sum of a team's quota shares grows only as far as a limit that may be in force allows.
 * </ul>
 */
final class ConfigurationInvariantChecker {
  private static final double CHECK_INTERVAL_SECONDS = 0.05;
  private static final double ROUNDING_TOLERANCE = 1e-3;

  private final ClusterSimulation simulation;
  private final List<Revision> revisions = new ArrayList<>();
  private final Map<String, Double> quotaShareSums = new HashMap<>();

  /** A revision with its content and the simulated time at which it was first seen. */
  private record Revision(long number, double sinceSeconds, ClusterConfiguration content) {}

  ConfigurationInvariantChecker(ClusterSimulation simulation) {
    this.simulation = simulation;
    revisions.add(
        new Revision(
            0,
            Double.NEGATIVE_INFINITY,
            new ClusterConfiguration(
                Map.copyOf(simulation.teams()), java.util.Set.of(), List.of())));
    simulation.setTeamLimit(this::largestLimit);
    check();
  }

  long latestRevision() {
    return revisions.get(revisions.size() - 1).number();
  }

  private void check() {
    JsonNode head = simulation.stateService().findValue(StateSchema.CONFIGURATION_KEY);
    if (head != null) {
      ConfigurationHead.Revision newest =
          ConfigurationHead.fromRow(new Entry(StateSchema.CONFIGURATION_KEY, head, 1)).findLatest();
      if (newest.number() != latestRevision()) {
        reportViolationIf(
            "revision numbers skip from " + latestRevision() + " to " + newest.number(),
            newest.number() != latestRevision() + 1);
        revisions.add(new Revision(newest.number(), simulation.nowSeconds(), readContent(newest)));
      }
    }
    simulation.controllers().values().forEach(this::checkFreshness);
    simulation
        .stateService()
        .keysWithPrefix(StateSchema.QUOTA_SHARE_PREFIX)
        .forEach(this::checkQuotaShareSum);
    simulation.runAfter(CHECK_INTERVAL_SECONDS, this::check);
  }

  private void reportViolationIf(String description, boolean violated) {
    if (violated) {
      simulation.violations().add("configuration: " + description);
    }
  }

  private ClusterConfiguration readContent(ConfigurationHead.Revision revision) {
    ObjectNode tree = Cbor.newMap();
    var teams = tree.putArray("teams");
    var objectives = tree.putArray("objectives");
    for (String key : revision.partKeys()) {
      JsonNode part = simulation.stateService().findValue(key);
      reportViolationIf("part " + key + " that the head refers to is missing", part == null);
      if (part != null) {
        part.path("teams").forEach(teams::add);
        part.path("objectives").forEach(objectives::add);
      }
    }
    ClusterConfiguration content = ClusterConfiguration.fromTree(tree);
    reportViolationIf(
        "the content does not match the digest in the head",
        !content.digest().equals(revision.digest()));
    return content;
  }

  /**
   * Returns the revisions that were in force within the staleness bound. The bound is extended by
   * one check interval, because a replacement is seen up to one interval late.
   */
  private List<Revision> revisionsPossiblyInForce() {
    double sinceSeconds =
        simulation.nowSeconds()
            - ConfigurationFollower.MAX_STALENESS_SECONDS
            - CHECK_INTERVAL_SECONDS;
    List<Revision> possible = new ArrayList<>();
    for (int i = 0; i < revisions.size(); i++) {
      boolean replacedLongAgo =
          i + 1 < revisions.size() && revisions.get(i + 1).sinceSeconds() < sinceSeconds;
      if (!replacedLongAgo) {
        possible.add(revisions.get(i));
      }
    }
    return possible;
  }

  private Team largestLimit(String name) {
    double cpus = 0;
    double gpus = 0;
    for (Revision revision : revisionsPossiblyInForce()) {
      Team team = revision.content().teams().get(name);
      cpus = team == null ? cpus : Math.max(cpus, team.maxCpus());
      gpus = team == null ? gpus : Math.max(gpus, team.maxGpus());
    }
    return new Team(name, 0, 0, cpus, gpus);
  }

  private void checkFreshness(Controller controller) {
    if (!controller.configuration().isFresh()) {
      return;
    }
    long oldest = revisionsPossiblyInForce().get(0).number();
    reportViolationIf(
        controller.settings().self()
            + " may start tasks under the replaced revision "
            + controller.configuration().revision(),
        controller.configuration().revision() < oldest);
  }

  private void checkQuotaShareSum(String key) {
    String team = key.substring(StateSchema.QUOTA_SHARE_PREFIX.length());
    double sum = 0;
    for (JsonNode share : simulation.stateService().findValue(key)) {
      double cpus = share.path(0).asDouble();
      sum += cpus < 0 ? Double.POSITIVE_INFINITY : cpus;
    }
    double previousSum = quotaShareSums.getOrDefault(team, Double.POSITIVE_INFINITY);
    double allowed = Math.max(previousSum, largestLimit(team).maxCpus());
    reportViolationIf(
        "quota shares of " + team + " grow to " + sum + ", above " + allowed,
        sum > allowed + ROUNDING_TOLERANCE);
    quotaShareSums.put(team, sum);
  }
}
