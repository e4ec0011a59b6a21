package io.violetrail.calendar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.calendar.ScheduleDefinition.InvalidDefinitionException;
import io.violetrail.net.Futures;
import io.violetrail.net.JsonResponses;
import io.violetrail.net.RequestHandler.HttpResponse;
import io.violetrail.state.StateStore;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.Transaction;
import io.violetrail.wire.kubernetes.KubernetesJson;
import java.time.DateTimeException;
import java.time.LocalDate;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The operators' API for named sets of local days. Reads return the sets known to this controller.
 * Writes go to the state service, and the schedules of every controller follow the stored sets.
 */
final class LocalDaysResource {
  private static final int MAX_DATES = 600;

  private final StateStore store;
  private final ScheduleRegistry scheduleRegistry;

  LocalDaysResource(StateStore store, ScheduleRegistry scheduleRegistry) {
    this.store = store;
    this.scheduleRegistry = scheduleRegistry;
  }

  /**
   * Handles a request for one set of days.
   *
   * @throws KubernetesJson.MalformedRequestException if the body is not a JSON object
   * @throws InvalidDefinitionException if the body is not a valid list of dates
   */
  void handle(String method, String name, byte[] body, Consumer<HttpResponse> responder)
      throws KubernetesJson.MalformedRequestException, InvalidDefinitionException {
    if (!name.matches(ScheduleApi.NAME_PATTERN)) {
      responder.accept(
          JsonResponses.error(
              404,
              "invalid name of local days '" + name + "': must match " + ScheduleApi.NAME_PATTERN));
      return;
    }
    String key = ScheduleRow.CALENDAR_KEY_PREFIX + name;
    switch (method) {
      case "GET" -> show(name, responder);
      case "PUT" ->
          store(
              name,
              new Transaction().put(key, validateDates(KubernetesJson.parse(body))),
              responder);
      case "DELETE" -> store(name, new Transaction().delete(key), responder);
      default ->
          responder.accept(JsonResponses.error(405, "method not allowed: use GET, PUT or DELETE"));
    }
  }

  private void show(String name, Consumer<HttpResponse> responder) {
    Set<LocalDate> dates = scheduleRegistry.dayCalendar().findNamedDays(name);
    if (dates == null) {
      responder.accept(JsonResponses.error(404, "there are no local days named " + name));
      return;
    }
    ObjectNode json = Cbor.newMap().put("name", name);
    dates.stream().sorted().forEach(date -> json.withArray("dates").add(date.toString()));
    responder.accept(JsonResponses.of(200, json));
  }

  /** Sends the write once. It replaces or deletes the whole set, so a client may repeat it. */
  private void store(String name, Transaction transaction, Consumer<HttpResponse> responder) {
    Futures.logFailure(
        store
            .tryTransaction(transaction)
            .whenComplete(
                (outcome, failure) ->
                    responder.accept(
                        failure != null
                            ? JsonResponses.error(
                                503,
                                "the state service did not confirm the write; repeat the request")
                            : JsonResponses.of(200, Cbor.newMap().put("name", name)))),
        "store local days");
  }

  private static ObjectNode validateDates(ObjectNode json) throws InvalidDefinitionException {
    if (json.size() != 1 || !json.path("dates").isArray()) {
      throw new InvalidDefinitionException(
          400, "dates", "must be the only field and must be a list of dates");
    }
    if (json.get("dates").size() > MAX_DATES) {
      throw new InvalidDefinitionException(
          422,
          "dates",
          "must have at most " + MAX_DATES + " entries; got " + json.get("dates").size());
    }
    for (JsonNode date : json.get("dates")) {
      try {
        LocalDate.parse(date.asText());
      } catch (DateTimeException exception) {
        throw new InvalidDefinitionException(
            400, "dates", "'" + date.asText() + "' is not a date: expected YEAR-MONTH-DAY");
      }
    }
    return json;
  }
}
