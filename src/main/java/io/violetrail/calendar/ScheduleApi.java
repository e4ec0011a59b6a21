package io.violetrail.calendar;

import io.violetrail.api.JobAdmission;
import io.violetrail.calendar.ScheduleDefinition.InvalidDefinitionException;
import io.violetrail.config.Settings;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.net.EventLoop;
import io.violetrail.net.JsonResponses;
import io.violetrail.net.RequestHandler;
import io.violetrail.ownership.Membership;
import io.violetrail.state.StateStore;
import io.violetrail.wire.kubernetes.KubernetesJson;
import java.util.Random;
import java.util.function.Consumer;

/**
 * The operators' JSON API for schedules and local days, which every controller serves. Routes
 * requests to {@link ScheduleQueries}, {@link ScheduleEditor} and {@link LocalDaysResource}, and
 * answers requests that they reject. Called on the event loop's thread; keeps no state between
 * requests.
 */
public final class ScheduleApi implements RequestHandler {
  private static final String SCHEDULES_PATH = "/schedules";
  private static final String CALENDARS_PATH = "/calendars/";
  private static final String REPORTS_PATH = "/reports";

  /** The pattern that the names of schedules and of local days match. */
  static final String NAME_PATTERN = "[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?";

  private final ScheduleQueries queries;
  private final ScheduleEditor editor;
  private final LocalDaysResource localDays;

  /** Creates the API on the stored rows and this controller's registry. */
  public ScheduleApi(
      EventLoop loop,
      Random random,
      Settings settings,
      StateStore store,
      Membership membership,
      MachineTypes machineTypes,
      JobAdmission jobAdmission,
      ScheduleRegistry scheduleRegistry) {
    this.queries = new ScheduleQueries(store, scheduleRegistry);
    this.editor =
        new ScheduleEditor(
            loop,
            random,
            settings,
            store,
            membership,
            machineTypes,
            jobAdmission,
            scheduleRegistry,
            queries);
    this.localDays = new LocalDaysResource(store, scheduleRegistry);
  }

  /** Returns whether this API serves the path. */
  public static boolean servesPath(String path) {
    return path.startsWith(SCHEDULES_PATH)
        || path.startsWith(CALENDARS_PATH)
        || path.equals(REPORTS_PATH);
  }

  @Override
  public void handle(String method, String target, byte[] body, Consumer<HttpResponse> responder) {
    int queryStart = target.indexOf('?');
    String path = queryStart < 0 ? target : target.substring(0, queryStart);
    try {
      if (path.equals(REPORTS_PATH)) {
        queries.listReports(responder);
      } else if (path.startsWith(CALENDARS_PATH)) {
        localDays.handle(method, path.substring(CALENDARS_PATH.length()), body, responder);
      } else {
        route(
            method, path, queryStart < 0 ? "" : target.substring(queryStart + 1), body, responder);
      }
    } catch (KubernetesJson.MalformedRequestException exception) {
      responder.accept(JsonResponses.malformed(exception));
    } catch (InvalidDefinitionException exception) {
      responder.accept(JsonResponses.error(exception.httpStatus(), exception.getMessage()));
    }
  }

  private void route(
      String method, String path, String query, byte[] body, Consumer<HttpResponse> responder)
      throws KubernetesJson.MalformedRequestException, InvalidDefinitionException {
    String[] segments = path.split("/", -1);
    if (segments.length == 2 && segments[1].equals("schedules")) {
      if (method.equals("POST")) {
        editor.create(KubernetesJson.parse(body), responder);
      } else if (method.equals("GET")) {
        queries.list(query, responder);
      } else {
        responder.accept(JsonResponses.error(405, "method not allowed: use GET or POST"));
      }
    } else if (segments.length > 4 || segments.length < 3 || !segments[2].matches(NAME_PATTERN)) {
      responder.accept(JsonResponses.error(404, "unknown path: " + path));
    } else if (segments.length == 4 && method.equals("GET") && segments[3].equals("history")) {
      queries.showHistory(segments[2], responder);
    } else if (segments.length == 4
        && method.equals("POST")
        && segments[3].matches("pause|resume")) {
      editor.setPaused(segments[2], segments[3].equals("pause"), responder);
    } else if (segments.length == 4) {
      responder.accept(JsonResponses.error(404, "unknown path: " + path));
    } else {
      handleSchedule(method, segments[2], body, responder);
    }
  }

  private void handleSchedule(
      String method, String name, byte[] body, Consumer<HttpResponse> responder)
      throws KubernetesJson.MalformedRequestException, InvalidDefinitionException {
    switch (method) {
      case "GET" -> queries.show(name, responder);
      case "PUT" -> editor.replace(name, KubernetesJson.parse(body), responder);
      case "DELETE" -> editor.delete(name, responder);
      default ->
          responder.accept(JsonResponses.error(405, "method not allowed: use GET, PUT or DELETE"));
    }
  }
}
