package io.violetrail.errors;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.violetrail.model.ControllerId;
import java.util.List;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;

/** Tests how failures are classified, and the messages that users see. */
final class RequestFailedExceptionTest {
  @Test
  void causeOfFailedFutureIsUnwrapped() {
    RequestFailedException moved = new EntityMovedException(new ControllerId("c1"));
    assertSame(moved, RequestFailedException.from(moved));
    assertSame(moved, RequestFailedException.from(new CompletionException(moved)));
  }

  @Test
  void anyOtherFailureLeavesTheRequestUndecided() {
    RequestFailedException failure =
        RequestFailedException.from(new CompletionException(new IllegalArgumentException("x")));
    assertInstanceOf(RequestUndecidedException.class, failure);
    assertEquals("java.lang.IllegalArgumentException: x", failure.getMessage());
    assertFalse(failure.isRateLimited());
    assertFalse(failure.isRefusedAsMalformed());
  }

  @Test
  void onlyReachedLimitsAreRateLimited() {
    for (OverBudgetException.Limit limit : OverBudgetException.Limit.values()) {
      assertTrue(new OverBudgetException(limit).isRateLimited());
    }
    assertTrue(
        RequestRejectedException.repliedWithStatus(Receiver.STATE_STORE, 429).isRateLimited());
    for (int status : List.of(400, 404, 409, 500, 503)) {
      assertFalse(
          RequestRejectedException.repliedWithStatus(Receiver.STATE_STORE, status).isRateLimited());
    }
    assertFalse(RequestUndecidedException.possiblyNotStored().isRateLimited());
  }

  @Test
  void onlyStatus400IsRefusedAsMalformed() {
    assertTrue(
        RequestRejectedException.repliedWithStatus(Receiver.STATE_STORE, 400)
            .isRefusedAsMalformed());
    for (int status : List.of(404, 409, 413, 429, 500, 503)) {
      assertFalse(
          RequestRejectedException.transactionRepliedWithStatus(status).isRefusedAsMalformed());
    }
  }

  @Test
  void messagesNameReceiverStatusAndCause() {
    assertEquals(
        "state service replied with HTTP status 503",
        RequestRejectedException.repliedWithStatus(Receiver.STATE_STORE, 503).getMessage());
    assertEquals(
        "state service replied to a transaction with HTTP status 404",
        RequestRejectedException.transactionRepliedWithStatus(404).getMessage());
    assertEquals(
        "no reply from the state service: no route",
        RequestUndecidedException.noReply(Receiver.STATE_STORE, new Exception("no route"))
            .getMessage());
    assertEquals(
        "the state service's reply is malformed",
        RequestUndecidedException.malformedReply(Receiver.STATE_STORE).getMessage());
    assertEquals(
        "this controller's share of the state service's rate limits is used up; retry later",
        new OverBudgetException(OverBudgetException.Limit.STATE_STORE_BUDGET).getMessage());
  }
}
