package io.violetrail.scale;

import io.violetrail.config.Settings.StateLimits;
import io.violetrail.fakes.LiveWorld;
import io.violetrail.fakes.World;
import io.violetrail.net.Service.Answer;
import io.violetrail.wire.Cbor;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The state service's stand-in as a process of its own; {@code GET /stats} tells its counts. */
@Command(name = "state", mixinStandardHelpOptions = true)
public final class StateProcess implements Callable<Integer> {
  static final String STATS = "/stats";

  @Option(names = "--port", required = true)
  private int port;

  @Option(names = "--requests", required = true, description = "requests a second")
  private double requestsPerS;

  @Option(names = "--changes", required = true, description = "changes a second")
  private double changesPerS;

  /** Serves a state service until the process is ended. */
  public static void main(String[] args) {
    Logging.errorsOnly();
    int status = new CommandLine(new StateProcess()).execute(args);
    if (status != 0) {
      System.exit(status);
    }
  }

  @Override
  public Integer call() throws IOException {
    World world = new World(1, 1);
    world.stateLimits = new StateLimits(requestsPerS, changesPerS, 8192, 24);
    world.state.limited = true;
    LiveWorld live = new LiveWorld(world);
    live.start();
    live.serve(
        port,
        (method, path, body, done) -> {
          if (path.equals(STATS)) {
            done.accept(Answer.of(200, stats(world)));
          } else {
            world.state.handle(method, "process " + path, body, done);
          }
        });
    return 0;
  }

  private static com.fasterxml.jackson.databind.node.ObjectNode stats(World world) {
    var m = Cbor.map();
    var requests = m.putObject("requests");
    world.state.requestsByKind.forEach(requests::put);
    var changes = m.putObject("changes");
    world.state.writesByUse.forEach(changes::put);
    return m.put("writes", world.state.writes).put("over_limit", world.state.overLimit);
  }
}
