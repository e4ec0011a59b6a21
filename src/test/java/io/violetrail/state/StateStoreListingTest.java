package io.violetrail.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.fakes.ClusterSimulation;
import io.violetrail.model.ControllerId;
import io.violetrail.net.HttpClient;
import io.violetrail.ownership.ClusterView;
import io.violetrail.ownership.StateSchema;
import io.violetrail.state.StateStore.Listing;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.RowChange;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;

/** Tests listings of several pages between which rows change, and replies that lack a field. */
class StateStoreListingTest {
  private final ClusterSimulation simulation = new ClusterSimulation(1, 1);
  private final Queue<ObjectNode> replies = new ArrayDeque<>();
  private final StateStore store =
      new StateStore(
          simulation.createEventLoop("c0"),
          (to, method, path, body, timeoutS) ->
              CompletableFuture.completedFuture(
                  new HttpClient.ClientResponse(200, Cbor.encode(replies.remove()))),
          simulation.settings("c0"));

  private static ObjectNode pageMessage(long epoch, boolean truncated, String key, long stamp) {
    ObjectNode message = Cbor.newMap().put("epoch", epoch).put("truncated", truncated);
    ObjectNode entry = message.putArray("entries").addObject().put("key", key).put("stamp", stamp);
    entry.set("v", StateSchema.encodeLiveness("z"));
    return message;
  }

  private Listing listTwoPages() {
    replies.add(pageMessage(10, true, StateSchema.LIVENESS_PREFIX + "c1", 4));
    replies.add(pageMessage(12, false, StateSchema.LIVENESS_PREFIX + "c9", 5));
    return store.list(StateSchema.COMMON_PREFIX).join();
  }

  @Test
  void listingHasTheRevisionOfItsFirstPage() {
    Listing listing = listTwoPages();
    assertEquals(2, listing.entries().size());
    assertEquals(10, listing.revision());
  }

  @Test
  void rowCreatedDuringListingIsKept() {
    ClusterView clusterView = new ClusterView(simulation.settings("c0"));
    clusterView.apply(
        new RowChange(StateSchema.LIVENESS_PREFIX + "c0", StateSchema.encodeLiveness("z"), 11));
    Listing listing = listTwoPages();
    clusterView.replaceWithListing(listing.entries(), listing.revision());
    assertEquals(11, clusterView.livenessRevision(new ControllerId("c0")));
    assertEquals(10, clusterView.revision(), "the watch continues from the listing's revision");
  }

  @Test
  void pageWithoutEntriesFieldIsRejected() {
    replies.add(Cbor.newMap().put("epoch", 10).put("truncated", false));
    CompletableFuture<Listing> listing = store.list(StateSchema.COMMON_PREFIX);
    assertThrows(CompletionException.class, listing::join);
  }

  @Test
  void leaseIdZeroIsValidAndMissingOneIsRejected() {
    replies.add(Cbor.newMap().put("hold", 0));
    assertEquals(0, store.grantLease(5).join());
    replies.add(Cbor.newMap());
    CompletableFuture<Long> lease = store.grantLease(5);
    assertThrows(CompletionException.class, lease::join);
  }
}
