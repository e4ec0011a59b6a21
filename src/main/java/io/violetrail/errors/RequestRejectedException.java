package io.violetrail.errors;

/**
 * The receiver replied with an error. The state service has then not carried out the request and
 * never will. For other receivers, that is certain only for the statuses for which the protocol
 * says so.
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

  /** Creates a failure for a request that the receiver answered with this status. */
  public static RequestRejectedException repliedWithStatus(Receiver receiver, int httpStatus) {
    String subject =
        receiver == Receiver.STATE_STORE ? receiver.label() : "the " + receiver.label();
    return new RequestRejectedException(
        receiver, httpStatus, subject + " replied with HTTP status " + httpStatus);
  }

  /**
   * Creates a failure for a transaction that the state service answered with a status that the
   * protocol does not define for it.
   */
  public static RequestRejectedException transactionRepliedWithStatus(int httpStatus) {
    return new RequestRejectedException(
        Receiver.STATE_STORE,
        httpStatus,
        "state service replied to a transaction with HTTP status " + httpStatus);
  }

  /**
   * Creates a failure for a listing that the state service answered with a status that the protocol
   * does not define for it.
   */
  public static RequestRejectedException listingRepliedWithStatus(int httpStatus) {
    return new RequestRejectedException(
        Receiver.STATE_STORE,
        httpStatus,
        "state service replied to a listing with HTTP status " + httpStatus);
  }

  public Receiver receiver() {
    return receiver;
  }

  /** Returns the HTTP status of the receiver's reply, 4xx or 5xx. */
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
