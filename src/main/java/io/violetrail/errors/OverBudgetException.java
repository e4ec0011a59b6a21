package io.violetrail.errors;

/** One of this controller's own limits is reached, and the request was not sent. */
public final class OverBudgetException extends RequestFailedException {
  private static final long serialVersionUID = 1L;

  /** The limit that is reached. */
  public enum Limit {
    /** This controller's share of the state service's rate limits for requests or writes. */
    STATE_STORE_BUDGET(
        "this controller's share of the state service's rate limits is used up; retry later"),
    /** The number of jobs that may wait for a message to the same owner. */
    WAITING_JOB_QUERIES("too many job queries wait for a message to the same owner; retry later");

    private final String message;

    Limit(String message) {
      this.message = message;
    }
  }

  private final Limit limit;

  /** Creates a failure for the limit that the request would exceed. */
  public OverBudgetException(Limit limit) {
    super(limit.message);
    this.limit = limit;
  }

  public Limit limit() {
    return limit;
  }

  @Override
  public boolean isRateLimited() {
    return true;
  }
}
