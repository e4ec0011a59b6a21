package io.violetrail.api;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.Tag;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.violetrail.evidence.EvidenceLog;
import io.violetrail.evidence.GoneProof;
import io.violetrail.evidence.ReplyKind;
import io.violetrail.net.Service.Answer;
import io.violetrail.node.Node;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.Job;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

/** Figures for operators, as lines of text. Latencies go through HdrHistogram. */
final class Metrics {
  private static final Duration WINDOW = Duration.ofMinutes(10);
  private static final Duration LONGEST = Duration.ofSeconds(10);

  private final Node node;
  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
  private final Map<String, Timer> timers = new HashMap<>();

  Metrics(Node node) {
    this.node = node;
    gauge("lease.valid", n -> n.membership.valid() ? 1 : 0);
    if (node.configuration.canChange()) {
      gauge("configuration.revision", n -> n.configuration.revision());
      gauge("configuration.fresh", n -> n.configuration.fresh() ? 1 : 0);
      gauge("configuration.confirmed.ms", n -> n.configuration.state().confirmedMsAgo());
    }
    evidence(node.evidence);
    gauge("entities.held", n -> n.membership.holdings().size());
    gauge("jobs.open", n -> sum(n, h -> h.jobs.size()));
    gauge("machines", n -> sum(n, h -> h.machines.size()));
    gauge(
        "machines.silent",
        n -> sum(n, h -> h.machines.values().stream().filter(m -> m.silent).count()));
    gauge(
        "tasks.placed",
        n -> sum(n, h -> h.machines.values().stream().mapToInt(m -> m.tasks().size()).sum()));
    gauge(
        "tasks.waiting", n -> sum(n, h -> h.jobs.values().stream().mapToInt(Job::unplaced).sum()));
  }

  private void evidence(EvidenceLog evidence) {
    for (ReplyKind kind : ReplyKind.values()) {
      counted("heartbeat.replies", "kind", kind.name(), () -> evidence.replies(kind));
    }
    for (GoneProof proof : GoneProof.values()) {
      counted("starts.elsewhere", "proof", proof.name(), () -> evidence.startsElsewhere(proof));
    }
    gauge("leases.outlived", n -> n.evidence.outlivedLeases());
    gauge("evidence.lines.left.out", n -> n.evidence.droppedLines());
    gauge("lease.remaining.s", n -> n.membership.remainingS());
    gauge("rows.revision", n -> n.directory.revision());
  }

  private void counted(String name, String tag, String value, Supplier<Number> count) {
    Gauge.builder(name, count).tag(tag, value.toLowerCase(Locale.ROOT)).register(registry);
  }

  private void gauge(String name, ToDoubleFunction<Node> value) {
    Gauge.builder(name, node, value).register(registry);
  }

  private static double sum(Node n, ToDoubleFunction<OwnedEntity> value) {
    return n.membership.holdings().stream().mapToDouble(value).sum();
  }

  /** Counts an answer and how long it took. */
  Consumer<Answer> timed(String kind, Consumer<Answer> done) {
    long began = node.loop.nanos();
    return answer -> {
      timer(kind, answer.status()).record(node.loop.nanos() - began, TimeUnit.NANOSECONDS);
      done.accept(answer);
    };
  }

  private Timer timer(String kind, int status) {
    return timers.computeIfAbsent(
        kind + " " + status,
        k ->
            Timer.builder("request.ms")
                .tag("kind", kind)
                .tag("status", String.valueOf(status))
                .publishPercentiles(0.5, 0.95, 0.99)
                .percentilePrecision(1)
                .maximumExpectedValue(LONGEST)
                .distributionStatisticExpiry(WINDOW)
                .distributionStatisticBufferLength(1)
                .register(registry));
  }

  String text() {
    List<String> lines = new ArrayList<>();
    for (Meter meter : registry.getMeters()) {
      StringBuilder line = new StringBuilder("violetrail.").append(meter.getId().getName());
      for (Tag tag : meter.getId().getTags()) {
        line.append(' ').append(tag.getKey()).append('=').append(tag.getValue());
      }
      if (meter instanceof Timer timer) {
        var s = timer.takeSnapshot();
        line.append(" count=").append(s.count());
        for (var p : s.percentileValues()) {
          line.append(" p").append(Math.round(p.percentile() * 100)).append('=');
          line.append(Math.round(p.value(TimeUnit.MICROSECONDS)) / 1000.0);
        }
      } else if (meter instanceof Gauge gauge) {
        line.append(' ').append(gauge.value());
      }
      lines.add(line.toString());
    }
    lines.sort(null);
    return String.join("\n", lines) + "\n";
  }
}
