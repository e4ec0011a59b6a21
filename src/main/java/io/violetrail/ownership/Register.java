package io.violetrail.ownership;

import io.violetrail.config.Settings;
import io.violetrail.model.MachineId;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.net.Soon;
import io.violetrail.ownership.Directory.Block;
import io.violetrail.ownership.Rows.EntityRow;
import io.violetrail.ownership.Rows.MachineRow;
import io.violetrail.state.StateStore;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateWire.Change;
import io.violetrail.wire.StateWire.Outcome;
import io.violetrail.wire.StateWire.Txn;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * The records of a held entity's machines in the state service.
 *
 * <p>An entity's machines stand together in a few rows, its blocks, which only its owner writes.
 * What happens to many machines within a moment costs a write or two: with a write for each, a
 * hundred machines coming up took the state service longer than their boot. A machine that passes
 * to another entity gets a row of its own, since the two owners must not write the same block.
 */
public final class Register {
  private static final double GATHER_S = 0.2;
  private static final double AGAIN_S = 0.15;

  /** Part of a value that a block is filled to. */
  private static final double FILLED = 0.75;

  /** What a machine takes of a block at most, with names and numbers of usual length. */
  private static final int ROW_CHARS = 110;

  /** Blocks in one transaction, which keeps it below the protocol's 64 KiB. */
  private static final int MAX_BLOCKS = 6;

  /** Changes that wait; beyond that the caller is told no and comes back. */
  private static final int MAX_EDITS = 2_000;

  private final StateStore store;
  private final Directory directory;
  private final Membership membership;
  private final Settings settings;
  private final OwnedEntity h;
  private final int blockSize;
  private List<Edit> edits = new ArrayList<>();
  private final Soon next;
  private boolean writing;

  /** The last transaction left changes for the next one. */
  private boolean full;

  private enum Kind {
    /** A machine that no entity may have yet. */
    NEW,
    CHANGE,
    REMOVE,
    PASS
  }

  private static final class Edit {
    final Kind kind;
    final MachineRow row;
    final EntityRow target;
    final CompletableFuture<MachineRow> done = new CompletableFuture<>();

    Edit(Kind kind, MachineRow row, EntityRow target) {
      this.kind = kind;
      this.row = row;
      this.target = target;
    }
  }

  /** The row has another owner, or the write was not made: nothing may rest on it. */
  public static final class Refused extends RuntimeException {
    private static final long serialVersionUID = 1L;

    Refused(String why) {
      super(why, null, false, false);
    }
  }

  /** Creates the batched writer of one entity's machine records. */
  public Register(
      Loop loop,
      StateStore store,
      Directory directory,
      Membership membership,
      Settings settings,
      OwnedEntity h) {
    this.next = new Soon(loop, this::write);
    this.store = store;
    this.directory = directory;
    this.membership = membership;
    this.settings = settings;
    this.h = h;
    this.blockSize = (int) Math.max(1, settings.stateLimits().valueBytes() * FILLED / ROW_CHARS);
  }

  /** Records a machine unless another entity has it; completes with its row once stored. */
  public CompletableFuture<MachineRow> add(MachineRow row) {
    return edit(new Edit(Kind.NEW, row, null));
  }

  /**
   * Records machines; completes once each of them is either this entity's or known to be another's.
   */
  public CompletableFuture<Void> addAll(List<MachineRow> rows) {
    return CompletableFuture.allOf(
        rows.stream()
            .map(row -> add(row).handle((stored, failure) -> null))
            .toArray(CompletableFuture[]::new));
  }

  /** Rewrites a machine's record. */
  public CompletableFuture<MachineRow> change(MachineRow from, MachineRow to) {
    if (!from.inBlock()) {
      return single(h.fenced(), from, to);
    }
    return edit(new Edit(Kind.CHANGE, to, null));
  }

  /** Removes the record of a machine that is gone. */
  public CompletableFuture<MachineRow> remove(MachineRow row) {
    if (!row.inBlock()) {
      return single(h.fenced(), row, null);
    }
    return edit(new Edit(Kind.REMOVE, row, null));
  }

  /** Gives a machine to another entity, under the term that {@code to} names. */
  public CompletableFuture<MachineRow> pass(MachineRow from, MachineRow to, EntityRow target) {
    if (!from.inBlock()) {
      return single(h.fenced().when(Rows.entity(target.entity()), target.stamp()), from, to);
    }
    return edit(new Edit(Kind.PASS, to, target));
  }

  private CompletableFuture<MachineRow> single(Txn txn, MachineRow from, MachineRow to) {
    String key = Rows.machine(from.id());
    txn.when(key, from.stamp());
    if (to == null) {
      txn.drop(key);
    } else {
      txn.set(key, Rows.value(to));
    }
    return store
        .settle(txn)
        .thenApply(
            outcome -> {
              if (!outcome.applied()) {
                throw new Refused(from.id() + " has changed");
              }
              directory.apply(
                  new Change(key, to == null ? null : Rows.value(to), outcome.revision()));
              return to == null ? from : to.stamped(outcome.revision());
            });
  }

  private CompletableFuture<MachineRow> edit(Edit e) {
    if (edits.size() >= MAX_EDITS) {
      e.done.completeExceptionally(new Refused("too many changes wait"));
      return e.done;
    }
    edits.add(e);
    wake(GATHER_S);
    return e.done;
  }

  private void wake(double inS) {
    if (!writing && !edits.isEmpty()) {
      next.in(inS);
    }
  }

  private boolean over() {
    return h.phase() == OwnedEntity.Phase.LOST;
  }

  /** What one transaction is to write, worked out on the blocks as they are known. */
  private final class Draft {
    final Txn txn = h.fenced();
    final List<Edit> taken = new ArrayList<>();
    final Map<Integer, Map<MachineId, MachineRow>> changed = new LinkedHashMap<>();
    final Map<Integer, Block> known = directory.blocks(h.entity());
    final Map<MachineId, MachineRow> passed = new LinkedHashMap<>();
    boolean adds;

    private int blockOf(MachineId id) {
      for (var e : known.entrySet()) {
        if (rows(e.getKey()).containsKey(id)) {
          return e.getKey();
        }
      }
      for (var e : changed.entrySet()) {
        if (e.getValue().containsKey(id)) {
          return e.getKey();
        }
      }
      return -1;
    }

    private Map<MachineId, MachineRow> rows(int block) {
      Map<MachineId, MachineRow> rows = changed.get(block);
      if (rows == null) {
        Block b = known.get(block);
        rows = b == null ? Map.of() : b.rows();
      }
      return rows;
    }

    private Map<MachineId, MachineRow> toChange(int block) {
      return changed.computeIfAbsent(block, k -> new LinkedHashMap<>(rows(k)));
    }

    private int withSpace() {
      int k = 0;
      while (rows(k).size() >= blockSize) {
        k++;
      }
      return k;
    }

    /** False if the transaction is full. */
    boolean take(Edit e) {
      int writes = changed.size() + passed.size();
      if (changed.size() >= MAX_BLOCKS
          || writes + 3 > settings.stateLimits().txnOps()
          || txn.conditions().size() + MAX_BLOCKS + 2 > 4 * settings.stateLimits().txnOps()) {
        return false;
      }
      MachineId id = e.row.id();
      int block = blockOf(id);
      switch (e.kind) {
        case NEW -> {
          int k = block >= 0 ? block : withSpace();
          toChange(k).put(id, e.row.inBlock(k));
          txn.when(Rows.machine(id), 0);
          adds = true;
        }
        case CHANGE -> {
          if (block < 0) {
            return refuse(e, "is not this entity's any more");
          }
          toChange(block).put(id, e.row.inBlock(block));
        }
        case REMOVE -> {
          if (block >= 0) {
            toChange(block).remove(id);
          }
        }
        case PASS -> {
          if (block < 0) {
            return refuse(e, "is not this entity's any more");
          }
          toChange(block).remove(id);
          passed.put(id, e.row);
          txn.when(Rows.entity(e.target.entity()), e.target.stamp())
              .when(Rows.machine(id), 0)
              .set(Rows.machine(id), Rows.value(e.row));
        }
        default -> throw new IllegalStateException("unhandled kind of edit " + e.kind);
      }
      taken.add(e);
      return true;
    }

    private boolean refuse(Edit e, String why) {
      e.done.completeExceptionally(new Refused(e.row.id() + " " + why));
      return true;
    }

    Txn finish() {
      changed.forEach(
          (k, rows) -> {
            Block b = known.get(k);
            txn.when(Rows.block(h.entity(), k), b == null ? 0 : b.stamp())
                .set(Rows.block(h.entity(), k), Rows.value(rows.values()));
          });
      if (adds) {
        // Nobody else has the machines: whatever any entity has recorded as new is known here.
        txn.when(Rows.INTAKE, directory.intakeStamp()).set(Rows.INTAKE, Cbor.map());
      }
      return txn;
    }
  }

  private void write() {
    if (over()) {
      fail();
      return;
    }
    writing = true;
    Draft[] drawn = new Draft[1];
    Futures.logFailure(
        store
            .settleLate(() -> (drawn[0] = draft()) == null ? null : drawn[0].finish())
            .whenComplete(
                (outcome, failure) -> {
                  writing = false;
                  if (drawn[0] == null) {
                    wake(AGAIN_S);
                  } else if (failure == null && outcome.applied()) {
                    applied(drawn[0], outcome);
                    wake(full ? 0 : GATHER_S);
                  } else {
                    refused(drawn[0], outcome);
                  }
                }),
        "write machine records");
  }

  /** Takes as many of the changes that wait as one transaction holds; null if there are none. */
  private Draft draft() {
    Draft draft = new Draft();
    List<Edit> rest = new ArrayList<>();
    full = false;
    for (Edit e : edits) {
      if (e.kind == Kind.NEW && taken(e)) {
        continue;
      }
      full = full || !draft.take(e);
      if (full) {
        rest.add(e);
      }
    }
    edits = rest;
    return draft.taken.isEmpty() ? null : draft;
  }

  /** A machine that another entity has by now is not recorded twice. */
  private boolean taken(Edit e) {
    MachineRow known = directory.machine(e.row.id());
    if (known == null || (known.entity().equals(h.entity()) && known.inBlock())) {
      return false;
    }
    e.done.completeExceptionally(new Refused(e.row.id() + " is " + known.entity() + "'s"));
    return true;
  }

  private void applied(Draft draft, Outcome outcome) {
    long revision = outcome.revision();
    draft.changed.forEach(
        (k, rows) ->
            directory.apply(
                new Change(Rows.block(h.entity(), k), Rows.value(rows.values()), revision)));
    draft.passed.forEach(
        (id, row) -> directory.apply(new Change(Rows.machine(id), Rows.value(row), revision)));
    for (Edit e : draft.taken) {
      MachineRow now = directory.machine(e.row.id());
      e.done.complete(now == null ? e.row : now);
    }
  }

  /**
   * Somebody else has recorded machines meanwhile, an earlier try that seemed lost was applied, or
   * the entity has moved: what is still to be done is worked out afresh on a newer view.
   */
  private void refused(Draft draft, Outcome outcome) {
    Set<String> failed = outcome == null ? Set.of() : outcome.failed();
    List<Edit> again = new ArrayList<>();
    boolean moved = failed.contains(Rows.entity(h.entity()));
    for (Edit e : draft.taken) {
      boolean target = e.target != null && failed.contains(Rows.entity(e.target.entity()));
      if (moved || target) {
        e.done.completeExceptionally(new Refused("an entity has moved"));
      } else {
        again.add(e);
      }
    }
    again.addAll(edits);
    edits = again;
    boolean own =
        draft.changed.keySet().stream().anyMatch(k -> failed.contains(Rows.block(h.entity(), k)));
    boolean singles = failed.stream().anyMatch(key -> key.startsWith(Rows.MACHINE));
    if (moved || own || singles || outcome == null) {
      writing = true;
      membership.relistThen(
          () -> {
            writing = false;
            settlePasses();
            wake(AGAIN_S);
          });
    } else {
      // The watch brings in a moment what the others have recorded.
      wake(AGAIN_S);
    }
  }

  /** Passes that an earlier try has made, by the newest view. */
  private void settlePasses() {
    List<Edit> rest = new ArrayList<>();
    for (Edit e : edits) {
      MachineRow known = directory.machine(e.row.id());
      if (e.kind == Kind.PASS && known != null && known.entity().equals(e.row.entity())) {
        e.done.complete(known);
      } else {
        rest.add(e);
      }
    }
    edits = rest;
  }

  private void fail() {
    List<Edit> all = edits;
    edits = new ArrayList<>();
    all.forEach(e -> e.done.completeExceptionally(new Refused("the entity is held no more")));
  }
}
