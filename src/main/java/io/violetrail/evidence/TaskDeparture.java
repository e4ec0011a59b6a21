package io.violetrail.evidence;

import io.violetrail.model.MachineId;

/**
 * A task's last place that it has left.
 *
 * @param knownAtSeconds when that became known, on this controller's steady clock in seconds
 * @param lastAnsweredAtSeconds when its machine's worker was last answered with a token, on the
 *     same clock
 */
public record TaskDeparture(
    MachineId machine,
    long attempt,
    TerminationEvidence evidence,
    double knownAtSeconds,
    double lastAnsweredAtSeconds) {}
