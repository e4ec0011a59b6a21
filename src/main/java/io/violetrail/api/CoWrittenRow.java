package io.violetrail.api;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A row that is stored with a new job by the same transaction, on the condition that its last
 * change is {@code expectedRevision} (0: that it does not exist): both are stored, or neither is.
 */
public record CoWrittenRow(String key, long expectedRevision, ObjectNode value, int sizeBytes) {}
