package io.violetrail.api;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A row that is stored with a new job by the same transaction, on the condition that it does not
 * exist: both are there afterwards, or neither is.
 */
public record Companion(String key, ObjectNode value, int bytes) {}
