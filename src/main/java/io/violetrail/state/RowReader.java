package io.violetrail.state;

import io.violetrail.errors.RequestRejectedException;
import io.violetrail.net.HttpClient.ClientResponse;
import io.violetrail.state.StateStore.Listing;
import io.violetrail.wire.StateStoreMessages;
import io.violetrail.wire.StateStoreMessages.Entry;
import io.violetrail.wire.StateStoreMessages.ListPage;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Reads single rows and listings from the state service. Each kind of read uses the budget in its
 * own way; {@link StateStore} describes what the kinds are for. Stateless. Called on the event
 * loop's thread.
 */
final class RowReader {
  private static final int PAGE_SIZE = 500;
  private static final double PAGE_TIMEOUT_SECONDS = StateStoreConnection.TIMEOUT_SECONDS * 2;

  private final RequestBudget budget;
  private final StateStoreConnection connection;

  RowReader(RequestBudget budget, StateStoreConnection connection) {
    this.budget = budget;
    this.connection = connection;
  }

  CompletableFuture<Entry> get(String key) {
    return budget.canTakeRequest() ? getUrgent(key) : RequestBudget.failOverBudget();
  }

  CompletableFuture<Entry> getUrgent(String key) {
    budget.takeRequest();
    return connection
        .call("GET", "/keys/" + key, null, StateStoreConnection.TIMEOUT_SECONDS)
        .thenApply(reply -> parseEntry(key, reply));
  }

  private static Entry parseEntry(String key, ClientResponse reply) {
    return StateStoreConnection.isNotFound(reply)
        ? new Entry(key, null, 0)
        : StateStoreMessages.parseEntry(StateStoreConnection.parseBody(reply));
  }

  CompletableFuture<Entry> getForUser(String key, int readCount) {
    return budget.tryTakeUserReads(readCount) ? get(key) : RequestBudget.failOverBudget();
  }

  CompletableFuture<ListPage> pageForUser(String prefix, String afterKey, int maxEntries) {
    if (!budget.tryTakeUserReads(1) || !budget.tryTakeRequest()) {
      return RequestBudget.failOverBudget();
    }
    return connection
        .call(
            "GET",
            pagePath(prefix, afterKey, maxEntries),
            null,
            StateStoreConnection.TIMEOUT_SECONDS)
        .thenApply(reply -> StateStoreConnection.parse(reply, StateStoreMessages::parsePage));
  }

  CompletableFuture<Listing> list(String prefix) {
    List<Entry> entries = new ArrayList<>();
    return readPage(prefix, "")
        .thenCompose(
            first ->
                collectRemainingPages(prefix, first, entries)
                    .thenApply(nothing -> new Listing(entries, first.revision())));
  }

  private CompletableFuture<Void> collectRemainingPages(
      String prefix, ListPage page, List<Entry> entries) {
    entries.addAll(page.entries());
    if (!page.more() || page.entries().isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    String lastKey = page.entries().get(page.entries().size() - 1).key();
    return readPage(prefix, lastKey)
        .thenCompose(next -> collectRemainingPages(prefix, next, entries));
  }

  private CompletableFuture<ListPage> readPage(String prefix, String afterKey) {
    budget.takeRequest();
    return connection
        .call("GET", pagePath(prefix, afterKey, PAGE_SIZE), null, PAGE_TIMEOUT_SECONDS)
        .thenApply(RowReader::parsePage);
  }

  private static ListPage parsePage(ClientResponse reply) {
    if (!reply.isOk()) {
      throw RequestRejectedException.listingRepliedWithStatus(reply.status());
    }
    return StateStoreConnection.parse(reply, StateStoreMessages::parsePage);
  }

  private static String pagePath(String prefix, String afterKey, int maxEntries) {
    return "/keys?under="
        + prefix
        + "&most="
        + maxEntries
        + (afterKey.isEmpty() ? "" : "&after=" + afterKey);
  }
}
