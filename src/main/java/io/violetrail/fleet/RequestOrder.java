package io.violetrail.fleet;

import io.violetrail.peer.ResourceRequest;
import io.violetrail.scheduling.Job;

/** The one order in which own jobs and other entities' requests come first. */
final class RequestOrder {
  private RequestOrder() {}

  /**
   * Whether an own job goes before another entity's request: it is more urgent, or as urgent and
   * has waited longer. One order for both sides, with the id for those that came in the same
   * millisecond: with two that differed, a slice went to and fro between two entities every second,
   * and neither job started; where both sides saw themselves first, neither gave its part.
   */
  static boolean isAheadOf(Job job, ResourceRequest request) {
    int priority = job.spec().priority().ordinal();
    if (priority != request.priority() || job.arrivedAtMillis() != request.arrivedMs()) {
      return priority < request.priority()
          || priority == request.priority() && job.arrivedAtMillis() < request.arrivedMs();
    }
    return job.spec().id().value().compareTo(request.job()) < 0;
  }
}
