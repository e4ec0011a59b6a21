package io.violetrail.configuration;

/**
 * The configuration revision in force at one controller.
 *
 * @param confirmedMsAgo milliseconds since the controller sent the last read of the state service
 *     that confirmed this revision; negative if there was none
 * @param inForceSinceMs wall-clock time at which the revision came into force at the controller; 0
 *     if the controller did not answer
 * @param fresh whether the controller starts tasks under this revision
 */
public record ConfigurationState(
    String controller, long revision, long confirmedMsAgo, long inForceSinceMs, boolean fresh) {}
