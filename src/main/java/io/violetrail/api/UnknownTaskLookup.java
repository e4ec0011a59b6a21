package io.violetrail.api;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.violetrail.api.JobLookup.LookupResult;
import io.violetrail.api.KnownJobs.KnownJob;
import io.violetrail.model.JobId;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.OwnedEntity;
import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds out about the jobs of unknown tasks, which a worker reports while their job is not open at
 * the entity of its machine. Called on the event loop's thread.
 */
public final class UnknownTaskLookup {
  private static final Logger LOG = LoggerFactory.getLogger(UnknownTaskLookup.class);
  private static final double LOOKUP_RETRY_SECONDS = 3;
  private static final int MAX_LOOKUPS_IN_FLIGHT = 100;
  private static final int MAX_REMEMBERED_LOOKUPS = 1_000;

  private final EventLoop loop;
  private final JobLookup jobLookup;
  private final KnownJobs knownJobs;
  private final JobRestorer jobRestorer;
  private final Set<JobId> lookupsInFlight = new HashSet<>();

  /** Bounds the reads: a job is looked up now and then, not with every heartbeat. */
  private final Cache<JobId, Double> lastLookupSeconds =
      CacheBuilder.newBuilder().maximumSize(MAX_REMEMBERED_LOOKUPS).build();

  /** Looks jobs up in the rows, and restores those that should have been open. */
  public UnknownTaskLookup(
      EventLoop loop, JobLookup jobLookup, KnownJobs knownJobs, JobRestorer jobRestorer) {
    this.loop = loop;
    this.jobLookup = jobLookup;
    this.knownJobs = knownJobs;
    this.jobRestorer = jobRestorer;
  }

  /**
   * The job of a task whose job is not open at the entity; null if it is not known, in which case a
   * look-up is started unless there was one just now.
   */
  public KnownJob findKnownJob(OwnedEntity ownedEntity, JobId id) {
    KnownJob knownJob = knownJobs.findFinished(id);
    if (knownJob != null) {
      return knownJob;
    }
    double nowSeconds = loop.monotonicSeconds();
    Double lastLookup = lastLookupSeconds.getIfPresent(id);
    boolean lookupDue = lastLookup == null || nowSeconds - lastLookup > LOOKUP_RETRY_SECONDS;
    if (lookupDue && lookupsInFlight.size() < MAX_LOOKUPS_IN_FLIGHT && lookupsInFlight.add(id)) {
      lastLookupSeconds.put(id, (Double) nowSeconds);
      Futures.logFailure(
          jobLookup
              .lookUpInBackground(id)
              .whenComplete(
                  (found, failure) -> {
                    lookupsInFlight.remove(id);
                    if (failure == null) {
                      handleLookupResult(ownedEntity, id, found);
                    }
                  }),
          "read a job's stored state");
    }
    return null;
  }

  private void handleLookupResult(OwnedEntity ownedEntity, JobId id, LookupResult found) {
    boolean openHere = ownedEntity.id().equals(found.openAtEntity());
    if (openHere) {
      jobRestorer.restoreIfMissing(ownedEntity, id);
    } else if (found.isAbsent() || found.openAtEntity() != null) {
      LOG.info(
          "a worker of entity {} has a task of {}, which is not of this entity",
          ownedEntity.id(),
          id);
      if (found.isAbsent()) {
        knownJobs.recordNonexistent(id, ownedEntity.id());
      }
    }
  }
}
