package io.violetrail.calendar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.calendar.ScheduleRow.Run;
import io.violetrail.errors.RequestFailedException;
import io.violetrail.net.Futures;
import io.violetrail.net.JsonResponses;
import io.violetrail.net.RequestHandler.HttpResponse;
import io.violetrail.state.StateStore;
import io.violetrail.wire.Cbor;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Answers operators' queries about schedules. Rows and history are read from the state service for
 * every request, so an answer is never older than an earlier one. Reports cover only the entities
 * that this controller owns. Stateless.
 */
final class ScheduleQueries {
  private static final int PAGE_SIZE = 200;

  private final StateStore store;
  private final ScheduleRegistry scheduleRegistry;

  ScheduleQueries(StateStore store, ScheduleRegistry scheduleRegistry) {
    this.store = store;
    this.scheduleRegistry = scheduleRegistry;
  }

  /** Converts a schedule to JSON; the next due time is based on this controller's local days. */
  ObjectNode toJson(ScheduleRow row) {
    return ScheduleJson.schedule(row, scheduleRegistry.dayCalendar());
  }

  /**
   * Reads a schedule for a request. If it does not exist or cannot be read, answers the request
   * with an error and does not call {@code onFound}.
   */
  void read(String name, Consumer<HttpResponse> responder, Consumer<ScheduleRow> onFound) {
    read(
        name,
        responder,
        () -> responder.accept(JsonResponses.error(404, "schedule " + name + " does not exist")),
        onFound);
  }

  /**
   * Reads a schedule for a request. If it cannot be read, answers the request with an error and
   * calls neither callback.
   */
  void read(
      String name,
      Consumer<HttpResponse> responder,
      Runnable onAbsent,
      Consumer<ScheduleRow> onFound) {
    String key = ScheduleRow.KEY_PREFIX + name;
    Futures.logFailure(
        store
            .getForUser(key)
            .whenComplete(
                (entry, failure) -> {
                  if (failure != null) {
                    boolean rateLimited = RequestFailedException.from(failure).isRateLimited();
                    responder.accept(
                        JsonResponses.error(
                            rateLimited ? 429 : 503,
                            "the schedule cannot be read from the state service now; retry later"));
                  } else if (entry.value() == null) {
                    onAbsent.run();
                  } else {
                    onFound.accept(ScheduleRow.fromRow(key, entry.value(), entry.modRevision()));
                  }
                }),
        "read a schedule");
  }

  void show(String name, Consumer<HttpResponse> responder) {
    read(name, responder, row -> responder.accept(JsonResponses.of(200, toJson(row))));
  }

  void showHistory(String name, Consumer<HttpResponse> responder) {
    read(name, responder, row -> showHistory(row, responder));
  }

  private void showHistory(ScheduleRow row, Consumer<HttpResponse> responder) {
    List<String> keys = row.historyBlockKeys();
    List<CompletableFuture<JsonNode>> reads = new ArrayList<>();
    keys.forEach(key -> reads.add(store.getForUser(key).thenApply(entry -> entry.value())));
    Futures.logFailure(
        CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
            .whenComplete(
                (ignored, failure) ->
                    responder.accept(
                        failure != null
                            ? JsonResponses.error(
                                429,
                                "the history cannot be read now: too many requests; retry later")
                            : JsonResponses.of(200, historyToJson(row, keys, reads)))),
        "read a schedule's history");
  }

  /**
   * Returns all ended runs that are kept. A missing or corrupt block is listed under {@code torn}
   * and never treated as empty.
   *
   * @param reads completed reads of the blocks, in the keys' order
   */
  private static ObjectNode historyToJson(
      ScheduleRow row, List<String> keys, List<CompletableFuture<JsonNode>> reads) {
    ObjectNode json = Cbor.newMap().put("name", row.name());
    ArrayNode corruptBlocks = json.putArray("torn");
    ArrayNode runs = json.putArray("runs");
    for (int i = 0; i < keys.size(); i++) {
      try {
        JsonNode block = reads.get(i).join();
        if (block == null) {
          throw new RunHistoryCodec.CorruptBlockException("the block is missing");
        }
        RunHistoryCodec.decode(block).forEach(run -> runs.add(ScheduleJson.endedRun(run)));
      } catch (RunHistoryCodec.CorruptBlockException exception) {
        corruptBlocks.addObject().put("block", keys.get(i)).put("error", exception.getMessage());
      }
    }
    row.endedRuns().forEach(run -> runs.add(ScheduleJson.endedRun(run)));
    return json;
  }

  void list(String query, Consumer<HttpResponse> responder) {
    String after = query.startsWith("after=") ? query.substring(6) : "";
    if (!after.isEmpty() && !after.matches(ScheduleApi.NAME_PATTERN)) {
      responder.accept(
          JsonResponses.error(400, "after: must be the name of a schedule; got '" + after + "'"));
      return;
    }
    Futures.logFailure(
        store
            .listPageForUser(
                ScheduleRow.KEY_PREFIX,
                after.isEmpty() ? "" : ScheduleRow.KEY_PREFIX + after,
                PAGE_SIZE)
            .whenComplete(
                (page, failure) -> {
                  if (failure != null) {
                    responder.accept(
                        JsonResponses.error(
                            503,
                            "the schedules cannot be read from the state service now; retry"
                                + " later"));
                    return;
                  }
                  ObjectNode json = Cbor.newMap();
                  ArrayNode schedules = json.putArray("schedules");
                  page.entries()
                      .forEach(
                          entry ->
                              schedules.add(
                                  toJson(
                                      ScheduleRow.fromRow(
                                          entry.key(), entry.value(), entry.modRevision()))));
                  if (page.more()) {
                    json.put("after", schedules.get(schedules.size() - 1).path("name").asText());
                  }
                  responder.accept(JsonResponses.of(200, json));
                }),
        "list schedules");
  }

  /** Answers with the open reports of the entities that this controller owns. */
  void listReports(Consumer<HttpResponse> responder) {
    ObjectNode json = Cbor.newMap();
    ArrayNode reports = json.putArray("reports");
    for (ScheduleRow row : scheduleRegistry.findSchedulesWithOpenReports()) {
      for (Run run : row.openRuns()) {
        if (run.hasOpenReport()) {
          reports.add(ScheduleJson.openRun(row, run).put("schedule", row.name()));
        }
      }
    }
    responder.accept(JsonResponses.of(200, json));
  }
}
