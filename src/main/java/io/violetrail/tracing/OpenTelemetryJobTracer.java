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
import io.violetrail.model.JobView.JobStatus;
import io.violetrail.model.MachineId;
import io.violetrail.net.EventLoop;
import io.violetrail.wire.kubernetes.KubernetesJson;
import java.util.ArrayDeque;
import java.util.Collection;

/**
 * Records OpenTelemetry spans in this process: one for the whole job, and as its children one until
 * the job is stored, one until its first task is launched, and one until the job has ended. The
 * numbers of open jobs and of finished spans are each bounded; the oldest are dropped. Spans leave
 * the process only through {@link #finishedSpansAsJsonLines}.
 */
public final class OpenTelemetryJobTracer implements JobTracer {
  private static final AttributeKey<String> JOB_ATTRIBUTE =
      AttributeKey.stringKey("violetrail.job");
  private static final AttributeKey<String> VERDICT_ATTRIBUTE =
      AttributeKey.stringKey("violetrail.verdict");
  private static final AttributeKey<String> MACHINE_ATTRIBUTE =
      AttributeKey.stringKey("violetrail.machine");

  private final ArrayDeque<SpanData> finishedSpans = new ArrayDeque<>();
  private final Cache<JobId, JobSpans> openSpansByJob;
  private final Tracer tracer;

  /** The open spans of one job. */
  private static final class JobSpans {
    Span jobSpan;
    Span phaseSpan;
    boolean taskLaunched;
  }

  /**
   * Creates a tracer that holds a bounded number of spans.
   *
   * @param maxSpans maximum number of finished spans that are kept, and of open jobs
   */
  public OpenTelemetryJobTracer(EventLoop loop, int maxSpans) {
    this.openSpansByJob = CacheBuilder.newBuilder().maximumSize(maxSpans).build();
    SpanExporter exporter =
        new SpanExporter() {
          @Override
          public CompletableResultCode export(Collection<SpanData> spans) {
            for (SpanData span : spans) {
              if (finishedSpans.size() == maxSpans) {
                finishedSpans.removeFirst();
              }
              finishedSpans.addLast(span);
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
            .setClock(new EventLoopClock(loop))
            .addSpanProcessor(SimpleSpanProcessor.create(exporter))
            .build()
            .get("violetrail");
  }

  private record EventLoopClock(EventLoop loop) implements Clock {
    @Override
    public long now() {
      return loop.wallMillis() * 1_000_000;
    }

    @Override
    public long nanoTime() {
      return loop.monotonicNanos();
    }
  }

  private Span startSpan(String name, Span parent, JobId id) {
    Context context = parent == null ? Context.root() : Context.root().with(parent);
    return tracer
        .spanBuilder(name)
        .setParent(context)
        .setAttribute(JOB_ATTRIBUTE, id.value())
        .startSpan();
  }

  @Override
  public void submissionStarted(JobId id) {
    if (openSpansByJob.getIfPresent(id) != null) {
      return;
    }
    JobSpans openSpans = new JobSpans();
    openSpans.jobSpan = startSpan("job", null, id);
    openSpans.phaseSpan = startSpan("store", openSpans.jobSpan, id);
    openSpansByJob.put(id, openSpans);
  }

  @Override
  public void submissionDecided(JobId id, String verdict) {
    JobSpans openSpans = openSpansByJob.getIfPresent(id);
    if (openSpans == null || openSpans.phaseSpan == null || openSpans.taskLaunched) {
      return;
    }
    openSpans.phaseSpan.setAttribute(VERDICT_ATTRIBUTE, verdict).end();
    if (verdict.equals("ACCEPTED")) {
      openSpans.phaseSpan = startSpan("wait", openSpans.jobSpan, id);
    } else {
      openSpans.phaseSpan = null;
      openSpans.jobSpan.setStatus(StatusCode.ERROR, verdict).end();
      openSpansByJob.invalidate(id);
    }
  }

  @Override
  public void taskLaunched(JobId id, MachineId machine) {
    JobSpans openSpans = openSpansByJob.getIfPresent(id);
    if (openSpans != null && !openSpans.taskLaunched) {
      openSpans.taskLaunched = true;
      openSpans.phaseSpan.setAttribute(MACHINE_ATTRIBUTE, machine.value()).end();
      openSpans.phaseSpan = startSpan("run", openSpans.jobSpan, id);
    }
  }

  @Override
  public void jobEnded(JobId id, JobStatus status) {
    JobSpans openSpans = openSpansByJob.getIfPresent(id);
    if (openSpans != null) {
      openSpans.phaseSpan.end();
      openSpans.jobSpan.setAttribute(VERDICT_ATTRIBUTE, status.name()).end();
      openSpansByJob.invalidate(id);
    }
  }

  @Override
  public String finishedSpansAsJsonLines() {
    StringBuilder lines = new StringBuilder();
    for (SpanData span : finishedSpans) {
      ObjectNode line =
          KubernetesJson.newObject().put("trace", span.getTraceId()).put("span", span.getSpanId());
      line.put("parent", span.getParentSpanContext().isValid() ? span.getParentSpanId() : null);
      line.put("name", span.getName()).put("start_ns", span.getStartEpochNanos());
      line.put("took_ms", (span.getEndEpochNanos() - span.getStartEpochNanos()) / 1_000_000);
      span.getAttributes().forEach((key, value) -> line.put(key.getKey(), value.toString()));
      lines.append(line).append('\n');
    }
    return lines.toString();
  }
}
