package io.violetrail.fleet;

/** What can be rented: a machine type in a zone, as a spot machine or an on-demand one. */
public record MachineOffering(String type, String zone, boolean spot) {}
