package io.violetrail.api;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.Tag;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.violetrail.configuration.Configuration;
import io.violetrail.evidence.EvidenceLog;
import io.violetrail.evidence.GoneProof;
import io.violetrail.evidence.ReplyKind;
import io.violetrail.net.Loop;
import io.violetrail.net.Service.Answer;
import io.violetrail.ownership.Directory;
import io.violetrail.ownership.Membership;
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
public final class Metrics {
  private static final Duration WINDOW = Duration.ofMinutes(10);
  private static final Duration LONGEST = Duration.ofSeconds(10);

  private final Loop loop;
  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
  private final Map<String, Timer> timers = new HashMap<>();

  /** Reads what it shows from the given parts whenever it is asked for. */
  public Metrics(
      Loop loop,
      Directory directory,
      Membership membership,
      Configuration configuration,
      EvidenceLog evidence) {
    this.loop = loop;
    gauge("lease.valid", membership, m -> m.valid() ? 1 : 0);
    gauge("lease.remaining.s", membership, Membership::remainingS);
    gauge("rows.revision", directory, Directory::revision);
    configurationGauges(configuration);
    evidenceGauges(evidence);
    entityGauges(membership);
  }

  private void configurationGauges(Configuration configuration) {
    if (configuration.canChange()) {
      gauge("configuration.revision", configuration, Configuration::revision);
      gauge("configuration.fresh", configuration, c -> c.fresh() ? 1 : 0);
      gauge("configuration.confirmed.ms", configuration, c -> c.state().confirmedMsAgo());
    }
  }

  private void entityGauges(Membership membership) {
    gauge("entities.held", membership, m -> m.holdings().size());
    gauge("jobs.open", membership, m -> sum(m, entity -> entity.jobs().size()));
    gauge("machines", membership, m -> sum(m, entity -> entity.machines().size()));
    gauge("machines.silent", membership, m -> sum(m, Metrics::silentMachines));
    gauge("tasks.placed", membership, m -> sum(m, Metrics::placedTasks));
    gauge("tasks.waiting", membership, m -> sum(m, Metrics::pendingTasks));
  }

  private static double silentMachines(OwnedEntity entity) {
    return entity.machines().values().stream().filter(machine -> machine.silent()).count();
  }

  private static double placedTasks(OwnedEntity entity) {
    return entity.machines().values().stream().mapToInt(machine -> machine.tasks().size()).sum();
  }

  private static double pendingTasks(OwnedEntity entity) {
    return entity.jobs().values().stream().mapToInt(Job::unplaced).sum();
  }

  private void evidenceGauges(EvidenceLog evidence) {
    for (ReplyKind kind : ReplyKind.values()) {
      counted("heartbeat.replies", "kind", kind.name(), () -> evidence.replies(kind));
    }
    for (GoneProof proof : GoneProof.values()) {
      counted("starts.elsewhere", "proof", proof.name(), () -> evidence.startsElsewhere(proof));
    }
    gauge("leases.outlived", evidence, EvidenceLog::outlivedLeases);
    gauge("evidence.lines.left.out", evidence, EvidenceLog::droppedLines);
  }

  private void counted(String name, String tag, String value, Supplier<Number> count) {
    Gauge.builder(name, count).tag(tag, value.toLowerCase(Locale.ROOT)).register(registry);
  }

  private <T> void gauge(String name, T source, ToDoubleFunction<T> value) {
    Gauge.builder(name, source, value).strongReference(true).register(registry);
  }

  private static double sum(Membership membership, ToDoubleFunction<OwnedEntity> value) {
    return membership.holdings().stream().mapToDouble(value).sum();
  }

  /** Counts an answer and how long it took. */
  Consumer<Answer> timed(String kind, Consumer<Answer> done) {
    long began = loop.nanos();
    return answer -> {
      timer(kind, answer.status()).record(loop.nanos() - began, TimeUnit.NANOSECONDS);
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
