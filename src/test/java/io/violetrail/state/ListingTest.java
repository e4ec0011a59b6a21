package io.violetrail.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.fakes.World;
import io.violetrail.model.ControllerId;
import io.violetrail.net.Http;
import io.violetrail.ownership.Directory;
import io.violetrail.ownership.Rows;
import io.violetrail.state.StateStore.Listing;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateWire.Change;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;

/** Listings of several pages, between which rows change, and answers that lack a part. */
class ListingTest {
  private final World world = new World(1, 1);
  private final Queue<ObjectNode> answers = new ArrayDeque<>();
  private final StateStore store =
      new StateStore(
          world.loopOf("c0"),
          (to, method, path, body, timeoutS) ->
              CompletableFuture.completedFuture(new Http.Reply(200, Cbor.bytes(answers.remove()))),
          world.settings("c0"));

  private static ObjectNode page(long epoch, boolean truncated, String key, long stamp) {
    ObjectNode m = Cbor.map().put("epoch", epoch).put("truncated", truncated);
    ObjectNode entry = m.putArray("entries").addObject().put("key", key).put("stamp", stamp);
    entry.set("v", Rows.aliveValue("z"));
    return m;
  }

  private Listing listingOfTwoPages() {
    answers.add(page(10, true, Rows.ALIVE + "c1", 4));
    answers.add(page(12, false, Rows.ALIVE + "c9", 5));
    return store.list(Rows.COMMON).join();
  }

  @Test
  void aListingIsAsOfItsFirstPage() {
    Listing listing = listingOfTwoPages();
    assertEquals(2, listing.entries().size());
    assertEquals(10, listing.revision());
  }

  @Test
  void aRowMadeWhileTheListingWentOnIsKept() {
    Directory directory = new Directory(world.settings("c0"));
    directory.apply(new Change(Rows.ALIVE + "c0", Rows.aliveValue("z"), 11));
    Listing listing = listingOfTwoPages();
    directory.replace(listing.entries(), listing.revision());
    assertEquals(11, directory.aliveStamp(new ControllerId("c0")));
    assertEquals(10, directory.revision(), "the watch goes on from there");
  }

  @Test
  void aPageWithoutEntriesIsNoEmptyPage() {
    answers.add(Cbor.map().put("epoch", 10).put("truncated", false));
    CompletableFuture<Listing> listing = store.list(Rows.COMMON);
    assertThrows(CompletionException.class, listing::join);
  }

  @Test
  void aLeaseMayHaveAnyNumberButNotNone() {
    answers.add(Cbor.map().put("hold", 0));
    assertEquals(0, store.lease(5).join());
    answers.add(Cbor.map());
    CompletableFuture<Long> lease = store.lease(5);
    assertThrows(CompletionException.class, lease::join);
  }
}
