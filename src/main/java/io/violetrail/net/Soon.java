package io.violetrail.net;

/** Runs a step a moment after it was asked for: once, however often it is asked for until then. */
public final class Soon {
  private final Loop loop;
  private final Runnable step;
  private boolean waits;

  public Soon(Loop loop, Runnable step) {
    this.loop = loop;
    this.step = step;
  }

  /** Asks for the step; the first who asks decides when. */
  public void in(double seconds) {
    if (!waits) {
      waits = true;
      loop.after(
          seconds,
          () -> {
            waits = false;
            step.run();
          });
    }
  }
}
