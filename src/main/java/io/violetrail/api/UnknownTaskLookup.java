package io.violetrail.api;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.violetrail.api.JobLookup.LookupResult;
import io.violetrail.api.KnownJobs.FinishedOrNonexistentJob;
import io.violetrail.model.JobId;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.ownership.OwnedEntity;
import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Looks up the jobs of unknown tasks: tasks that a worker reports while their job is not open at
 * the entity of the worker's machine. Called on the event loop's thread.
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

  /**
   * When each job was last looked up; limits the reads, so that a job is not looked up with every
   * heartbeat.
   */
  private final Cache<JobId, Double> lastLookupSeconds =
      CacheBuilder.newBuilder().maximumSize(MAX_REMEMBERED_LOOKUPS).build();

  /** Creates a lookup that reads the stored rows and restores jobs that should have been open. */
  public UnknownTaskLookup(
      EventLoop loop, JobLookup jobLookup, KnownJobs knownJobs, JobRestorer jobRestorer) {
    this.loop = loop;
    this.jobLookup = jobLookup;
    this.knownJobs = knownJobs;
    this.jobRestorer = jobRestorer;
  }

  /**
   * Returns a job that is not open at the entity, if it is known that the job has ended or does not
   * exist. Otherwise returns null and, unless the job was looked up just now or too many lookups
   * are in flight, starts a lookup.
   */
  public FinishedOrNonexistentJob findFinishedOrNonexistentJob(OwnedEntity ownedEntity, JobId id) {
    FinishedOrNonexistentJob knownJob = knownJobs.findFinishedOrNonexistent(id);
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
                  (lookupResult, failure) -> {
                    lookupsInFlight.remove(id);
                    if (failure == null) {
                      handleLookupResult(ownedEntity, id, lookupResult);
                    }
                  }),
          "read a job's stored state");
    }
    return null;
  }

  private void handleLookupResult(OwnedEntity ownedEntity, JobId id, LookupResult lookupResult) {
    boolean openHere = ownedEntity.id().equals(lookupResult.openAtEntity());
    if (openHere) {
      jobRestorer.restoreIfMissing(ownedEntity, id);
    } else if (lookupResult.isAbsent() || lookupResult.openAtEntity() != null) {
      LOG.info(
          "a worker of entity {} reported a task of job {}, which does not belong to that entity",
          ownedEntity.id(),
          id);
      if (lookupResult.isAbsent()) {
        knownJobs.recordNonexistent(id, ownedEntity.id());
      }
    }
  }
}
