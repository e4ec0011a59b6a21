package io.violetrail.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings.StateLimits;
import io.violetrail.model.JobId;
import io.violetrail.net.Futures;
import io.violetrail.net.Loop;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.Rows;
import io.violetrail.scheduling.Job;
import io.violetrail.state.StateStore;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateWire.Entry;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which tasks of an entity's open jobs are done, as stored. A row holds parts of many jobs, so that
 * a hundred jobs in progress cost a few writes and not a hundred: the state service counts each.
 */
final class Progress {
  /** Tasks that are done wait this long for others, so that one write stores many. */
  private static final double FLUSH_S = 3;

  /** Part of a value that a row is filled to; keys and the rest of the map come on top. */
  private static final double FILLED = 0.7;

  /** What a part's name and marks take beside its bits. */
  private static final int NAME_CHARS = 40;

  private final Loop loop;
  private final StateStore store;
  private final Membership membership;
  private final OwnedEntity h;
  private final int chunk;
  private final int maxChars;
  private final List<Slot> slots = new ArrayList<>();
  private final Map<String, Slot> slotOf = new HashMap<>();

  /** A row, with the parts of jobs in it. */
  private static final class Slot {
    final int number;
    long stamp;
    int chars;
    boolean dirty;
    boolean writing;
    double flushedS;
    final Map<String, Part> parts = new HashMap<>();

    Slot(int number) {
      this.number = number;
    }
  }

  /** The tasks of a job from {@code from} to before {@code to}. */
  private record Part(Job job, int from, int to) {
    String name() {
      return job.spec().id() + "/" + from;
    }

    int chars() {
      return NAME_CHARS + ((to - from + 7) / 8 + 2) / 3 * 4;
    }
  }

  Progress(Loop loop, StateStore store, StateLimits limits, Membership membership, OwnedEntity h) {
    this.loop = loop;
    this.store = store;
    this.membership = membership;
    this.h = h;
    this.maxChars = (int) (limits.valueBytes() * FILLED);
    // Six tasks a character of base64, and at most half a value.
    this.chunk = Math.min(16_384, limits.valueBytes() / 2 * 6);
  }

  /** Tasks of the job are done that are not stored. */
  void changed(Job job) {
    for (int from = 0; from < job.spec().tasks(); from += chunk) {
      Part part = new Part(job, from, Math.min(job.spec().tasks(), from + chunk));
      if (!job.doneNotStored(part.from(), part.to()).isEmpty()) {
        slotOf.computeIfAbsent(part.name(), n -> slotFor(part)).dirty = true;
      }
    }
  }

  private Slot slotFor(Part part) {
    Slot slot = null;
    for (Slot s : slots) {
      if (slot == null && s.chars + part.chars() <= maxChars) {
        slot = s;
      }
    }
    if (slot == null) {
      slot = new Slot(slots.size());
      slots.add(slot);
    }
    put(slot, part);
    return slot;
  }

  private static void put(Slot slot, Part part) {
    if (slot.parts.put(part.name(), part) == null) {
      slot.chars += part.chars();
    }
  }

  /** Stores what is due, and lets go of jobs that are over. */
  void flush(double now) {
    for (Slot slot : slots) {
      for (Part p : List.copyOf(slot.parts.values())) {
        if (p.job().phase() == Job.Phase.OVER) {
          slot.parts.remove(p.name());
          slotOf.remove(p.name());
          slot.chars -= p.chars();
        }
      }
      if (slot.dirty && !slot.writing && now - slot.flushedS >= FLUSH_S) {
        slot.flushedS = now;
        write(slot);
      }
    }
  }

  private void write(Slot slot) {
    slot.writing = true;
    slot.dirty = false;
    String key = Rows.progress(h.entity(), slot.number);
    ObjectNode value = Cbor.map();
    Map<Part, BitSet> written = new HashMap<>();
    for (Part p : slot.parts.values()) {
      BitSet bits = p.job().done().get(p.from(), p.to());
      written.put(p, bits);
      value.put(p.name(), Base64.getEncoder().encodeToString(bits.toByteArray()));
    }
    // The row's stamp keeps a late write of older progress from undoing newer one.
    Futures.logFailure(
        store
            .settleLast(h.fenced().when(key, slot.stamp).set(key, value))
            .whenComplete(
                (outcome, failure) -> {
                  slot.writing = false;
                  if (failure != null) {
                    slot.dirty = true;
                  } else if (outcome.applied()) {
                    slot.stamp = outcome.revision();
                    written.forEach(
                        (p, bits) -> bits.stream().forEach(i -> p.job().markStored(p.from() + i)));
                  } else if (outcome.failed().contains(Rows.entity(h.entity()))) {
                    membership.suspect();
                  } else {
                    reread(slot, key);
                  }
                }),
        "write tasks' progress");
  }

  /** An earlier try that was thought lost has changed the row. */
  private void reread(Slot slot, String key) {
    slot.writing = true;
    Futures.logFailure(
        store
            .get(key)
            .whenComplete(
                (entry, failure) -> {
                  if (failure != null) {
                    loop.after(1, () -> reread(slot, key));
                  } else {
                    slot.writing = false;
                    slot.stamp = entry.stamp();
                    slot.dirty = true;
                  }
                }),
        "read tasks' progress again");
  }

  /** Takes over what a former owner stored. */
  void load(List<Entry> entries) {
    String prefix = Rows.progress(h.entity());
    for (Entry e : entries) {
      int number = Integer.parseInt(e.key().substring(prefix.length()));
      while (slots.size() <= number) {
        slots.add(new Slot(slots.size()));
      }
      Slot slot = slots.get(number);
      slot.stamp = e.stamp();
      e.value().properties().forEach(f -> take(slot, f.getKey(), f.getValue().asText()));
    }
  }

  private void take(Slot slot, String name, String text) {
    int slash = name.indexOf('/');
    Job job = h.jobs().get(new JobId(name.substring(0, slash)));
    int from = Integer.parseInt(name.substring(slash + 1));
    if (job == null || from >= job.spec().tasks()) {
      return;
    }
    BitSet.valueOf(Base64.getDecoder().decode(text)).stream()
        .forEach(
            i -> {
              job.markDone(from + i);
              job.markStored(from + i);
            });
    Part part = new Part(job, from, Math.min(job.spec().tasks(), from + chunk));
    put(slot, part);
    slotOf.put(part.name(), slot);
  }
}
