package io.violetrail.calendar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.api.Companion;
import io.violetrail.api.Jobs;
import io.violetrail.calendar.Firing.Result;
import io.violetrail.calendar.Firing.Stored;
import io.violetrail.calendar.Foresight.Outlook;
import io.violetrail.config.Settings;
import io.violetrail.fleet.Boots;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.MachineType;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.scheduling.Estimates;
import io.violetrail.scheduling.Job;
import io.violetrail.scheduling.Placement;
import io.violetrail.state.FirstListing;
import io.violetrail.state.RowFeed;
import io.violetrail.state.StateStore;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateWire.Change;
import io.violetrail.wire.StateWire.Entry;
import io.violetrail.wire.StateWire.Outcome;
import io.violetrail.wire.StateWire.Txn;
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
public final class Schedules implements RowFeed.Rows {
  private static final Logger LOG = LoggerFactory.getLogger(Schedules.class);
  private static final double TICK_S = 0.25;
  private static final String ALL = "cal/";

  /**
   * Runs that may wait to be stored, and none while anything of users' does: four of them held a
   * submission up for two seconds where few writes are allowed.
   */
  private static final int MAY_WAIT = 1;

  private final Loop loop;
  private final Settings settings;
  private final StateStore store;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final Jobs jobs;
  private final Estimates estimates;
  private final RowFeed feed;
  private final Map<String, Set<LocalDate>> named = new HashMap<>();
  private final Holidays holidays = new Holidays();
  private final Days days = Days.of(holidays, named);
  private final Map<OwnedEntity, Own> owned = new HashMap<>();
  private final Set<String> names = new HashSet<>();

  private static final class Own {
    final Firing firing;
    final FirstListing listing = new FirstListing();

    Own(Firing firing) {
      this.firing = firing;
    }
  }

  /** Fires the schedules of the entities owned here. */
  public Schedules(
      Loop loop,
      Settings settings,
      StateStore store,
      Membership membership,
      MachineTypes machineTypes,
      Jobs jobs,
      Estimates estimates) {
    this.loop = loop;
    this.settings = settings;
    this.store = store;
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.jobs = jobs;
    this.estimates = estimates;
    this.feed = new RowFeed(store, loop, ALL, this);
  }

  public void start() {
    feed.start();
    loop.every(TICK_S, this::tick);
  }

  Days days() {
    return days;
  }

  boolean ready() {
    return feed.ready();
  }

  /** Schedules of all entities. */
  int count() {
    return names.size();
  }

  /** Schedules of held entities with a report that stands. */
  List<ScheduleRow> reported() {
    List<ScheduleRow> all = new ArrayList<>();
    owned.values().forEach(own -> all.addAll(own.firing.reported()));
    return all;
  }

  @Override
  public void listed(List<Entry> all, long revision) {
    named.clear();
    names.clear();
    for (Entry e : all) {
      take(e.key(), e.value(), e.stamp());
    }
  }

  @Override
  public void changed(List<Change> changes, long revision) {
    changes.forEach(c -> take(c.key(), c.value(), c.stamp()));
  }

  private void take(String key, JsonNode value, long stamp) {
    if (key.startsWith(ScheduleRow.DAYS)) {
      String name = key.substring(ScheduleRow.DAYS.length());
      if (value == null) {
        named.remove(name);
      } else {
        Set<LocalDate> dates = new HashSet<>();
        value.path("dates").forEach(d -> dates.add(LocalDate.parse(d.asText())));
        named.put(name, dates);
      }
      owned.values().forEach(own -> own.firing.daysChanged());
    } else if (key.startsWith(ScheduleRow.ROWS)) {
      String name = key.substring(ScheduleRow.ROWS.length());
      if (value == null) {
        names.remove(name);
        owned.values().forEach(own -> own.firing.gone(name));
        return;
      }
      ScheduleRow row = ScheduleRow.of(key, value, stamp);
      names.add(name);
      owned.forEach(
          (h, own) -> {
            if (h.entity().equals(row.entity())) {
              own.firing.row(row);
            }
          });
    }
  }

  private void tick() {
    owned.keySet().retainAll(membership.holdings());
    if (!membership.valid() || !feed.ready()) {
      return;
    }
    for (OwnedEntity h : membership.holdings()) {
      Own own = owned.computeIfAbsent(h, this::own);
      if (!own.listing.done()) {
        load(h, own);
      } else if (h.active()) {
        own.firing.tick();
      }
    }
  }

  private Own own(OwnedEntity h) {
    return new Own(new Firing(new Port(h), () -> days, settings.timeBoundS()));
  }

  /** Rows as of after the move: what a former owner settled stands in them. */
  private void load(OwnedEntity h, Own own) {
    own.listing.read(
        store,
        ScheduleRow.ROWS,
        e -> {
          ScheduleRow row = ScheduleRow.of(e.key(), e.value(), e.stamp());
          if (row.entity().equals(h.entity())) {
            own.firing.row(row);
          }
        },
        () -> LOG.info("entity {}: {} schedules", h.entity(), own.firing.schedules()));
  }

  /** What the schedules of one entity reach. */
  private final class Port implements Firing.Port {
    private final OwnedEntity h;
    private final Set<JobId> asking = new HashSet<>();

    Port(OwnedEntity h) {
      this.h = h;
    }

    @Override
    public long wallMs() {
      return loop.wallMillis();
    }

    @Override
    public long steadyMs() {
      return loop.nanos() / 1_000_000;
    }

    @Override
    public int room() {
      return h.active() && membership.valid() ? MAY_WAIT - jobs.waiting(h) : 0;
    }

    @Override
    public CompletableFuture<Stored> fire(ScheduleRow before, ScheduleRow next, JobSpec spec) {
      int bytes = Cbor.bytes(next.value()).length;
      Companion with = new Companion(before.key(), before.stamp(), next.value(), bytes);
      return jobs.store(h, spec, with)
          .thenCompose(
              stored -> {
                if (stored.fresh() && stored.revision() > 0) {
                  return done(Result.APPLIED, stored.revision());
                }
                if (stored.fresh() || stored.companionTaken()) {
                  return done(Result.CHANGED, 0);
                }
                // The run's job exists though its row does not say so: only the row is missing.
                return write(before, next, null, true);
              });
    }

    private static CompletableFuture<Stored> done(Result result, long stamp) {
      return CompletableFuture.completedFuture(new Stored(result, stamp));
    }

    @Override
    public CompletableFuture<Stored> write(
        ScheduleRow before, ScheduleRow next, ObjectNode block, boolean urgent) {
      Txn txn = h.fenced().when(before.key(), before.stamp()).set(before.key(), next.value());
      if (block != null) {
        int number = next.value().path("blocks").asInt() - 1;
        txn.set(next.blockKey(number), block);
        if (number >= Firing.MOST_BLOCKS) {
          txn.drop(next.blockKey(number - Firing.MOST_BLOCKS));
        }
      }
      CompletableFuture<Outcome> outcome = urgent ? store.settle(txn) : store.settleLast(txn);
      return outcome.thenApply(
          o -> new Stored(o.applied() ? Result.APPLIED : Result.CHANGED, o.revision()));
    }

    @Override
    public JobView view(JobId id) {
      Job job = h.jobs().get(id);
      if (job != null && job.phase() != Job.Phase.OVER) {
        return job.view();
      }
      JobView over = jobs.terminalView(id);
      if (over == null && asking.add(id)) {
        Futures.logFailure(
            jobs.lookUp(id).whenComplete((found, failure) -> asking.remove(id)),
            "look a run's job up");
      }
      return over;
    }

    @Override
    public Outlook outlook(JobId id) {
      Job job = h.jobs().get(id);
      if (job == null) {
        return null;
      }
      double now = loop.seconds();
      double age = 0;
      int running = 0;
      for (Placement p : job.placements()) {
        if (p.runningS() > 0) {
          running++;
          age += now - p.runningS();
        }
      }
      return new Outlook(
          job.spec().tasks(),
          job.doneCount(),
          running,
          running == 0 ? 0 : age / running,
          estimates.runS(job.spec()),
          startS(job.spec()));
    }

    private double startS(JobSpec spec) {
      double boot = 0;
      for (MachineType t : machineTypes.all()) {
        if (t.size().count(spec.task()) > 0) {
          boot = Math.max(boot, t.bootS() + spec.imageGb() / t.fetchGbPerS());
        }
      }
      return boot + Boots.LEAD_S;
    }
  }
}
