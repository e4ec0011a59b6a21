package io.violetrail.errors;

/**
 * The receiver answered with an error. The state service has then not carried the request out, nor
 * will it. Of other receivers that is certain only for the statuses for which the protocol says so.
 */
public final class RequestRejectedException extends RequestFailedException {
  private static final long serialVersionUID = 1L;

  private static final int BAD_REQUEST = 400;
  private static final int TOO_MANY_REQUESTS = 429;

  private final Receiver receiver;
  private final int httpStatus;

  private RequestRejectedException(Receiver receiver, int httpStatus, String message) {
    super(message);
    this.receiver = receiver;
    this.httpStatus = httpStatus;
  }

  /** The receiver answered a request with this status. */
  public static RequestRejectedException answered(Receiver receiver, int httpStatus) {
    String subject =
        receiver == Receiver.STATE_STORE ? receiver.label() : "the " + receiver.label();
    return new RequestRejectedException(receiver, httpStatus, subject + " answered " + httpStatus);
  }

  /** The state service answered a transaction with a status that the protocol has no use for. */
  public static RequestRejectedException transactionAnswered(int httpStatus) {
    return new RequestRejectedException(
        Receiver.STATE_STORE, httpStatus, "txn answered " + httpStatus);
  }

  /** The state service answered a listing with a status that the protocol has no use for. */
  public static RequestRejectedException listingAnswered(int httpStatus) {
    return new RequestRejectedException(
        Receiver.STATE_STORE, httpStatus, "list answered " + httpStatus);
  }

  public Receiver receiver() {
    return receiver;
  }

  /** The status of the receiver's answer, 4xx or 5xx. */
  public int httpStatus() {
    return httpStatus;
  }

  @Override
  public boolean isRateLimited() {
    return httpStatus == TOO_MANY_REQUESTS;
  }

  @Override
  public boolean isRefusedAsMalformed() {
    return httpStatus == BAD_REQUEST;
  }
}
