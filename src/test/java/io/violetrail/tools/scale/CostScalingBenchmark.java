package io.violetrail.tools.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Doubles;
import io.violetrail.config.Settings.StateStoreLimits;
import io.violetrail.fakes.ClusterSimulation;
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
 * Measures on the in-memory fakes, in virtual time, how costs grow with the load: one dimension is
 * varied while the others stay constant, and a line is fitted to each figure. Not a test.
 */
@Command(
    name = "slopes",
    mixinStandardHelpOptions = true,
    description = "Fits the controllers' costs to the size of the load, on the in-memory fakes.")
public final class CostScalingBenchmark implements Callable<Integer> {
  /** The base for dimensions that are varied alone: the full fleet under a tenth of the load. */
  private static final LoadShape BASE = new LoadShape(3, 1_700, 3_300, 92, 0.46, 27, 16, 0.005);

  private static final double SETTLE_SECONDS = 25;
  private static final double WARM_UP_SECONDS = 20;
  private static final int JIT_WARM_UP_RUNS = 4;

  @Option(
      names = "--dimension",
      split = ",",
      description = "dimensions to vary; default: all of ${COMPLETION-CANDIDATES}")
  private List<Dimension> dimensions = List.of(Dimension.values());

  @Option(names = "--seconds", description = "measured seconds of each point (${DEFAULT-VALUE})")
  private double measuredSeconds = 60;

  @Option(names = "--seeds", description = "runs of each point, one per seed (${DEFAULT-VALUE})")
  private int seedCount = 1;

  @Option(
      names = "--changes",
      description = "limit of the state service on changes per second (${DEFAULT-VALUE})")
  private double changesPerSecond = 200;

  @Option(
      names = "--requests",
      description = "limit of the state service on requests per second (${DEFAULT-VALUE})")
  private double requestsPerSecond = 1_000;

  @Option(
      names = "--report-s",
      description = "seconds between a worker's reports (${DEFAULT-VALUE})")
  private double reportIntervalSeconds = DeploymentSetup.REPORT_INTERVAL_SECONDS;

  @Option(names = "--report", description = "JSON file for all figures")
  private Path reportFile;

  /** A dimension of the load with the measured sizes, most from a tenth of the target to all. */
  enum Dimension {
    WORKERS(170, 425, 850, 1_275, 1_700) {
      @Override
      LoadShape shapeForSize(double size) {
        return BASE.withWorkers((int) size);
      }
    },
    RUNNING_TASKS(3_300, 8_250, 16_500, 24_750, 33_000) {
      @Override
      LoadShape shapeForSize(double size) {
        return BASE.withRunningTasks((int) size);
      }
    },
    STARTS_PER_S(92, 230, 460, 690, 920) {
      @Override
      LoadShape shapeForSize(double size) {
        return BASE.withStartsPerS(size);
      }
    },
    JOBS_PER_S(0.46, 1.15, 2.3, 3.45, 4.6) {
      @Override
      LoadShape shapeForSize(double size) {
        return BASE.withJobsPerS(size);
      }
    },
    TEAMS(27, 68, 135, 202, 270) {
      @Override
      LoadShape shapeForSize(double size) {
        return LoadShape.TARGET.withTeams((int) size);
      }
    },
    GANG_WIDTH(16, 32, 64, 128) {
      @Override
      LoadShape shapeForSize(double size) {
        return LoadShape.TARGET.withGangWidth((int) size);
      }
    },
    CONTROLLERS(1, 3, 5, 7) {
      @Override
      LoadShape shapeForSize(double size) {
        return LoadShape.TARGET.withControllers((int) size);
      }
    },
    REGION_DELAY_S(0.001, 0.005, 0.015, 0.05) {
      @Override
      LoadShape shapeForSize(double size) {
        return LoadShape.TARGET.withRegionDelayS(size);
      }
    },
    /** All dimensions of the load at once, as a share of the target, with its seven controllers. */
    WHOLE(0.1, 0.25, 0.5, 0.75, 1) {
      @Override
      LoadShape shapeForSize(double size) {
        LoadShape shape = LoadShape.TARGET;
        return shape
            .withWorkers((int) (size * shape.workers()))
            .withRunningTasks((int) (size * shape.runningTasks()))
            .withStartsPerS(size * shape.startsPerS())
            .withJobsPerS(size * shape.jobsPerS())
            .withTeams((int) (size * shape.teams()))
            .withGangWidth((int) Math.max(16, size * shape.gangWidth()));
      }
    };

    private final ImmutableList<Double> sizes;

    Dimension(double... sizes) {
      this.sizes = ImmutableList.copyOf(Doubles.asList(sizes));
    }

    abstract LoadShape shapeForSize(double size);
  }

  /** The figures measured for one size and seed. */
  record Point(double size, int seed, Map<String, Double> figures) {}

  public static void main(String[] args) {
    QuietLogging.showErrorsOnly();
    System.exit(new CommandLine(new CostScalingBenchmark()).execute(args));
  }

  @Override
  public Integer call() throws IOException {
    // Lets the JIT compiler compile the program before the measured runs.
    for (int i = 0; i < JIT_WARM_UP_RUNS; i++) {
      measure(BASE, 0);
    }
    Map<String, List<Point>> pointsByDimension = new LinkedHashMap<>();
    for (Dimension dimension : dimensions) {
      List<Point> points = new ArrayList<>();
      for (double size : dimension.sizes) {
        for (int seed = 1; seed <= seedCount; seed++) {
          Point point = new Point(size, seed, measure(dimension.shapeForSize(size), seed));
          points.add(point);
          System.out.printf(
              Locale.ROOT,
              "%s %s seed %d: %s%n",
              dimension,
              size,
              seed,
              summarize(point.figures()));
        }
      }
      pointsByDimension.put(dimension.name(), points);
      printFit(dimension, points);
    }
    if (reportFile != null) {
      new ObjectMapper()
          .writerWithDefaultPrettyPrinter()
          .writeValue(reportFile.toFile(), pointsByDimension);
    }
    return 0;
  }

  private Map<String, Double> measure(LoadShape shape, int seed) {
    ClusterSimulation simulation = new ClusterSimulation(shape.controllers(), 100 + seed);
    DeploymentSetup.configure(
        simulation,
        shape,
        new StateStoreLimits(requestsPerSecond, changesPerSecond, 8192, 24),
        reportIntervalSeconds);
    simulation.startAllControllers();
    DeploymentSetup.addMachines(simulation, shape);
    simulation.runFor(SETTLE_SECONDS);
    OpenLoopLoad load = new OpenLoopLoad(simulation, shape, seed);
    double warmUpSeconds = WARM_UP_SECONDS + shape.taskDurationSeconds();
    load.start(warmUpSeconds + measuredSeconds);
    simulation.runFor(warmUpSeconds);
    LoadMeasurement measurement = LoadMeasurement.start(simulation, load);
    simulation.runFor(measuredSeconds);
    return measurement.finish();
  }

  private static String summarize(Map<String, Double> figures) {
    return String.format(
        Locale.ROOT,
        "%.1f CPU ms/s per controller, %.0f starts/s, %.1f changes/s, %.0f state requests/s,"
            + " accepted p50/p99 %.0f/%.0f ms (share %.3f), %.0f replies 503, urgent start"
            + " p50/p99/max %.0f/%.0f/%.0f ms, %.0f rule violations",
        figures.get("cpu_ms_a_s_a_controller"),
        figures.get("starts_a_s"),
        figures.get("changes/all_a_s"),
        figures.get("state_requests_a_s"),
        figures.get("accepted_ms/p50"),
        figures.get("accepted_ms/p99"),
        figures.get("accepted_share"),
        figures.get("answers_503"),
        figures.get("urgent_start_ms/p50"),
        figures.get("urgent_start_ms/p99"),
        figures.get("urgent_start_ms/max"),
        figures.get("broken_rules"));
  }

  /** Prints the slope, intercept, residual and r2 of the line fitted to each figure. */
  private static void printFit(Dimension dimension, List<Point> points) {
    for (String figure : points.get(points.size() - 1).figures().keySet()) {
      SimpleRegression regression = new SimpleRegression();
      points.forEach(
          point -> regression.addData(point.size(), point.figures().getOrDefault(figure, 0.0)));
      double residual = Math.sqrt(regression.getMeanSquareError());
      System.out.printf(
          Locale.ROOT,
          "fit %s %s: slope %.6g, intercept %.6g, residual %.3g, r2 %.3f%n",
          dimension,
          figure,
          regression.getSlope(),
          regression.getIntercept(),
          residual,
          regression.getRSquare());
    }
  }
}
