package io.violetrail.tools;

import io.violetrail.config.Settings.HostPort;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.RealTimeSimulation;
import io.violetrail.fakes.SettingsFileWriter;
import io.violetrail.net.UndertowHttpClient;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Runs the state service, the cloud and its workers as one process on loopback, for controllers
 * that are real processes. This makes it possible to try violetrail without other services and to
 * measure its interfaces. The fakes are those of the simulation, driven by the real clock.
 */
public final class StandaloneFakes {
  private static final double REQUEST_TIMEOUT_SECONDS = 4;

  private final ClusterSimulation simulation;
  private final int firstPort;
  private final int controllerCount;

  private StandaloneFakes(int firstPort, int controllerCount, double taskDurationSeconds) {
    this.firstPort = firstPort;
    this.controllerCount = controllerCount;
    this.simulation = new ClusterSimulation(controllerCount, System.nanoTime());
    this.simulation.cloud().setTaskDurationSeconds(taskDurationSeconds);
  }

  /**
   * Arguments: directory for the settings files, first port, number of controllers, task duration
   * in seconds.
   */
  public static void main(String[] args) throws IOException {
    Path directory = Path.of(args[0]);
    StandaloneFakes fakes =
        new StandaloneFakes(
            Integer.parseInt(args[1]), Integer.parseInt(args[2]), Double.parseDouble(args[3]));
    Files.createDirectories(directory);
    for (int number = 0; number < fakes.controllerCount; number++) {
      Files.writeString(
          directory.resolve(ClusterSimulation.controllerName(number) + ".toml"),
          fakes.settingsText(number));
    }
    fakes.start();
    System.out.println(
        "settings files are in "
            + directory
            + "; the API of controller c0 is on port "
            + fakes.apiAddress(0).port());
  }

  private HostPort apiAddress(int number) {
    return new HostPort(RealTimeSimulation.HOST, firstPort + 10 + number);
  }

  private HostPort peerAddress(int number) {
    return new HostPort(RealTimeSimulation.HOST, firstPort + 20 + number);
  }

  private String settingsText(int number) {
    Map<String, HostPort> peers = new LinkedHashMap<>();
    for (int peer = 0; peer < controllerCount; peer++) {
      if (peer != number) {
        peers.put(ClusterSimulation.controllerName(peer), peerAddress(peer));
      }
    }
    return SettingsFileWriter.formatSettings(
        simulation,
        ClusterSimulation.controllerName(number),
        "a",
        new SettingsFileWriter.Addresses(
            apiAddress(number),
            peerAddress(number),
            peers,
            new HostPort(RealTimeSimulation.HOST, firstPort + 1),
            new HostPort(RealTimeSimulation.HOST, firstPort)));
  }

  private void start() throws IOException {
    RealTimeSimulation realTimeSimulation = new RealTimeSimulation(simulation);
    UndertowHttpClient http = realTimeSimulation.newHttpClient();
    simulation.setExternalControllers(
        (from, controller, method, path, body) ->
            http.call(
                apiAddress(Integer.parseInt(controller.substring(1))),
                method,
                path,
                body,
                REQUEST_TIMEOUT_SECONDS));
    realTimeSimulation.start();
    realTimeSimulation.serve(
        firstPort, RealTimeSimulation.withCaller("process", simulation.stateService()));
    realTimeSimulation.serve(
        firstPort + 1, RealTimeSimulation.withCaller("process", simulation.cloud()));
  }
}
