package io.violetrail.fleet;

/** An offering of the provider: a machine type in a zone, as a spot or an on-demand machine. */
public record MachineOffering(String type, String zone, boolean spot) {
  /** Returns the offering as which the machine was rented. */
  public static MachineOffering of(Machine machine) {
    return new MachineOffering(machine.row().type(), machine.row().zone(), machine.row().spot());
  }
}
