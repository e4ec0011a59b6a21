package io.violetrail.net;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The loop over XNIO's I/O threads. */
public final class UndertowLoop implements Loop {
  private static final Logger LOG = LoggerFactory.getLogger(UndertowLoop.class);
  private final XnioIoThread thread;
  private final ReentrantLock lock = new ReentrantLock();

  public UndertowLoop(XnioIoThread thread) {
    this.thread = thread;
  }

  /** Runs a callback under the lock. A failure is logged; it ends that callback only. */
  public void locked(Runnable task) {
    lock.lock();
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("a callback failed", e);
    } finally {
      lock.unlock();
    }
  }

  @Override
  public long nanos() {
    return System.nanoTime();
  }

  @Override
  public long wallMillis() {
    return System.currentTimeMillis();
  }

  @Override
  public void execute(Runnable task) {
    thread.execute(() -> locked(task));
  }

  @Override
  public Cancellable after(double seconds, Runnable task) {
    XnioExecutor.Key key =
        thread.executeAfter(
            () -> locked(task),
            (long) Math.ceil(Math.max(0, seconds) * 1000),
            TimeUnit.MILLISECONDS);
    return key::remove;
  }
}
