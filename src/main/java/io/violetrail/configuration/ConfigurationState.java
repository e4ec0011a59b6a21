package io.violetrail.configuration;

/**
 * Which revision a controller goes by.
 *
 * @param confirmedMsAgo how long ago it asked the state service and was told that this revision is
 *     in force; negative if it never was
 * @param inForceSinceMs time of day at which it began to go by it
 * @param fresh whether it starts tasks by it
 */
public record ConfigurationState(
    String controller, long revision, long confirmedMsAgo, long inForceSinceMs, boolean fresh) {}
