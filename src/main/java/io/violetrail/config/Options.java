package io.violetrail.config;

/** Operators' own settings; null or the default unless set by a flag or variable. */
public record Options(
    Double lapseS,
    double idleS,
    int sample,
    Integer kubernetesPort,
    Integer traceSpans,
    boolean calendar,
    boolean configuration) {
  public static final Options DEFAULTS = new Options(null, 45, 8, null, null, false, false);
}
