package io.violetrail.net;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** An event loop that runs its callbacks on an XNIO I/O thread. */
public final class UndertowEventLoop implements EventLoop {
  private static final Logger LOG = LoggerFactory.getLogger(UndertowEventLoop.class);
  private final XnioIoThread thread;
  private final ReentrantLock lock = new ReentrantLock();

  public UndertowEventLoop(XnioIoThread thread) {
    this.thread = thread;
  }

  /**
   * Acquires the lock and runs a callback on the calling thread. An exception is logged and ends
   * only this callback.
   */
  public void runLocked(Runnable task) {
    lock.lock();
    try {
      task.run();
    } catch (RuntimeException exception) {
      LOG.error("event loop callback failed", exception);
    } finally {
      lock.unlock();
    }
  }

  @Override
  public long monotonicNanos() {
    return System.nanoTime();
  }

  @Override
  public long wallMillis() {
    return System.currentTimeMillis();
  }

  @Override
  public void execute(Runnable task) {
    thread.execute(() -> runLocked(task));
  }

  @Override
  public Cancellable schedule(double seconds, Runnable task) {
    XnioExecutor.Key key =
        thread.executeAfter(
            () -> runLocked(task),
            (long) Math.ceil(Math.max(0, seconds) * 1000),
            TimeUnit.MILLISECONDS);
    return key::remove;
  }
}
