package io.violetrail.tools.scale;

import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.fakes.RealTimeSimulation;
import io.violetrail.net.RequestHandler.HttpResponse;
import io.violetrail.wire.Cbor;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the fake state service as a separate process; {@code GET /stats} returns its counts. */
@Command(name = "state", mixinStandardHelpOptions = true)
public final class StateServiceProcess implements Callable<Integer> {
  static final String STATS_PATH = "/stats";

  @Option(names = "--port", required = true)
  private int port;

  @Option(names = "--requests", required = true, description = "limit on requests per second")
  private double requestsPerSecond;

  @Option(names = "--changes", required = true, description = "limit on changes per second")
  private double changesPerSecond;

  /** Serves the state service until the process is killed. */
  public static void main(String[] args) {
    QuietLogging.showErrorsOnly();
    int status = new CommandLine(new StateServiceProcess()).execute(args);
    if (status != 0) {
      System.exit(status);
    }
  }

  @Override
  public Integer call() throws IOException {
    ClusterSimulation simulation = new ClusterSimulation(1, 1);
    simulation.setStateLimits(new StateStoreLimits(requestsPerSecond, changesPerSecond, 8192, 24));
    simulation.stateService().setEnforcesLimits(true);
    RealTimeSimulation realTimeSimulation = new RealTimeSimulation(simulation);
    realTimeSimulation.start();
    realTimeSimulation.serve(
        port,
        (method, path, body, done) -> {
          if (path.equals(STATS_PATH)) {
            done.accept(HttpResponse.of(200, statsMessage(simulation)));
          } else {
            simulation.stateService().handle(method, "process " + path, body, done);
          }
        });
    return 0;
  }

  private static com.fasterxml.jackson.databind.node.ObjectNode statsMessage(
      ClusterSimulation simulation) {
    var message = Cbor.newMap();
    var requests = message.putObject("requests");
    simulation.stateService().requestCountByKind().forEach(requests::put);
    var changes = message.putObject("changes");
    simulation.stateService().writeCountByPurpose().forEach(changes::put);
    return message
        .put("writes", simulation.stateService().writeCount())
        .put("over_limit", simulation.stateService().overLimitCount());
  }
}
