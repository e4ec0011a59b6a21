package io.violetrail.evidence;

import io.violetrail.model.MachineId;

/**
 * A task's last place that it has left.
 *
 * @param atS when that became known, on this controller's steady clock in seconds
 * @param answeredS when its machine's worker was last answered with a token, on the same clock
 */
public record Departure(
    MachineId machine, long attempt, GoneProof proof, double atS, double answeredS) {}
