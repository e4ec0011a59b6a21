package io.violetrail.api;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.Tag;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.violetrail.configuration.Configuration;
import io.violetrail.evidence.EvidenceLog;
import io.violetrail.evidence.HeartbeatReplyKind;
import io.violetrail.evidence.TerminationEvidence;
import io.violetrail.net.EventLoop;
import io.violetrail.net.RequestHandler.HttpResponse;
import io.violetrail.ownership.ClusterView;
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

/**
 * Renders the metrics of this controller as lines of text for operators. Percentiles of latencies
 * are computed by HdrHistogram.
 */
public final class Metrics {
  private static final Duration PERCENTILE_WINDOW = Duration.ofMinutes(10);
  private static final Duration MAX_LATENCY = Duration.ofSeconds(10);

  private final EventLoop loop;
  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
  private final Map<String, Timer> timers = new HashMap<>();

  /** Creates gauges that read their values from the given components whenever they are rendered. */
  public Metrics(
      EventLoop loop,
      ClusterView clusterView,
      Membership membership,
      Configuration configuration,
      EvidenceLog evidence) {
    this.loop = loop;
    registerGauge("lease.valid", membership, m -> m.isLeaseValid() ? 1 : 0);
    registerGauge("lease.remaining.s", membership, Membership::remainingLeaseSeconds);
    registerGauge("rows.revision", clusterView, ClusterView::revision);
    registerConfigurationGauges(configuration);
    registerEvidenceGauges(evidence);
    registerEntityGauges(membership);
  }

  private void registerConfigurationGauges(Configuration configuration) {
    if (configuration.canChange()) {
      registerGauge("configuration.revision", configuration, Configuration::revision);
      registerGauge("configuration.fresh", configuration, c -> c.isFresh() ? 1 : 0);
      registerGauge(
          "configuration.confirmed.ms", configuration, c -> c.findState().confirmedMsAgo());
    }
  }

  private void registerEntityGauges(Membership membership) {
    registerGauge("entities.held", membership, m -> m.ownedEntities().size());
    registerGauge("jobs.open", membership, m -> sumOverEntities(m, entity -> entity.jobs().size()));
    registerGauge(
        "machines", membership, m -> sumOverEntities(m, entity -> entity.machines().size()));
    registerGauge(
        "machines.silent", membership, m -> sumOverEntities(m, Metrics::countUnresponsiveMachines));
    registerGauge("tasks.placed", membership, m -> sumOverEntities(m, Metrics::countPlacedTasks));
    registerGauge("tasks.waiting", membership, m -> sumOverEntities(m, Metrics::countPendingTasks));
  }

  private static double countUnresponsiveMachines(OwnedEntity entity) {
    return entity.machines().values().stream().filter(machine -> machine.isUnresponsive()).count();
  }

  private static double countPlacedTasks(OwnedEntity entity) {
    return entity.machines().values().stream()
        .mapToInt(machine -> machine.placements().size())
        .sum();
  }

  private static double countPendingTasks(OwnedEntity entity) {
    return entity.jobs().values().stream().mapToInt(Job::unplacedCount).sum();
  }

  private void registerEvidenceGauges(EvidenceLog evidence) {
    for (HeartbeatReplyKind kind : HeartbeatReplyKind.values()) {
      registerCount("heartbeat.replies", "kind", kind.name(), () -> evidence.replyCount(kind));
    }
    for (TerminationEvidence evidenceKind : TerminationEvidence.values()) {
      registerCount(
          "starts.elsewhere",
          "proof",
          evidenceKind.name(),
          () -> evidence.startElsewhereCount(evidenceKind));
    }
    registerGauge("leases.outlived", evidence, EvidenceLog::reportAfterLeaseExpiryCount);
    registerGauge("evidence.lines.left.out", evidence, EvidenceLog::droppedLineCount);
  }

  private void registerCount(String name, String tag, String value, Supplier<Number> count) {
    Gauge.builder(name, count).tag(tag, value.toLowerCase(Locale.ROOT)).register(registry);
  }

  private <T> void registerGauge(String name, T source, ToDoubleFunction<T> value) {
    Gauge.builder(name, source, value).strongReference(true).register(registry);
  }

  private static double sumOverEntities(
      Membership membership, ToDoubleFunction<OwnedEntity> value) {
    return membership.ownedEntities().stream().mapToDouble(value).sum();
  }

  /**
   * Wraps {@code respond} so that the answer's latency, measured from this call, is recorded under
   * the kind and the answer's status.
   */
  Consumer<HttpResponse> recordLatency(String kind, Consumer<HttpResponse> respond) {
    long startedAtNanos = loop.monotonicNanos();
    return answer -> {
      timerFor(kind, answer.status())
          .record(loop.monotonicNanos() - startedAtNanos, TimeUnit.NANOSECONDS);
      respond.accept(answer);
    };
  }

  private Timer timerFor(String kind, int status) {
    return timers.computeIfAbsent(
        kind + " " + status,
        k ->
            Timer.builder("request.ms")
                .tag("kind", kind)
                .tag("status", String.valueOf(status))
                .publishPercentiles(0.5, 0.95, 0.99)
                .percentilePrecision(1)
                .maximumExpectedValue(MAX_LATENCY)
                .distributionStatisticExpiry(PERCENTILE_WINDOW)
                .distributionStatisticBufferLength(1)
                .register(registry));
  }

  String render() {
    List<String> lines = new ArrayList<>();
    for (Meter meter : registry.getMeters()) {
      StringBuilder line = new StringBuilder("violetrail.").append(meter.getId().getName());
      for (Tag tag : meter.getId().getTags()) {
        line.append(' ').append(tag.getKey()).append('=').append(tag.getValue());
      }
      if (meter instanceof Timer timer) {
        var snapshot = timer.takeSnapshot();
        line.append(" count=").append(snapshot.count());
        for (var percentile : snapshot.percentileValues()) {
          line.append(" p").append(Math.round(percentile.percentile() * 100)).append('=');
          line.append(Math.round(percentile.value(TimeUnit.MICROSECONDS)) / 1000.0);
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
