package io.violetrail.config;

/**
 * Settings that an operator sets by flags or environment variables. Those that are not set have the
 * values of {@link #DEFAULTS}.
 *
 * @param leaseTtlSeconds null if not set
 * @param kubernetesPort null if the Kubernetes API is not served
 * @param maxTraceSpans null if tracing is disabled
 */
public record Options(
    Double leaseTtlSeconds,
    double maxIdleSeconds,
    int placementSampleSize,
    Integer kubernetesPort,
    Integer maxTraceSpans,
    boolean calendarEnabled,
    boolean configurationEnabled) {
  public static final Options DEFAULTS = new Options(null, 45, 8, null, null, false, false);
}
