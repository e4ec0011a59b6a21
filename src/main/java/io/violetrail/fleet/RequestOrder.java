package io.violetrail.fleet;

import io.violetrail.peer.ResourceRequest;
import io.violetrail.scheduling.Job;

/**
 * The common order of an entity's own jobs and other entities' requests, used for machines and for
 * quotas. Stateless.
 */
final class RequestOrder {
  private RequestOrder() {}

  /**
   * Returns whether an entity's own job is ordered before another entity's request. The order is by
   * priority, then by arrival time in milliseconds, then by job id. Both entities must use the same
   * order. When the orders differed, a quota share moved back and forth between two entities every
   * second, and neither job started; when each entity put its own job first, neither gave up its
   * share.
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
