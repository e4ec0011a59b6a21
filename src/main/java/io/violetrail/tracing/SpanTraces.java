package io.violetrail.tracing;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;
import io.opentelemetry.sdk.common.Clock;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import io.violetrail.model.JobId;
import io.violetrail.model.JobView.Status;
import io.violetrail.model.MachineId;
import io.violetrail.net.Loop;
import io.violetrail.wire.kubernetes.KubeJson;
import java.util.ArrayDeque;
import java.util.Collection;

/**
 * Spans of OpenTelemetry, kept in this process: one for a job as a whole, and under it one until it
 * is stored, one until its first task is launched, and one until it is over. Jobs under way and
 * spans that are over are each bounded; the oldest make way. Nothing leaves the process by itself.
 */
public final class SpanTraces implements Traces {
  private static final AttributeKey<String> JOB = AttributeKey.stringKey("violetrail.job");
  private static final AttributeKey<String> VERDICT = AttributeKey.stringKey("violetrail.verdict");
  private static final AttributeKey<String> MACHINE = AttributeKey.stringKey("violetrail.machine");

  private final ArrayDeque<SpanData> over = new ArrayDeque<>();
  private final Cache<JobId, Way> ways;
  private final Tracer tracer;

  /** One job's spans that are open. */
  private static final class Way {
    Span whole;
    Span step;
    boolean launched;
  }

  /**
   * Creates a recorder of job traces that holds a bounded number of spans.
   *
   * @param most spans that are kept once they are over, and jobs under way
   */
  public SpanTraces(Loop loop, int most) {
    this.ways = CacheBuilder.newBuilder().maximumSize(most).build();
    SpanExporter kept =
        new SpanExporter() {
          @Override
          public CompletableResultCode export(Collection<SpanData> spans) {
            for (SpanData span : spans) {
              if (over.size() == most) {
                over.removeFirst();
              }
              over.addLast(span);
            }
            return CompletableResultCode.ofSuccess();
          }

          @Override
          public CompletableResultCode flush() {
            return CompletableResultCode.ofSuccess();
          }

          @Override
          public CompletableResultCode shutdown() {
            return CompletableResultCode.ofSuccess();
          }
        };
    this.tracer =
        SdkTracerProvider.builder()
            .setClock(new LoopClock(loop))
            .addSpanProcessor(SimpleSpanProcessor.create(kept))
            .build()
            .get("violetrail");
  }

  private record LoopClock(Loop loop) implements Clock {
    @Override
    public long now() {
      return loop.wallMillis() * 1_000_000;
    }

    @Override
    public long nanoTime() {
      return loop.nanos();
    }
  }

  private Span begin(String name, Span parent, JobId id) {
    Context in = parent == null ? Context.root() : Context.root().with(parent);
    return tracer.spanBuilder(name).setParent(in).setAttribute(JOB, id.value()).startSpan();
  }

  @Override
  public void asked(JobId id) {
    if (ways.getIfPresent(id) != null) {
      return;
    }
    Way way = new Way();
    way.whole = begin("job", null, id);
    way.step = begin("store", way.whole, id);
    ways.put(id, way);
  }

  @Override
  public void answered(JobId id, String verdict) {
    Way way = ways.getIfPresent(id);
    if (way == null || way.step == null || way.launched) {
      return;
    }
    way.step.setAttribute(VERDICT, verdict).end();
    if (verdict.equals("ACCEPTED")) {
      way.step = begin("wait", way.whole, id);
    } else {
      way.step = null;
      way.whole.setStatus(StatusCode.ERROR, verdict).end();
      ways.invalidate(id);
    }
  }

  @Override
  public void launched(JobId id, MachineId machine) {
    Way way = ways.getIfPresent(id);
    if (way != null && !way.launched) {
      way.launched = true;
      way.step.setAttribute(MACHINE, machine.value()).end();
      way.step = begin("run", way.whole, id);
    }
  }

  @Override
  public void ended(JobId id, Status status) {
    Way way = ways.getIfPresent(id);
    if (way != null) {
      way.step.end();
      way.whole.setAttribute(VERDICT, status.name()).end();
      ways.invalidate(id);
    }
  }

  @Override
  public String text() {
    StringBuilder lines = new StringBuilder();
    for (SpanData s : over) {
      ObjectNode m = KubeJson.object().put("trace", s.getTraceId()).put("span", s.getSpanId());
      m.put("parent", s.getParentSpanContext().isValid() ? s.getParentSpanId() : null);
      m.put("name", s.getName()).put("start_ns", s.getStartEpochNanos());
      m.put("took_ms", (s.getEndEpochNanos() - s.getStartEpochNanos()) / 1_000_000);
      s.getAttributes().forEach((key, value) -> m.put(key.getKey(), value.toString()));
      lines.append(m).append('\n');
    }
    return lines.toString();
  }
}
