package io.violetrail.calendar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.calendar.Definition.Refused;
import io.violetrail.calendar.Foresight.Outlook;
import io.violetrail.wire.Cbor;
import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneId;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** When schedules are due, and that each due time has exactly one run. */
class CalendarTest {
  private static final Days DAYS = Days.of(new Holidays(), Map.of("meetings", Pattern.MEETINGS));

  private static TreeSet<Instant> due(String text, String zone, String from, int days)
      throws Exception {
    Expression e = Expression.parse(text);
    TreeSet<Instant> all = new TreeSet<>();
    for (int i = 0; i < days; i++) {
      all.addAll(e.on(LocalDate.parse(from).plusDays(i), ZoneId.of(zone), null, DAYS));
    }
    return all;
  }

  @Test
  void localTimesThatAreSkippedOrComeTwiceAreDueOnce() throws Exception {
    assertEquals(
        "[2027-03-28T01:00:00Z]",
        due("at 02:30", "Europe/Berlin", "2027-03-28", 1).toString(),
        "at the end of the gap");
    assertEquals(
        "[2027-10-31T00:30:00Z]",
        due("at 02:30", "Europe/Berlin", "2027-10-31", 1).toString(),
        "the first time");
    assertEquals(
        1, due("at 02:10, 02:50", "Europe/Berlin", "2027-03-28", 1).size(), "one instant, one run");
    assertEquals(
        "[2028-02-29T09:00:00Z]",
        due("at 12:00 on day 29 of february", "Africa/Dar_es_Salaam", "2027-01-01", 800)
            .toString());
  }

  @Test
  void expressionsAgreeWithJavaTime() throws Exception {
    Random random = new Random(3);
    for (int i = 0; i < 60; i++) {
      Pattern p = Pattern.draw(random);
      ZoneId zone = ZoneId.of(List.of("Europe/Berlin", "America/New_York").get(i % 2));
      Instant from = Instant.parse("2026-12-30T07:00:00Z");
      Instant to = Instant.parse("2028-03-02T00:00:00Z");
      TreeSet<Instant> ours = new TreeSet<>();
      Expression e = Expression.parse(p.text());
      for (Instant at = e.next(from, zone, null, DAYS);
          at != null && !at.isAfter(to);
          at = e.next(at, zone, null, DAYS)) {
        ours.add(at);
      }
      assertEquals(p.between(from, to, zone), ours, p.text());
    }
  }

  @Test
  void errorsNameTheirPlaceAndWhatWasExpected() {
    for (var e :
        Map.of(
                "at 06:30 on lst workday of month", "line 1, column 13",
                "at 25:00", "column 4: '25:00' is no time of day",
                "at 06:30 on\nmonday of", "line 2, column 8",
                "every 0 minutes", "column 7: '0' is no number of minutes",
                "at 06:00 on 2027-02-30", "is no date",
                "", "expecting")
            .entrySet()) {
      String said =
          assertThrows(Expression.Malformed.class, () -> Expression.parse(e.getKey())).getMessage();
      assertTrue(said.contains(e.getValue()), e.getKey() + ": " + said);
    }
  }

  private static ObjectNode definition(String due) {
    ObjectNode m = Cbor.map().put("due", due).put("zone", "Europe/Berlin").put("deadline_s", 600.0);
    ObjectNode job = m.putObject("job").put("jobclass", "c").put("crew", "t");
    job.put("shape", "batch").put("urgency", "normal").put("pieces", 4).put("cores", 1.0);
    job.put("gpus", 0.0).put("mem_gb", 1.0).put("pull_gb", 0.1).put("one_zone", false);
    job.put("apart", false).put("loaners", false).put("guess_s", 60.0).put("snapshot_s", 0.0);
    job.put("flush_s", 0.0);
    return m;
  }

  private static int refused(ObjectNode m) {
    return assertThrows(
            Refused.class,
            () -> Definition.of(m).check(Instant.parse("2027-01-01T00:00:00Z"), DAYS))
        .code();
  }

  @Test
  void whatCanMeanNothingIsRefused() throws Exception {
    Definition.of(definition("at 06:00")).check(Instant.EPOCH, DAYS);
    assertEquals(400, refused(definition("at dawn")));
    assertEquals(422, refused(definition("at 06:00 on 2020-01-01")), "never due again");
    assertEquals(422, refused(definition("at 06:00 on day 30 of february")), "never due at all");
    assertEquals(422, refused(definition("at 06:00 on days \"unheard\"")));
    assertEquals(422, refused(definition("at 06:00 on holidays \"xx\"")));
    assertEquals(422, refused(definition("at 06:00").put("meeting_s", 610.0)));
    assertEquals(422, refused(definition("at 06:00").put("surprise", 1)));
    assertEquals(400, refused(definition("at 06:00").put("deadline_s", "soon")));
    ObjectNode daemon = definition("at 06:00");
    ((ObjectNode) daemon.get("job")).put("shape", "daemon");
    assertEquals(422, refused(daemon), "a daemon is never done");
  }

  @Test
  void aTornBlockIsSaidAndNeverReadAsEmpty() throws Exception {
    ArrayNode runs = Cbor.list();
    for (int i = 0; i < 16; i++) {
      runs.addObject().put("due", 1_800_000_000_000L + i).put("how", "DONE");
    }
    ObjectNode block = Archive.pack(runs);
    assertEquals(runs.toString(), Archive.unpack(block).toString());
    String text = block.get("xz").asText();
    for (int cut = 0; cut < text.length(); cut += 4) {
      ObjectNode torn = block.deepCopy().put("xz", text.substring(0, cut));
      assertThrows(Archive.Torn.class, () -> Archive.unpack(torn));
      char other = text.charAt(cut) == 'A' ? 'B' : 'A';
      ObjectNode bent =
          block.deepCopy().put("xz", text.substring(0, cut) + other + text.substring(cut + 1));
      assertThrows(Archive.Torn.class, () -> Archive.unpack(bent));
    }
    assertThrows(Archive.Torn.class, () -> Archive.unpack(Cbor.map()));
  }

  @Test
  void aMissIsForeseenFromWhatIsSeen() {
    assertEquals(100_000, Foresight.doneMs(0, new Outlook(4, 0, 0, 0, 60, 40)), "none began");
    assertEquals(30_000, Foresight.doneMs(0, new Outlook(4, 0, 4, 30, 60, 40)));
    assertEquals(150_000, Foresight.doneMs(0, new Outlook(8, 1, 3, 30, 60, 40)), "in turns");
    assertEquals(30_000, Foresight.doneMs(0, new Outlook(1, 0, 1, 300, 60, 40)), "it overruns");
  }

  @Test
  void everyDueTimeOfAHardMonthHasExactlyOneRun() {
    for (long seed = 1; seed <= 3; seed++) {
      Year year = new Year(seed, 24, 35).play();
      assertTrue(year.claims.size() > 100, "runs " + year.claims.size());
      assertEquals(List.of(), year.check(), "seed " + seed);
      assertTrue(year.reports > 3, "reports " + year.reports);
      assertTrue(year.withdrawn > 0, "some are mended");
    }
  }

  @Test
  void theCheckerFindsAPlantedDoubleAndAPlantedMissingRun() {
    Year year = new Year(9, 6, 20).play();
    assertEquals(List.of(), year.check());
    String any = year.claims.keySet().iterator().next();
    long when = year.claims.remove(any);
    assertTrue(year.check().stream().anyMatch(w -> w.contains("has no run")));
    year.claims.put(any, when);
    assertEquals(List.of(), year.check());
    for (var e : year.rows.entrySet()) {
      if (e.getKey().startsWith(ScheduleRow.ROWS) && !e.getValue().value().path("past").isEmpty()) {
        ArrayNode past = (ArrayNode) e.getValue().value().get("past");
        past.add(past.get(0));
      }
    }
    assertTrue(year.check().stream().anyMatch(w -> w.contains("tells of 2 runs")));
  }
}
