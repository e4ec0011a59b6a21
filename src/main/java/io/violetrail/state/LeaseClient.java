package io.violetrail.state;

import io.violetrail.net.HttpClient.ClientResponse;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages;
import java.util.concurrent.CompletableFuture;

/**
 * Requests and renews leases, regardless of the budget: a renewal that waited for the budget could
 * arrive after the lease has expired. Stateless; the caller keeps the lease's id and expiry time.
 * Called on the event loop's thread.
 */
final class LeaseClient {
  private static final double MILLIS_PER_SECOND = 1000;

  private final RequestBudget budget;
  private final StateStoreConnection connection;

  LeaseClient(RequestBudget budget, StateStoreConnection connection) {
    this.budget = budget;
    this.connection = connection;
  }

  CompletableFuture<Long> grant(double ttlSeconds) {
    long ttlMillis = Math.round(ttlSeconds * MILLIS_PER_SECOND);
    return post("/leases", Cbor.encode(StateStoreMessages.leaseRequest(ttlMillis)))
        .thenApply(reply -> StateStoreConnection.parse(reply, StateStoreMessages::parseLeaseId));
  }

  CompletableFuture<Boolean> renew(long leaseId) {
    return post("/leases/" + leaseId + "/renew", Cbor.encode(Cbor.newMap()))
        .thenApply(ClientResponse::isOk);
  }

  private CompletableFuture<ClientResponse> post(String path, byte[] body) {
    budget.takeRequest();
    return connection.call("POST", path, body, StateStoreConnection.TIMEOUT_SECONDS);
  }
}
