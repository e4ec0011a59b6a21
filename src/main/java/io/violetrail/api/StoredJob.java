package io.violetrail.api;

import io.violetrail.model.JobSpec;

/** An open job as it was stored. */
public record StoredJob(JobSpec spec, long arrivedAtMillis) {}
