package io.violetrail.evidence;

import io.violetrail.model.MachineId;

/**
 * A task's most recent removal from a machine.
 *
 * @param machine the machine that the task was on
 * @param attempt the number of the task's attempt on that machine
 * @param evidence the evidence that the attempt no longer runs on the machine
 * @param knownAtSeconds when this controller obtained the evidence, in seconds of its steady clock
 * @param latestRenewalAtSeconds when the machine's worker was last sent a reply with a fencing
 *     token, which may have renewed its lease, on the same clock
 */
public record TaskDeparture(
    MachineId machine,
    long attempt,
    TerminationEvidence evidence,
    double knownAtSeconds,
    double latestRenewalAtSeconds) {}
