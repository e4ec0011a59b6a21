package io.violetrail.calendar;

import com.fasterxml.jackson.databind.JsonNode;
import io.violetrail.api.JobLifecycle;
import io.violetrail.config.Settings;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.net.EventLoop;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.RuntimeEstimates;
import io.violetrail.state.InitialListing;
import io.violetrail.state.PrefixWatcher;
import io.violetrail.state.StateStore;
import io.violetrail.wire.StateStoreMessages.Entry;
import io.violetrail.wire.StateStoreMessages.RowChange;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The schedules of the entities that this controller owns, and the local days that all schedules
 * share. Keeps a {@link ScheduleTrigger} for each owned entity, passes it the entity's rows, and
 * ticks it while the controller's lease is valid.
 *
 * <p>Called on the event loop's thread. After a crash or a failover the next owner reads the rows
 * again. The registry and its triggers are not loaded unless calendars are enabled.
 */
public final class ScheduleRegistry implements PrefixWatcher.RowListener {
  private static final Logger LOG = LoggerFactory.getLogger(ScheduleRegistry.class);
  private static final double TICK_SECONDS = 0.25;
  private static final String KEY_PREFIX = "cal/";

  private final EventLoop loop;
  private final Settings settings;
  private final StateStore store;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final JobLifecycle jobLifecycle;
  private final RuntimeEstimates runtimeEstimates;
  private final PrefixWatcher rowWatcher;
  private final Map<String, Set<LocalDate>> namedDays = new HashMap<>();
  private final PublicHolidays holidays = new PublicHolidays();
  private final DayCalendar dayCalendar = DayCalendar.of(holidays, namedDays);
  private final Map<OwnedEntity, EntitySchedules> schedulesByEntity = new HashMap<>();
  private final Set<String> scheduleNames = new HashSet<>();

  /** The schedules of one owned entity, and the progress of reading them after its acquisition. */
  private record EntitySchedules(ScheduleTrigger trigger, InitialListing initialListing) {}

  /** Creates the registry; {@link #start} starts it. */
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
    this.rowWatcher = new PrefixWatcher(store, loop, KEY_PREFIX, this);
  }

  /** Starts to watch the rows and to fire schedules. */
  public void start() {
    rowWatcher.start();
    loop.scheduleWithFixedDelay(TICK_SECONDS, this::tick);
  }

  DayCalendar dayCalendar() {
    return dayCalendar;
  }

  boolean isReady() {
    return rowWatcher.isReady();
  }

  /** Returns the number of schedules of all entities, including those of other controllers. */
  int scheduleCount() {
    return scheduleNames.size();
  }

  /** Returns the schedules of owned entities that have a report which was not withdrawn. */
  List<ScheduleRow> findSchedulesWithOpenReports() {
    List<ScheduleRow> rows = new ArrayList<>();
    schedulesByEntity
        .values()
        .forEach(schedules -> rows.addAll(schedules.trigger().findSchedulesWithOpenReports()));
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
    changes.forEach(change -> applyRow(change.key(), change.value(), change.modRevision()));
  }

  private void applyRow(String key, JsonNode value, long modRevision) {
    if (key.startsWith(ScheduleRow.CALENDAR_KEY_PREFIX)) {
      applyNamedDays(key.substring(ScheduleRow.CALENDAR_KEY_PREFIX.length()), value);
    } else if (key.startsWith(ScheduleRow.KEY_PREFIX) && value == null) {
      String name = key.substring(ScheduleRow.KEY_PREFIX.length());
      scheduleNames.remove(name);
      schedulesByEntity.values().forEach(schedules -> schedules.trigger().onScheduleDeleted(name));
    } else if (key.startsWith(ScheduleRow.KEY_PREFIX)) {
      applySchedule(ScheduleRow.fromRow(key, value, modRevision));
    }
  }

  private void applyNamedDays(String name, JsonNode value) {
    if (value == null) {
      namedDays.remove(name);
    } else {
      Set<LocalDate> dates = new HashSet<>();
      value.path("dates").forEach(date -> dates.add(LocalDate.parse(date.asText())));
      namedDays.put(name, dates);
    }
    schedulesByEntity.values().forEach(schedules -> schedules.trigger().onDaysChanged());
  }

  private void applySchedule(ScheduleRow row) {
    scheduleNames.add(row.name());
    schedulesByEntity.forEach(
        (entity, schedules) -> {
          if (entity.id().equals(row.entity())) {
            schedules.trigger().onRowChanged(row);
          }
        });
  }

  private void tick() {
    schedulesByEntity.keySet().retainAll(membership.ownedEntities());
    if (!membership.isLeaseValid() || !rowWatcher.isReady()) {
      return;
    }
    for (OwnedEntity entity : membership.ownedEntities()) {
      EntitySchedules schedules =
          schedulesByEntity.computeIfAbsent(entity, this::createEntitySchedules);
      if (!schedules.initialListing().isComplete()) {
        loadRows(entity, schedules);
      } else if (entity.isActive()) {
        schedules.trigger().tick();
      }
    }
  }

  private EntitySchedules createEntitySchedules(OwnedEntity entity) {
    return new EntitySchedules(
        new ScheduleTrigger(
            new OwnedEntityEnvironment(
                loop, store, membership, machineTypes, jobLifecycle, runtimeEstimates, entity),
            () -> dayCalendar,
            settings.clockErrorBoundSeconds()),
        new InitialListing());
  }

  /**
   * Reads the rows after the entity was acquired, so that they include all due times that a former
   * owner settled.
   */
  private void loadRows(OwnedEntity entity, EntitySchedules schedules) {
    schedules
        .initialListing()
        .startReading(
            store,
            ScheduleRow.KEY_PREFIX,
            entry -> {
              ScheduleRow row =
                  ScheduleRow.fromRow(entry.key(), entry.value(), entry.modRevision());
              if (row.entity().equals(entity.id())) {
                schedules.trigger().onRowChanged(row);
              }
            },
            () ->
                LOG.info(
                    "entity {}: read {} schedules",
                    entity.id(),
                    schedules.trigger().scheduleCount()));
  }
}
