package io.violetrail.errors;

/** A limit of this controller's own is reached: nothing was sent. */
public final class OverBudgetException extends RequestFailedException {
  private static final long serialVersionUID = 1L;

  /** Which limit. */
  public enum Limit {
    /** This controller's share of the state service's requests or writes. */
    STATE_STORE_BUDGET("the budget is used up"),
    /** Jobs that may wait for a message to the same owner. */
    WAITING_JOB_QUERIES("too many questions");

    private final String message;

    Limit(String message) {
      this.message = message;
    }
  }

  private final Limit limit;

  /** The limit that leaves no room for the request now. */
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
