package io.violetrail.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.api.Sheets.Entered;
import io.violetrail.api.Sheets.Page;
import io.violetrail.api.Sheets.Sheet;
import io.violetrail.config.Settings.StateLimits;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.JobView.Status;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.net.Soon;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.Rows;
import io.violetrail.state.StateStore;
import io.violetrail.state.StateStore.Unavailable;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.JobWire;
import io.violetrail.wire.StateWire.Entry;
import io.violetrail.wire.StateWire.Outcome;
import io.violetrail.wire.StateWire.Txn;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * The beginnings and ends of a held entity's jobs in the state service.
 *
 * <p>A job costs one row of its own, {@code job/<id>}, which claims its id, names its entity and
 * the page on which its end will stand, and never changes. What it is to run stands in one of the
 * entity's sheets with other open jobs, and its end on that page with other ends. Sheets and pages
 * are written by the entity's owner alone, so whatever begins and ends within a moment costs a
 * write or two beside the claims: with four writes a job, a few hundred tiny jobs a minute were
 * more than the state service takes. A job whose end stands on its page is over, whatever a sheet
 * says.
 */
public final class Ledger {
  private static final double GATHER_S = 0.01;
  private static final double AGAIN_S = 0.15;

  /**
   * A transaction may write so many rows even if that is more than a second's worth: three jobs
   * that share a sheet, and a page. With a seventh of a small budget each held one job and a sheet,
   * so that jobs cost more changes just when these were short. With eight rows the machines'
   * records waited too long behind submissions where a second's worth is three.
   */
  private static final int LEAST_WRITES = 5;

  /**
   * Beginnings go first, but ends that have waited for so long do: they share a page, so they are
   * cheap. Left behind without end, ended jobs were told as running and kept their entries on the
   * sheets while submissions used up the budget.
   */
  private static final double END_PATIENCE_S = 1;

  /** Rows that are not claims in one transaction, which keeps it below the protocol's 64 KiB. */
  private static final int MAX_ROWS = 4;

  /** Rows of jobs' own in one transaction, for the same reason. */
  private static final int MAX_COMPANION_BYTES = 20 * 1024;

  private final Loop loop;
  private final StateStore store;
  private final StateLimits limits;
  private final Membership membership;
  private final OwnedEntity h;
  private final Sheets sheets;
  private final ArrayDeque<Edit> edits = new ArrayDeque<>();
  private final Map<JobId, Edit> entering = new HashMap<>();
  private final Soon next;
  private boolean writing;

  /** A job that begins ({@code spec}) or ends ({@code end}). */
  private static final class Edit {
    final JobId id;
    final JobSpec spec;
    final long arrivedMs;
    final String end;

    /** A row that begins with the job; null if there is none. */
    final Companion with;

    final CompletableFuture<Boolean> done = new CompletableFuture<>();
    final double sinceS;
    boolean companionTaken;
    long revision;

    Edit(JobId id, JobSpec spec, long arrivedMs, String end, Companion with, double sinceS) {
      this.sinceS = sinceS;
      this.id = id;
      this.spec = spec;
      this.arrivedMs = arrivedMs;
      this.end = end;
      this.with = with;
    }
  }

  Ledger(Loop loop, StateStore store, StateLimits limits, Membership membership, OwnedEntity h) {
    this.loop = loop;
    this.store = store;
    this.limits = limits;
    this.membership = membership;
    this.h = h;
    this.next = new Soon(loop, this::write);
    this.sheets = new Sheets(h, limits.valueBytes());
  }

  /** The end of a job as it stands on a page; null if none stands there. */
  static JobView end(JobId id, JsonNode page) {
    String text = page == null ? "" : page.path(id.value()).asText();
    int space = text.indexOf(' ');
    return space < 0
        ? null
        : new JobView(
            id.value(),
            Status.valueOf(text.substring(0, space)),
            Integer.parseInt(text.substring(space + 1)),
            0);
  }

  /** Jobs that wait to be stored. */
  int waiting() {
    return entering.size();
  }

  /** Stores a new job and the row that begins with it, unless one of them is there already. */
  CompletableFuture<Jobs.Stored> enter(JobSpec spec, long arrivedMs, Companion with) {
    Edit before = entering.get(spec.id());
    if (before != null) {
      return before.done.thenApply(stored -> new Jobs.Stored(false, false, 0));
    }
    Edit e = new Edit(spec.id(), spec, arrivedMs, null, with, loop.seconds());
    entering.put(e.id, e);
    Futures.logFailure(
        e.done.whenComplete((stored, failure) -> entering.remove(e.id, e)),
        "forget a stored submission");
    return add(e).thenApply(stored -> new Jobs.Stored(stored, e.companionTaken, e.revision));
  }

  /** Stores the end of an open job; fails if the entity has moved. */
  CompletableFuture<Boolean> end(JobId id, Status status, int done) {
    return add(new Edit(id, null, 0, status.name() + " " + done, null, loop.seconds()));
  }

  private CompletableFuture<Boolean> add(Edit e) {
    edits.add(e);
    wake(GATHER_S);
    return e.done;
  }

  private void wake(double inS) {
    if (!writing && !edits.isEmpty()) {
      next.in(inS);
    }
  }

  private void write() {
    if (writing || edits.isEmpty()) {
      return;
    }
    writing = true;
    Draft[] drawn = new Draft[1];
    Futures.logFailure(
        store
            .settleLateForUser(() -> (drawn[0] = draft()) == null ? null : drawn[0].finish())
            .whenComplete(
                (outcome, failure) -> {
                  writing = false;
                  Draft draft = drawn[0];
                  if (draft == null) {
                    wake(AGAIN_S);
                  } else if (failure != null) {
                    draft.taken.forEach(e -> e.done.completeExceptionally(Unavailable.of(failure)));
                    wake(GATHER_S);
                  } else if (outcome.applied()) {
                    draft.applied(outcome.revision());
                    wake(GATHER_S);
                  } else {
                    refused(draft, outcome);
                  }
                }),
        "write jobs");
  }

  /** What one transaction is to write. Nothing of it counts before it is applied. */
  private final class Draft {
    final Txn txn = h.fenced();
    final List<Edit> taken = new ArrayList<>();
    final Map<JobId, Entered> entered = new LinkedHashMap<>();
    final Set<JobId> left = new HashSet<>();
    final Map<Sheet, Map<JobId, Entered>> sheetsTo = new LinkedHashMap<>();
    final Map<Page, Map<JobId, String>> pagesTo = new LinkedHashMap<>();
    private int claims;
    private int companionBytes;

    /**
     * A second's worth of writes at most: machines' records are not to wait for longer than that.
     */
    private final int maxWrites =
        (int) Math.min(limits.txnOps(), Math.max(LEAST_WRITES, store.writesPerSecond()));

    private boolean full() {
      int writes = claims + sheetsTo.size() + pagesTo.size();
      return writes + 2 > maxWrites || sheetsTo.size() + pagesTo.size() >= MAX_ROWS;
    }

    /** False if the transaction is full. */
    boolean take(Edit e) {
      int bytes = e.with == null ? 0 : e.with.bytes();
      boolean tooMuch = companionBytes > 0 && companionBytes + bytes > MAX_COMPANION_BYTES;
      if (full() || (bytes > 0 && tooMuch)) {
        return false;
      }
      if (e.spec != null) {
        companionBytes += bytes;
        enter(e);
      } else {
        Entered job = sheets.open(e.id);
        if (job == null) {
          // Its end stands already. Whoever waits may have more to store, so is told afterwards.
          loop.execute(() -> e.done.complete(true));
          return true;
        }
        left.add(e.id);
        pagesTo.computeIfAbsent(job.page(), p -> new LinkedHashMap<>(p.ends)).put(e.id, e.end);
      }
      taken.add(e);
      return true;
    }

    private void enter(Edit e) {
      ArrayNode value = Cbor.map().arrayNode();
      Page page = sheets.pageForNext();
      value.add(page.name).add(e.arrivedMs);
      JobWire.pack(e.spec, value);
      int chars = Sheets.chars(value);
      Sheet sheet = sheets.withSpace(chars, sheetsTo);
      Entered job = new Entered(e.id, sheet, page, value, chars);
      sheetsTo.computeIfAbsent(sheet, s -> new LinkedHashMap<>(s.jobs)).put(e.id, job);
      entered.put(e.id, job);
      claims++;
      txn.when(Rows.job(e.id), 0)
          .set(Rows.job(e.id), Jobs.row(h.entity(), e.spec).put("page", page.name));
      if (e.with != null) {
        claims++;
        txn.when(e.with.key(), e.with.stamp()).set(e.with.key(), e.with.value());
      }
    }

    Txn finish() {
      sheetsTo.forEach(
          (sheet, jobs) -> {
            jobs.keySet().removeAll(left);
            ObjectNode value = Cbor.map();
            jobs.values().forEach(j -> value.set(j.id().value(), j.value()));
            String key = Rows.sheet(h.entity(), sheet.number);
            txn.when(key, sheet.stamp).set(key, value);
          });
      pagesTo.forEach(
          (page, ends) -> {
            ObjectNode value = Cbor.map();
            ends.forEach((id, end) -> value.put(id.value(), end));
            String key = Rows.page(h.entity(), page.name);
            txn.when(key, page.stamp).set(key, value);
          });
      return txn;
    }

    void applied(long revision) {
      sheetsTo.forEach((sheet, jobs) -> sheet.stamp = revision);
      pagesTo.forEach(
          (page, ends) -> {
            page.stamp = revision;
            page.ends.putAll(ends);
          });
      entered.values().forEach(sheets::opened);
      left.forEach(sheets::leave);
      taken.forEach(
          e -> {
            e.revision = revision;
            e.done.complete(true);
          });
    }
  }

  private Draft draft() {
    if (h.phase() == OwnedEntity.Phase.LOST) {
      fail();
      return null;
    }
    Draft draft = new Draft();
    ArrayDeque<Edit> rest = new ArrayDeque<>();
    // Users wait for beginnings; an end has until its user's next question.
    boolean beginningsFirst = !endsWaitLong();
    for (boolean begins : new boolean[] {beginningsFirst, !beginningsFirst}) {
      for (Edit e : edits) {
        if ((e.spec != null) == begins && !draft.take(e)) {
          rest.add(e);
        }
      }
    }
    edits.clear();
    edits.addAll(rest);
    return draft.taken.isEmpty() ? null : draft;
  }

  private boolean endsWaitLong() {
    double now = loop.seconds();
    for (Edit e : edits) {
      if (e.spec == null && now - e.sinceS > END_PATIENCE_S) {
        return true;
      }
    }
    return false;
  }

  private void fail() {
    List<Edit> all = List.copyOf(edits);
    edits.clear();
    all.forEach(e -> e.done.completeExceptionally(new Unavailable("the entity has moved", 409)));
  }

  /**
   * The entity has moved, ids were taken, or an earlier try that seemed lost has been applied: then
   * the rows tell what of it is done.
   */
  private void refused(Draft draft, Outcome outcome) {
    if (outcome.failed().contains(Rows.entity(h.entity()))) {
      draft.taken.forEach(
          e -> e.done.completeExceptionally(new Unavailable("the entity has moved", 409)));
      fail();
      membership.suspect();
      return;
    }
    List<Sheet> sheetsOff =
        draft.sheetsTo.keySet().stream()
            .filter(s -> outcome.failed().contains(Rows.sheet(h.entity(), s.number)))
            .toList();
    List<Page> pagesOff =
        draft.pagesTo.keySet().stream()
            .filter(p -> outcome.failed().contains(Rows.page(h.entity(), p.name)))
            .toList();
    if (!sheetsOff.isEmpty() || !pagesOff.isEmpty()) {
      writing = true;
      reread(draft, sheetsOff, pagesOff);
      return;
    }
    List<Edit> again = new ArrayList<>();
    for (Edit e : draft.taken) {
      e.companionTaken = e.with != null && outcome.failed().contains(e.with.key());
      if (e.spec != null && (e.companionTaken || outcome.failed().contains(Rows.job(e.id)))) {
        e.done.complete(false);
      } else {
        again.add(e);
      }
    }
    repeat(again);
  }

  private void repeat(List<Edit> again) {
    for (int i = again.size() - 1; i >= 0; i--) {
      edits.addFirst(again.get(i));
    }
    wake(GATHER_S);
  }

  private void reread(Draft draft, List<Sheet> sheetsOff, List<Page> pagesOff) {
    List<CompletableFuture<Entry>> reads = new ArrayList<>();
    sheetsOff.forEach(s -> reads.add(store.get(Rows.sheet(h.entity(), s.number))));
    pagesOff.forEach(p -> reads.add(store.get(Rows.page(h.entity(), p.name))));
    Futures.logFailure(
        CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
            .whenComplete(
                (nothing, failure) -> {
                  if (failure != null) {
                    loop.after(0.5, () -> reread(draft, sheetsOff, pagesOff));
                    return;
                  }
                  writing = false;
                  for (int i = 0; i < sheetsOff.size(); i++) {
                    sheets.take(sheetsOff.get(i), reads.get(i).join(), draft.entered::containsKey);
                  }
                  for (int i = 0; i < pagesOff.size(); i++) {
                    sheets.take(pagesOff.get(i), reads.get(sheetsOff.size() + i).join());
                  }
                  settle(draft);
                }),
        "read jobs again");
  }

  private void settle(Draft draft) {
    List<Edit> again = new ArrayList<>();
    for (Edit e : draft.taken) {
      boolean done = (e.spec != null) == (sheets.open(e.id) != null);
      if (done) {
        e.done.complete(true);
      } else {
        again.add(e);
      }
    }
    repeat(again);
  }

  /** Takes over what a former owner left on the sheets listed; the jobs that are still open. */
  CompletableFuture<List<Stored>> load(List<Entry> listed) {
    Map<String, CompletableFuture<Entry>> reads = new HashMap<>();
    Sheets.pagesOf(listed).forEach(n -> reads.put(n, store.getNow(Rows.page(h.entity(), n))));
    return CompletableFuture.allOf(reads.values().toArray(CompletableFuture[]::new))
        .thenApply(
            nothing -> {
              reads.forEach((name, read) -> sheets.takePage(name, read.join()));
              listed.forEach(sheets::takeSheet);
              return sheets.allStored();
            });
  }

  /** The job if it is open at this entity; null if it is not. */
  Stored stored(JobId id) {
    return sheets.stored(id);
  }

  /** An open job as it was stored. */
  public record Stored(JobSpec spec, long arrivedMs) {}
}
