package io.violetrail.config;

/** Operators' own settings; null or the default unless set by a flag or variable. */
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
