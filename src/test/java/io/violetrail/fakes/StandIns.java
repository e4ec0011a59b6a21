package io.violetrail.fakes;

import io.violetrail.config.Settings.HostPort;
import io.violetrail.net.UndertowHttp;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The state service, the cloud and its workers as one process on loopback, for controllers that are
 * real processes: to try violetrail without anything else, and to measure its interfaces. The
 * stories' own fakes, run by the real clock.
 */
public final class StandIns {
  private static final double ANSWER_S = 4;

  private final World world;
  private final int port;
  private final int controllers;

  private StandIns(int port, int controllers, double taskS) {
    this.port = port;
    this.controllers = controllers;
    this.world = new World(controllers, System.nanoTime());
    this.world.cloud.runS = taskS;
  }

  /** Arguments: directory for the settings files, first port, controllers, seconds a task runs. */
  public static void main(String[] args) throws IOException {
    Path dir = Path.of(args[0]);
    StandIns all =
        new StandIns(
            Integer.parseInt(args[1]), Integer.parseInt(args[2]), Double.parseDouble(args[3]));
    Files.createDirectories(dir);
    for (int i = 0; i < all.controllers; i++) {
      Files.writeString(dir.resolve(World.name(i) + ".toml"), all.settings(i));
    }
    all.start();
    System.out.println("settings in " + dir + ", users at port " + all.api(0).port());
  }

  private HostPort api(int i) {
    return new HostPort(LiveWorld.HOST, port + 10 + i);
  }

  private HostPort listen(int i) {
    return new HostPort(LiveWorld.HOST, port + 20 + i);
  }

  private String settings(int i) {
    Map<String, HostPort> peers = new LinkedHashMap<>();
    for (int k = 0; k < controllers; k++) {
      if (k != i) {
        peers.put(World.name(k), listen(k));
      }
    }
    return SettingsFile.text(
        world,
        World.name(i),
        "a",
        new SettingsFile.Addresses(
            api(i),
            listen(i),
            peers,
            new HostPort(LiveWorld.HOST, port + 1),
            new HostPort(LiveWorld.HOST, port)));
  }

  private void start() throws IOException {
    LiveWorld live = new LiveWorld(world);
    UndertowHttp http = live.newHttp();
    world.outside =
        (from, node, method, path, body) ->
            http.call(api(Integer.parseInt(node.substring(1))), method, path, body, ANSWER_S);
    live.start();
    live.serve(port, LiveWorld.askedBy("process", world.state));
    live.serve(port + 1, LiveWorld.askedBy("process", world.cloud));
  }
}
