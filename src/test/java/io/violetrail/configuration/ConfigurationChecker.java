package io.violetrail.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.Team;
import io.violetrail.controller.Controller;
import io.violetrail.fakes.World;
import io.violetrail.ownership.Rows;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateWire.Entry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What must hold at every moment while the configuration changes, by the rows of the state service:
 * no team uses more than the largest limit that could be in force, no controller starts tasks by a
 * revision that was replaced longer ago than the bound, and slices only add up to more where a
 * limit allows it.
 */
final class ConfigurationChecker {
  private static final double EVERY_S = 0.05;
  private static final double ROUNDING = 1e-3;

  private final World world;
  private final List<Revision> revisions = new ArrayList<>();
  private final Map<String, Double> sums = new HashMap<>();

  /** A revision with its content, and since when it is in force. */
  private record Revision(long number, double sinceS, ClusterConfiguration content) {}

  ConfigurationChecker(World world) {
    this.world = world;
    revisions.add(
        new Revision(
            0,
            Double.NEGATIVE_INFINITY,
            new ClusterConfiguration(Map.copyOf(world.teams), java.util.Set.of(), List.of())));
    world.limitOf = this::largestLimit;
    tick();
  }

  long revision() {
    return revisions.get(revisions.size() - 1).number();
  }

  private void tick() {
    JsonNode head = world.state.value(Rows.CONFIGURATION);
    if (head != null) {
      ConfigurationHead.Revision newest =
          ConfigurationHead.of(new Entry(Rows.CONFIGURATION, head, 1)).newest();
      if (newest.number() != revision()) {
        broken(
            "revisions skip from " + revision() + " to " + newest.number(),
            newest.number() != revision() + 1);
        revisions.add(new Revision(newest.number(), world.now(), content(newest)));
      }
    }
    world.nodes.values().forEach(this::checkFreshness);
    world.state.keys(Rows.SLICE).forEach(this::checkSum);
    world.at(EVERY_S, this::tick);
  }

  private void broken(String what, boolean is) {
    if (is) {
      world.broken.add("configuration: " + what);
    }
  }

  private ClusterConfiguration content(ConfigurationHead.Revision revision) {
    ObjectNode tree = Cbor.map();
    var teams = tree.putArray("teams");
    var objectives = tree.putArray("objectives");
    for (String key : revision.keys()) {
      JsonNode part = world.state.value(key);
      broken("part " + key + " of the head is missing", part == null);
      if (part != null) {
        part.path("teams").forEach(teams::add);
        part.path("objectives").forEach(objectives::add);
      }
    }
    ClusterConfiguration content = ClusterConfiguration.ofTree(tree);
    broken("the head's digest is another", !content.digest().equals(revision.digest()));
    return content;
  }

  /** Revisions that were in force within the bound; what was seen is as old as a step. */
  private List<Revision> couldBeInForce() {
    double since = world.now() - ConfigurationFollower.IN_FORCE_S - EVERY_S;
    List<Revision> all = new ArrayList<>();
    for (int i = 0; i < revisions.size(); i++) {
      boolean replacedLongAgo = i + 1 < revisions.size() && revisions.get(i + 1).sinceS() < since;
      if (!replacedLongAgo) {
        all.add(revisions.get(i));
      }
    }
    return all;
  }

  private Team largestLimit(String name) {
    double cpus = 0;
    double gpus = 0;
    for (Revision r : couldBeInForce()) {
      Team t = r.content().teams().get(name);
      cpus = t == null ? cpus : Math.max(cpus, t.cpusMax());
      gpus = t == null ? gpus : Math.max(gpus, t.gpusMax());
    }
    return new Team(name, 0, 0, cpus, gpus);
  }

  private void checkFreshness(Controller node) {
    if (!node.configuration().fresh()) {
      return;
    }
    long oldest = couldBeInForce().get(0).number();
    broken(
        node.settings().self() + " starts by revision " + node.configuration().revision(),
        node.configuration().revision() < oldest);
  }

  private void checkSum(String key) {
    String team = key.substring(Rows.SLICE.length());
    double sum = 0;
    for (JsonNode slice : world.state.value(key)) {
      double cpus = slice.path(0).asDouble();
      sum += cpus < 0 ? Double.POSITIVE_INFINITY : cpus;
    }
    double before = sums.getOrDefault(team, Double.POSITIVE_INFINITY);
    double allowed = Math.max(before, largestLimit(team).cpusMax());
    broken("slices of " + team + " grow to " + sum, sum > allowed + ROUNDING);
    sums.put(team, sum);
  }
}
