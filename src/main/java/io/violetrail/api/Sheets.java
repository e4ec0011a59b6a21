package io.violetrail.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.violetrail.api.Ledger.Stored;
import io.violetrail.model.JobId;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.ownership.Rows;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.Cbor.Malformed;
import io.violetrail.wire.JobWire;
import io.violetrail.wire.StateWire.Entry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;

/** What is known of a held entity's sheets and pages, as of their last write or reading. */
final class Sheets {
  /** Part of a value that a sheet or page is filled to. */
  private static final double FILLED = 0.75;

  /** What an entry's name and marks take beside its description. */
  private static final int NAME_CHARS = 40;

  private final OwnedEntity h;
  private final int maxChars;
  private final int pageJobs;
  private final List<Sheet> sheets = new ArrayList<>();
  private final Map<String, Page> pages = new HashMap<>();
  private final Map<JobId, Entered> open = new HashMap<>();
  private Page current;
  private int pagesBegun;

  /** What stands on a sheet of one open job. */
  record Entered(JobId id, Sheet sheet, Page page, ArrayNode value, int chars) {}

  static final class Sheet {
    final int number;
    long stamp;
    final Map<JobId, Entered> jobs = new LinkedHashMap<>();

    Sheet(int number) {
      this.number = number;
    }
  }

  static final class Page {
    final String name;
    long stamp;
    private int promised;
    private int open;
    final Map<JobId, String> ends = new LinkedHashMap<>();

    Page(String name) {
      this.name = name;
    }
  }

  Sheets(OwnedEntity h, int valueBytes) {
    this.h = h;
    this.maxChars = (int) (valueBytes * FILLED);
    this.pageJobs = Math.max(1, maxChars / NAME_CHARS);
  }

  static int chars(ArrayNode value) {
    return value.toString().length() + NAME_CHARS;
  }

  private static int chars(Map<JobId, Entered> jobs) {
    return jobs.values().stream().mapToInt(Entered::chars).sum();
  }

  /** What stands of an open job; null if it is not open here. */
  Entered open(JobId id) {
    return open.get(id);
  }

  /** A sheet that takes so much more, given what some are going to hold. */
  Sheet withSpace(int chars, Map<Sheet, Map<JobId, Entered>> to) {
    for (Sheet s : sheets) {
      int used = chars(to.getOrDefault(s, s.jobs));
      if (used == 0 || used + chars <= maxChars) {
        return s;
      }
    }
    return sheet(sheets.size());
  }

  private Sheet sheet(int number) {
    while (sheets.size() <= number) {
      sheets.add(new Sheet(sheets.size()));
    }
    return sheets.get(number);
  }

  /** The page for the end of a job that begins now. Its name was never given before. */
  Page pageForNext() {
    if (current == null || current.promised >= pageJobs) {
      current = new Page(h.row().version() + "-" + ++pagesBegun);
      pages.put(current.name, current);
    }
    current.promised++;
    return current;
  }

  /** A job stands on its sheet. */
  void opened(Entered job) {
    job.sheet().jobs.put(job.id(), job);
    if (open.put(job.id(), job) == null) {
      job.page().open++;
    }
  }

  /** A job is over: its place on its sheet is free, and the sheet's next write says so. */
  void leave(JobId id) {
    Entered job = open.remove(id);
    if (job != null) {
      job.sheet().jobs.remove(id);
      // A page that no open job names is not written any more.
      if (--job.page().open == 0 && job.page() != current) {
        pages.remove(job.page().name);
      }
    }
  }

  void take(Page page, Entry entry) {
    page.stamp = entry.stamp();
    if (entry.value() != null) {
      entry
          .value()
          .properties()
          .forEach(f -> page.ends.put(new JobId(f.getKey()), f.getValue().asText()));
    }
    page.ends.keySet().forEach(this::leave);
  }

  /**
   * Takes a sheet as it was read. Of jobs not known before, only those that {@code fresh} accepts
   * are open: the rest are over, and the sheet was not written since.
   */
  void take(Sheet sheet, Entry entry, Predicate<JobId> fresh) {
    sheet.stamp = entry.stamp();
    Map<JobId, Entered> before = new HashMap<>(sheet.jobs);
    sheet.jobs.clear();
    JsonNode value = entry.value() == null ? Cbor.map() : entry.value();
    value
        .properties()
        .forEach(
            f -> {
              JobId id = new JobId(f.getKey());
              ArrayNode packed = (ArrayNode) f.getValue();
              Entered known = before.get(id);
              if (known != null) {
                sheet.jobs.put(id, known);
              } else if (fresh.test(id)) {
                Page page = pages.computeIfAbsent(packed.path(0).asText(), Page::new);
                if (!page.ends.containsKey(id)) {
                  opened(new Entered(id, sheet, page, packed, chars(packed)));
                }
              }
            });
  }

  /** The pages that sheets name. */
  static Set<String> pagesOf(List<Entry> listed) {
    Set<String> names = new HashSet<>();
    for (Entry e : listed) {
      e.value().elements().forEachRemaining(v -> names.add(v.path(0).asText()));
    }
    return names;
  }

  void takePage(String name, Entry entry) {
    take(pages.computeIfAbsent(name, Page::new), entry);
  }

  void takeSheet(Entry entry) {
    String prefix = Rows.sheets(h.entity());
    take(sheet(Integer.parseInt(entry.key().substring(prefix.length()))), entry, id -> true);
  }

  List<Stored> allStored() {
    return open.keySet().stream().map(this::stored).filter(Objects::nonNull).toList();
  }

  /** An open job as it was stored; null if it is not open here, or cannot be read. */
  Stored stored(JobId id) {
    Entered job = open.get(id);
    try {
      return job == null
          ? null
          : new Stored(JobWire.unpack(id, job.value(), 2), job.value().path(1).asLong());
    } catch (Malformed m) {
      Jobs.LOG.error("job {} cannot be read: {}", id, m.getMessage());
      return null;
    }
  }
}
