package io.violetrail.fleet;

/** An offering of the provider: a machine type in a zone, as a spot or an on-demand machine. */
public record MachineOffering(String type, String zone, boolean spot) {}
