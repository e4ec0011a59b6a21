package io.violetrail.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Doubles;
import io.violetrail.config.Settings.StateLimits;
import io.violetrail.fakes.World;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import org.apache.commons.math3.stat.regression.SimpleRegression;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures on the in-memory fakes, in virtual time, what each part of the load costs: one dimension
 * is varied while the others stay, and a line is fitted to each figure. Not a test.
 */
@Command(
    name = "slopes",
    mixinStandardHelpOptions = true,
    description = "Fits the program's costs to the size of the load, on the in-memory fakes.")
public final class Slopes implements Callable<Integer> {
  /** For what is varied alone: the whole fleet under a tenth of the load. */
  private static final LoadShape BASE = new LoadShape(3, 1_700, 3_300, 92, 0.46, 27, 16, 0.005);

  private static final double SETTLE_S = 25;
  private static final double WARM_UP_S = 20;
  private static final int COMPILING_RUNS = 4;

  @Option(
      names = "--dimension",
      split = ",",
      description = "what is varied; default: all of ${COMPLETION-CANDIDATES}")
  private List<Dimension> dimensions = List.of(Dimension.values());

  @Option(names = "--seconds", description = "measured time of each point (${DEFAULT-VALUE})")
  private double seconds = 60;

  @Option(names = "--seeds", description = "runs of each point (${DEFAULT-VALUE})")
  private int seeds = 1;

  @Option(
      names = "--changes",
      description = "changes a second that the state service takes (${DEFAULT-VALUE})")
  private double changesPerS = 200;

  @Option(names = "--requests", description = "requests a second it takes (${DEFAULT-VALUE})")
  private double requestsPerS = 1_000;

  @Option(names = "--report-s", description = "seconds between reports (${DEFAULT-VALUE})")
  private double reportS = Deployment.REPORT_S;

  @Option(names = "--report", description = "JSON file for all figures")
  private Path report;

  /** What the load is varied in, with the sizes: a tenth to the whole of the target. */
  enum Dimension {
    WORKERS(170, 425, 850, 1_275, 1_700) {
      @Override
      LoadShape shape(double x) {
        return BASE.withWorkers((int) x);
      }
    },
    RUNNING_TASKS(3_300, 8_250, 16_500, 24_750, 33_000) {
      @Override
      LoadShape shape(double x) {
        return BASE.withRunningTasks((int) x);
      }
    },
    STARTS_PER_S(92, 230, 460, 690, 920) {
      @Override
      LoadShape shape(double x) {
        return BASE.withStartsPerS(x);
      }
    },
    JOBS_PER_S(0.46, 1.15, 2.3, 3.45, 4.6) {
      @Override
      LoadShape shape(double x) {
        return BASE.withJobsPerS(x);
      }
    },
    TEAMS(27, 68, 135, 202, 270) {
      @Override
      LoadShape shape(double x) {
        return LoadShape.TARGET.withTeams((int) x);
      }
    },
    GANG_WIDTH(16, 32, 64, 128) {
      @Override
      LoadShape shape(double x) {
        return LoadShape.TARGET.withGangWidth((int) x);
      }
    },
    CONTROLLERS(1, 3, 5, 7) {
      @Override
      LoadShape shape(double x) {
        return LoadShape.TARGET.withControllers((int) x);
      }
    },
    REGION_DELAY_S(0.001, 0.005, 0.015, 0.05) {
      @Override
      LoadShape shape(double x) {
        return LoadShape.TARGET.withRegionDelayS(x);
      }
    },
    /** All at once, as a part of the target with its seven controllers. */
    WHOLE(0.1, 0.25, 0.5, 0.75, 1) {
      @Override
      LoadShape shape(double x) {
        LoadShape t = LoadShape.TARGET;
        return t.withWorkers((int) (x * t.workers()))
            .withRunningTasks((int) (x * t.runningTasks()))
            .withStartsPerS(x * t.startsPerS())
            .withJobsPerS(x * t.jobsPerS())
            .withTeams((int) (x * t.teams()))
            .withGangWidth((int) Math.max(16, x * t.gangWidth()));
      }
    };

    private final ImmutableList<Double> sizes;

    Dimension(double... sizes) {
      this.sizes = ImmutableList.copyOf(Doubles.asList(sizes));
    }

    abstract LoadShape shape(double x);
  }

  /** One measured point. */
  record Point(double size, int seed, Map<String, Double> figures) {}

  public static void main(String[] args) {
    Logging.errorsOnly();
    System.exit(new CommandLine(new Slopes()).execute(args));
  }

  @Override
  public Integer call() throws IOException {
    // Compiles the program before anything counts.
    for (int i = 0; i < COMPILING_RUNS; i++) {
      measure(BASE, 0);
    }
    Map<String, List<Point>> all = new LinkedHashMap<>();
    for (Dimension d : dimensions) {
      List<Point> points = new ArrayList<>();
      for (double size : d.sizes) {
        for (int seed = 1; seed <= seeds; seed++) {
          Point p = new Point(size, seed, measure(d.shape(size), seed));
          points.add(p);
          System.out.printf(Locale.ROOT, "%s %s seed %d: %s%n", d, size, seed, brief(p.figures()));
        }
      }
      all.put(d.name(), points);
      fit(d, points);
    }
    if (report != null) {
      new ObjectMapper().writerWithDefaultPrettyPrinter().writeValue(report.toFile(), all);
    }
    return 0;
  }

  private Map<String, Double> measure(LoadShape shape, int seed) {
    World world = new World(shape.controllers(), 100 + seed);
    Deployment.configure(
        world, shape, new StateLimits(requestsPerS, changesPerS, 8192, 24), reportS);
    world.up();
    Deployment.machines(world, shape);
    world.run(SETTLE_S);
    OpenLoad load = new OpenLoad(world, shape, seed);
    double warmUpS = WARM_UP_S + shape.taskS();
    load.start(warmUpS + seconds);
    world.run(warmUpS);
    Sample sample = Sample.begin(world, load);
    world.run(seconds);
    return sample.end();
  }

  private static String brief(Map<String, Double> f) {
    return String.format(
        Locale.ROOT,
        "%.1f ms a s a controller, %.0f starts a s, %.1f changes a s, %.0f state requests a s,"
            + " accepted p50/p99 %.0f/%.0f ms (%.3f), %.0f answers 503, urgent p50/p99/max"
            + " %.0f/%.0f/%.0f ms, broken %.0f",
        f.get("cpu_ms_a_s_a_controller"),
        f.get("starts_a_s"),
        f.get("changes/all_a_s"),
        f.get("state_requests_a_s"),
        f.get("accepted_ms/p50"),
        f.get("accepted_ms/p99"),
        f.get("accepted_share"),
        f.get("answers_503"),
        f.get("urgent_start_ms/p50"),
        f.get("urgent_start_ms/p99"),
        f.get("urgent_start_ms/max"),
        f.get("broken_rules"));
  }

  /** Prints slope, intercept and residual of each figure that changes with the size. */
  private static void fit(Dimension d, List<Point> points) {
    for (String figure : points.get(points.size() - 1).figures().keySet()) {
      SimpleRegression line = new SimpleRegression();
      points.forEach(p -> line.addData(p.size(), p.figures().getOrDefault(figure, 0.0)));
      double residual = Math.sqrt(line.getMeanSquareError());
      System.out.printf(
          Locale.ROOT,
          "fit %s %s: slope %.6g, intercept %.6g, residual %.3g, r2 %.3f%n",
          d,
          figure,
          line.getSlope(),
          line.getIntercept(),
          residual,
          line.getRSquare());
    }
  }
}
