package io.violetrail.config;

/**
 * Settings that an operator sets by flags or environment variables. Those that are not set have the
 * values of {@link #DEFAULTS}.
 *
 * @param leaseTtlSeconds duration of the controller's lease; null to derive it from the workers'
 *     lease
 * @param maxIdleSeconds how long a machine may be idle before it is returned
 * @param placementSampleSize number of machines compared when a task is placed
 * @param kubernetesPort null if the Kubernetes API is not served
 * @param maxTraceSpans maximum number of trace spans that are kept; null if tracing is disabled
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
