package io.violetrail.fleet;

import io.violetrail.peer.ResourceRequest;
import io.violetrail.scheduling.Job;

/**
 * The one order of own jobs and other entities' requests, used for machines and for quotas. Without
 * state.
 */
final class RequestOrder {
  private RequestOrder() {}

  /**
   * Whether an own job goes before another entity's request: it is more urgent, or as urgent and
   * has waited longer; of those that came in the same millisecond, the id decides. Both sides must
   * have the same order: with two that differed, a quota share went to and fro between two entities
   * every second, and neither job started; where both sides saw themselves first, neither gave its
   * part.
   */
  static boolean isAheadOf(Job job, ResourceRequest request) {
    int priority = job.spec().priority().ordinal();
    if (priority != request.priority() || job.arrivedAtMillis() != request.arrivedMs()) {
      return priority < request.priority()
          || (priority == request.priority() && job.arrivedAtMillis() < request.arrivedMs());
    }
    return job.spec().id().value().compareTo(request.job()) < 0;
  }
}
