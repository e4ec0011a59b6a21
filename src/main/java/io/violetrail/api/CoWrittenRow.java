package io.violetrail.api;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A row that is stored in the same transaction as a new job: either both are stored or neither is.
 *
 * @param expectedRevision the revision of the row's last change, which is a condition of the
 *     transaction; 0 if the row must not exist
 * @param sizeBytes the encoded size of the row
 */
public record CoWrittenRow(String key, long expectedRevision, ObjectNode value, int sizeBytes) {}
