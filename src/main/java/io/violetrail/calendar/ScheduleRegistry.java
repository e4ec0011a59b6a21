package io.violetrail.calendar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.api.CoWrittenRow;
import io.violetrail.api.JobLifecycle;
import io.violetrail.calendar.CompletionForecast.RunProgress;
import io.violetrail.calendar.ScheduleTrigger.WriteOutcome;
import io.violetrail.calendar.ScheduleTrigger.WriteResult;
import io.violetrail.config.Settings;
import io.violetrail.fleet.BootTimes;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.MachineType;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.RuntimeEstimates;
import io.violetrail.scheduling.TaskPlacement;
import io.violetrail.state.InitialListing;
import io.violetrail.state.PrefixWatcher;
import io.violetrail.state.StateStore;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.Entry;
import io.violetrail.wire.StateStoreMessages.RowChange;
import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.StateStoreMessages.TransactionOutcome;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The schedules of the entities that this controller holds, and the local days that all share.
 * Nothing of it is loaded unless calendars are on.
 */
public final class ScheduleRegistry implements PrefixWatcher.RowListener {
  private static final Logger LOG = LoggerFactory.getLogger(ScheduleRegistry.class);
  private static final double TICK_SECONDS = 0.25;
  private static final String KEY_PREFIX = "cal/";

  /**
   * Runs that may wait to be stored, and none while anything of users' does: four of them held a
   * submission up for two seconds where few writes are allowed.
   */
  private static final int MAX_PENDING_RUNS = 1;

  private final EventLoop loop;
  private final Settings settings;
  private final StateStore store;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final JobLifecycle jobLifecycle;
  private final RuntimeEstimates runtimeEstimates;
  private final PrefixWatcher rowFeed;
  private final Map<String, Set<LocalDate>> namedDays = new HashMap<>();
  private final PublicHolidays holidays = new PublicHolidays();
  private final DayCalendar dayCalendar = DayCalendar.of(holidays, namedDays);
  private final Map<OwnedEntity, EntitySchedules> schedulesByEntity = new HashMap<>();
  private final Set<String> scheduleNames = new HashSet<>();

  private static final class EntitySchedules {
    final ScheduleTrigger trigger;
    final InitialListing initialListing = new InitialListing();

    EntitySchedules(ScheduleTrigger trigger) {
      this.trigger = trigger;
    }
  }

  /** Fires the schedules of the entities owned here. */
  public ScheduleRegistry(
      EventLoop loop,
      Settings settings,
      StateStore store,
      Membership membership,
      MachineTypes machineTypes,
      JobLifecycle jobLifecycle,
      RuntimeEstimates runtimeEstimates) {
    this.loop = loop;
    this.settings = settings;
    this.store = store;
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.jobLifecycle = jobLifecycle;
    this.runtimeEstimates = runtimeEstimates;
    this.rowFeed = new PrefixWatcher(store, loop, KEY_PREFIX, this);
  }

  public void start() {
    rowFeed.start();
    loop.scheduleWithFixedDelay(TICK_SECONDS, this::tick);
  }

  DayCalendar dayCalendar() {
    return dayCalendar;
  }

  boolean isReady() {
    return rowFeed.isReady();
  }

  /** Schedules of all entities. */
  int scheduleCount() {
    return scheduleNames.size();
  }

  /** Schedules of held entities with a report that stands. */
  List<ScheduleRow> findSchedulesWithOpenReports() {
    List<ScheduleRow> rows = new ArrayList<>();
    schedulesByEntity
        .values()
        .forEach(own -> rows.addAll(own.trigger.findSchedulesWithOpenReports()));
    return rows;
  }

  @Override
  public void onListing(List<Entry> entries, long revision) {
    namedDays.clear();
    scheduleNames.clear();
    for (Entry entry : entries) {
      applyRow(entry.key(), entry.value(), entry.modRevision());
    }
  }

  @Override
  public void onChanges(List<RowChange> changes, long revision) {
    changes.forEach(c -> applyRow(c.key(), c.value(), c.modRevision()));
  }

  private void applyRow(String key, JsonNode value, long modRevision) {
    if (key.startsWith(ScheduleRow.CALENDAR_KEY_PREFIX)) {
      String name = key.substring(ScheduleRow.CALENDAR_KEY_PREFIX.length());
      if (value == null) {
        namedDays.remove(name);
      } else {
        Set<LocalDate> dates = new HashSet<>();
        value.path("dates").forEach(d -> dates.add(LocalDate.parse(d.asText())));
        namedDays.put(name, dates);
      }
      schedulesByEntity.values().forEach(schedules -> schedules.trigger.onDaysChanged());
    } else if (key.startsWith(ScheduleRow.KEY_PREFIX)) {
      String name = key.substring(ScheduleRow.KEY_PREFIX.length());
      if (value == null) {
        scheduleNames.remove(name);
        schedulesByEntity.values().forEach(schedules -> schedules.trigger.onScheduleDeleted(name));
        return;
      }
      ScheduleRow row = ScheduleRow.fromRow(key, value, modRevision);
      scheduleNames.add(name);
      schedulesByEntity.forEach(
          (entity, schedules) -> {
            if (entity.id().equals(row.entity())) {
              schedules.trigger.onRowChanged(row);
            }
          });
    }
  }

  private void tick() {
    schedulesByEntity.keySet().retainAll(membership.ownedEntities());
    if (!membership.isLeaseValid() || !rowFeed.isReady()) {
      return;
    }
    for (OwnedEntity entity : membership.ownedEntities()) {
      EntitySchedules schedules =
          schedulesByEntity.computeIfAbsent(entity, this::createEntitySchedules);
      if (!schedules.initialListing.isComplete()) {
        loadRows(entity, schedules);
      } else if (entity.isActive()) {
        schedules.trigger.tick();
      }
    }
  }

  private EntitySchedules createEntitySchedules(OwnedEntity entity) {
    return new EntitySchedules(
        new ScheduleTrigger(
            new EntityEnvironment(entity), () -> dayCalendar, settings.clockErrorBoundSeconds()));
  }

  /** Rows as of after the move: what a former owner settled stands in them. */
  private void loadRows(OwnedEntity entity, EntitySchedules schedules) {
    schedules.initialListing.startReading(
        store,
        ScheduleRow.KEY_PREFIX,
        entry -> {
          ScheduleRow row = ScheduleRow.fromRow(entry.key(), entry.value(), entry.modRevision());
          if (row.entity().equals(entity.id())) {
            schedules.trigger.onRowChanged(row);
          }
        },
        () -> LOG.info("entity {}: {} schedules", entity.id(), schedules.trigger.scheduleCount()));
  }

  /** What the schedules of one entity reach. */
  private final class EntityEnvironment implements ScheduleTrigger.Environment {
    private final OwnedEntity entity;
    private final Set<JobId> lookupsInFlight = new HashSet<>();

    EntityEnvironment(OwnedEntity entity) {
      this.entity = entity;
    }

    @Override
    public long wallClockMillis() {
      return loop.wallMillis();
    }

    @Override
    public long monotonicMillis() {
      return loop.monotonicNanos() / 1_000_000;
    }

    @Override
    public int availableRunSlots() {
      return entity.isActive() && membership.isLeaseValid()
          ? MAX_PENDING_RUNS - jobLifecycle.pendingSubmissionCount(entity)
          : 0;
    }

    @Override
    public CompletableFuture<WriteOutcome> storeRun(
        ScheduleRow before, ScheduleRow next, JobSpec spec) {
      int bytes = Cbor.encode(next.value()).length;
      CoWrittenRow companionRow =
          new CoWrittenRow(before.key(), before.modRevision(), next.value(), bytes);
      return jobLifecycle
          .store(entity, spec, companionRow)
          .thenCompose(
              stored -> {
                if (stored.newlyStored() && stored.revision() > 0) {
                  return completedWith(WriteResult.APPLIED, stored.revision());
                }
                if (stored.newlyStored() || stored.coWrittenRowConflict()) {
                  return completedWith(WriteResult.CONFLICT, 0);
                }
                // The run's job exists though its row does not say so: only the row is missing.
                return storeRow(before, next, null, true);
              });
    }

    private static CompletableFuture<WriteOutcome> completedWith(
        WriteResult result, long modRevision) {
      return CompletableFuture.completedFuture(new WriteOutcome(result, modRevision));
    }

    @Override
    public CompletableFuture<WriteOutcome> storeRow(
        ScheduleRow before, ScheduleRow next, ObjectNode block, boolean urgent) {
      Transaction transaction =
          entity
              .fencedTransaction()
              .ifRevision(before.key(), before.modRevision())
              .put(before.key(), next.value());
      if (block != null) {
        int number = next.value().path("blocks").asInt() - 1;
        transaction.put(next.blockKey(number), block);
        if (number >= ScheduleTrigger.MAX_HISTORY_BLOCKS) {
          transaction.delete(next.blockKey(number - ScheduleTrigger.MAX_HISTORY_BLOCKS));
        }
      }
      CompletableFuture<TransactionOutcome> outcome =
          urgent ? store.commit(transaction) : store.commitInBackground(transaction);
      return outcome.thenApply(
          o ->
              new WriteOutcome(
                  o.applied() ? WriteResult.APPLIED : WriteResult.CONFLICT, o.revision()));
    }

    @Override
    public JobView findJobView(JobId id) {
      Job job = entity.jobs().get(id);
      if (job != null && job.phase() != Job.Phase.FINISHED) {
        return job.toView();
      }
      JobView terminal = jobLifecycle.findTerminalView(id);
      if (terminal == null && lookupsInFlight.add(id)) {
        jobLifecycle.lookUp(id).whenComplete((found, failure) -> lookupsInFlight.remove(id));
      }
      return terminal;
    }

    @Override
    public RunProgress findRunProgress(JobId id) {
      Job job = entity.jobs().get(id);
      if (job == null) {
        return null;
      }
      double nowSeconds = loop.monotonicSeconds();
      double totalAgeSeconds = 0;
      int running = 0;
      for (TaskPlacement placement : job.placements()) {
        if (placement.runningSinceSeconds() > 0) {
          running++;
          totalAgeSeconds += nowSeconds - placement.runningSinceSeconds();
        }
      }
      return new RunProgress(
          job.spec().taskCount(),
          job.doneCount(),
          running,
          running == 0 ? 0 : totalAgeSeconds / running,
          runtimeEstimates.expectedRuntimeSeconds(job.spec()),
          startDelaySeconds(job.spec()));
    }

    private double startDelaySeconds(JobSpec spec) {
      double bootSeconds = 0;
      for (MachineType machineType : machineTypes.all()) {
        if (machineType.capacity().countFitting(spec.taskResources()) > 0) {
          bootSeconds =
              Math.max(
                  bootSeconds,
                  machineType.bootSeconds() + spec.imageGb() / machineType.fetchGbPerSecond());
        }
      }
      return bootSeconds + BootTimes.OVERHEAD_SECONDS;
    }
  }
}
