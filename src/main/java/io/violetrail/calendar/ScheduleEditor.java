package io.violetrail.calendar;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.api.JobAdmission;
import io.violetrail.calendar.ScheduleDefinition.InvalidDefinitionException;
import io.violetrail.config.Settings;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.model.JobId;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.net.JsonResponses;
import io.violetrail.net.RequestHandler.HttpResponse;
import io.violetrail.ownership.Membership;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.state.StateStore;
import io.violetrail.state.Tombstones;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.StateStoreMessages.Transaction;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Creates, updates and deletes schedules. Any controller can do so for any schedule. Each write is
 * conditional on the row's revision, so an update that is concurrent with a firing is applied
 * either before or after it. An update that loses such a race is retried from the new row a few
 * times.
 *
 * <p>Called on the event loop's thread. Keeps no state between requests. A change is stored before
 * it is answered with status 200 or 201.
 */
final class ScheduleEditor {
  private static final Logger LOG = LoggerFactory.getLogger(ScheduleEditor.class);
  private static final int MAX_ATTEMPTS = 5;

  /** The limit for the whole cluster: an entity's new owner reads the schedules of all entities. */
  private static final int MAX_SCHEDULES = 20_000;

  /**
   * A definition may take up at most one part in this many of a row's maximum size. The row also
   * contains the open runs, and the ended runs that are not in a history block yet.
   */
  private static final int DEFINITION_SIZE_DIVISOR = 4;

  private final EventLoop loop;
  private final Random random;
  private final Settings settings;
  private final StateStore store;
  private final Membership membership;
  private final MachineTypes machineTypes;
  private final JobAdmission jobAdmission;
  private final ScheduleRegistry scheduleRegistry;
  private final ScheduleQueries queries;

  ScheduleEditor(
      EventLoop loop,
      Random random,
      Settings settings,
      StateStore store,
      Membership membership,
      MachineTypes machineTypes,
      JobAdmission jobAdmission,
      ScheduleRegistry scheduleRegistry,
      ScheduleQueries queries) {
    this.loop = loop;
    this.random = random;
    this.settings = settings;
    this.store = store;
    this.membership = membership;
    this.machineTypes = machineTypes;
    this.jobAdmission = jobAdmission;
    this.scheduleRegistry = scheduleRegistry;
    this.queries = queries;
  }

  /**
   * Creates a schedule in this controller's home entity.
   *
   * @throws InvalidDefinitionException if the name or the definition is invalid
   */
  void create(ObjectNode json, Consumer<HttpResponse> responder) throws InvalidDefinitionException {
    String name = json.path("name").asText("");
    if (!name.matches(ScheduleApi.NAME_PATTERN)) {
      throw new InvalidDefinitionException(
          400,
          "name",
          "must be 1 to 63 lower-case letters, digits and hyphens, and start and end with a letter"
              + " or digit; got '"
              + name
              + "'");
    }
    String closedReason = jobAdmission.findClosedReason();
    if (!scheduleRegistry.isReady() || closedReason != null) {
      responder.accept(
          JsonResponses.error(
              503,
              closedReason == null
                  ? "the schedules have not been read from the state service yet; retry later"
                  : closedReason));
      return;
    }
    OwnedEntity homeEntity = membership.findHomeEntity();
    if (scheduleRegistry.scheduleCount() >= MAX_SCHEDULES) {
      responder.accept(
          JsonResponses.error(
              429,
              "the limit of "
                  + MAX_SCHEDULES
                  + " schedules is reached; delete schedules that are no longer needed"));
      return;
    }
    validateDefinition(json);
    String uid = new UUID(random.nextLong(), random.nextLong()).toString();
    ScheduleRow row =
        ScheduleRow.create(name, toStoredDefinition(json), homeEntity.id(), uid, loop.wallMillis());
    Futures.logFailure(
        Tombstones.draftCreation(store, homeEntity::fencedTransaction, row.key(), row.value())
            .thenCompose(store::commit)
            .whenComplete(
                (outcome, failure) -> {
                  if (failure != null) {
                    responder.accept(
                        JsonResponses.error(503, "the state service did not answer; retry later"));
                  } else if (outcome.applied()) {
                    LOG.info("created schedule {}, due {}", name, json.path("due").asText());
                    responder.accept(JsonResponses.of(201, queries.toJson(row)));
                  } else if (outcome.failedKeys().contains(row.key())) {
                    answerExisting(row, responder);
                  } else {
                    responder.accept(
                        JsonResponses.error(
                            503,
                            "the entity's row or the tombstone of the name was changed at the"
                                + " same time; retry"));
                  }
                }),
        "create a schedule");
  }

  /**
   * Answers a creation whose name is taken: with success if an earlier attempt of the same creation
   * has stored the row, with a conflict if it is another schedule.
   */
  private void answerExisting(ScheduleRow createdRow, Consumer<HttpResponse> responder) {
    queries.read(
        createdRow.name(),
        responder,
        found ->
            responder.accept(
                found.uid().equals(createdRow.uid())
                    ? JsonResponses.of(201, queries.toJson(found))
                    : JsonResponses.error(
                        409,
                        "schedule " + createdRow.name() + " exists already; replace it with PUT")));
  }

  private void validateDefinition(ObjectNode json) throws InvalidDefinitionException {
    ScheduleDefinition scheduleDefinition = ScheduleDefinition.parse(json);
    scheduleDefinition.validate(
        Instant.ofEpochMilli(loop.wallMillis()), scheduleRegistry.dayCalendar());
    String impossibleReason =
        jobAdmission.findImpossibleReason(scheduleDefinition.toJobSpec(new JobId("job-0")));
    if (impossibleReason != null) {
      throw new InvalidDefinitionException(422, "job", "cannot run: " + impossibleReason);
    }
    if (Cbor.encode(json).length
        > settings.stateStoreLimits().maxValueBytes() / DEFINITION_SIZE_DIVISOR) {
      throw new InvalidDefinitionException(
          422,
          "job",
          "the definition is too long: it may take up at most 1/"
              + DEFINITION_SIZE_DIVISOR
              + " of a row, which has at most "
              + settings.stateStoreLimits().maxValueBytes()
              + " bytes");
    }
  }

  private static ObjectNode toStoredDefinition(ObjectNode json) {
    ObjectNode definition = json.deepCopy();
    definition.remove(List.of("name", "version"));
    return definition;
  }

  /**
   * Replaces a schedule's definition. The new definition takes effect when it is stored: earlier
   * due times that have no run yet do not get one.
   *
   * @throws InvalidDefinitionException if the version is missing or the definition is invalid
   */
  void replace(String name, ObjectNode json, Consumer<HttpResponse> responder)
      throws InvalidDefinitionException {
    if (!json.path("version").isIntegralNumber()) {
      throw new InvalidDefinitionException(
          400, "version", "must be an integer: the version of the schedule that is to be replaced");
    }
    if (json.has("name") && !json.get("name").asText().equals(name)) {
      throw new InvalidDefinitionException(
          422, "name", "must be '" + name + "', the name in the request's path");
    }
    if (machineTypes.isEmpty()) {
      responder.accept(
          JsonResponses.error(503, "the machine types are not known yet; retry later"));
      return;
    }
    validateDefinition(json);
    int version = json.get("version").asInt();
    update(
        name,
        responder,
        row ->
            row.version() != version
                ? null
                : row.withChange(
                    changed -> {
                      changed.set("def", toStoredDefinition(json));
                      changed.put("version", version + 1);
                      changed.put("cursor", Math.max(row.cursorMillis(), loop.wallMillis()));
                    }),
        MAX_ATTEMPTS);
  }

  /** Pauses or resumes a schedule. Due times during a pause are not caught up. */
  void setPaused(String name, boolean paused, Consumer<HttpResponse> responder) {
    update(
        name,
        responder,
        row ->
            row.isPaused() == paused
                ? row
                : row.withChange(
                    changed -> {
                      changed.put("paused", paused);
                      changed.put("cursor", Math.max(row.cursorMillis(), loop.wallMillis()));
                    }),
        MAX_ATTEMPTS);
  }

  /**
   * Updates a schedule's row by compare-and-swap.
   *
   * @param change returns the next row; the same row if there is nothing to change; null if the row
   *     does not have the version that the request is meant for
   */
  private void update(
      String name,
      Consumer<HttpResponse> responder,
      Function<ScheduleRow, ScheduleRow> change,
      int attemptsLeft) {
    queries.read(
        name,
        responder,
        row -> {
          ScheduleRow next = change.apply(row);
          if (next == null || attemptsLeft == 0) {
            responder.accept(
                JsonResponses.error(
                    409,
                    "the schedule was changed in the meantime; its version is now "
                        + row.version()));
            return;
          }
          if (next == row) {
            responder.accept(JsonResponses.of(200, queries.toJson(row)));
            return;
          }
          Futures.logFailure(
              store
                  .commit(
                      new Transaction()
                          .ifRevision(row.key(), row.modRevision())
                          .put(row.key(), next.value()))
                  .whenComplete(
                      (outcome, failure) -> {
                        if (failure != null) {
                          responder.accept(
                              JsonResponses.error(
                                  503, "the state service did not answer; retry later"));
                        } else if (outcome.applied()) {
                          responder.accept(JsonResponses.of(200, queries.toJson(next)));
                        } else {
                          // A firing, another update or an earlier attempt of this one came first.
                          retryUpdate(name, responder, change, attemptsLeft - 1, next);
                        }
                      }),
              "update a schedule");
        });
  }

  private void retryUpdate(
      String name,
      Consumer<HttpResponse> responder,
      Function<ScheduleRow, ScheduleRow> change,
      int attemptsLeft,
      ScheduleRow attemptedRow) {
    queries.read(
        name,
        responder,
        row -> {
          if (!row.uid().equals(attemptedRow.uid())) {
            // The schedule that the request began with is gone; this one has only its name.
            responder.accept(
                JsonResponses.error(
                    409, "schedule " + name + " was deleted and created again in the meantime"));
            return;
          }
          boolean alreadyStored =
              row.version() == attemptedRow.version()
                  && row.isPaused() == attemptedRow.isPaused()
                  && row.definition().equals(attemptedRow.definition());
          if (alreadyStored) {
            responder.accept(JsonResponses.of(200, queries.toJson(row)));
          } else {
            update(name, responder, change, attemptsLeft);
          }
        });
  }

  /** Deletes a schedule and its history. Open runs continue as ordinary jobs. */
  void delete(String name, Consumer<HttpResponse> responder) {
    queries.read(name, responder, row -> deleteRow(row, responder, MAX_ATTEMPTS));
  }

  private void deleteRow(ScheduleRow row, Consumer<HttpResponse> responder, int attemptsLeft) {
    Transaction deletion =
        Tombstones.markDeletion(
            new Transaction().ifRevision(row.key(), row.modRevision()).delete(row.key()),
            row.key(),
            loop.wallMillis());
    Futures.logFailure(
        store
            .commit(deletion)
            .whenComplete(
                (outcome, failure) -> {
                  if (failure != null) {
                    responder.accept(
                        JsonResponses.error(503, "the state service did not answer; retry later"));
                  } else if (outcome.applied()) {
                    answerDeleted(row, responder);
                  } else if (attemptsLeft > 0) {
                    retryDelete(row, responder, attemptsLeft - 1);
                  } else {
                    responder.accept(
                        JsonResponses.error(
                            503,
                            "the schedule was changed during each attempt to delete it;"
                                + " retry later"));
                  }
                }),
        "delete a schedule");
  }

  /**
   * Deletes the schedule as it is now, unless it is gone or another one has its name: then an
   * earlier attempt, whose reply was lost, or another request has deleted it.
   */
  private void retryDelete(
      ScheduleRow attemptedRow, Consumer<HttpResponse> responder, int attemptsLeft) {
    queries.read(
        attemptedRow.name(),
        responder,
        () -> answerDeleted(attemptedRow, responder),
        row -> {
          if (row.uid().equals(attemptedRow.uid())) {
            deleteRow(row, responder, attemptsLeft);
          } else {
            answerDeleted(attemptedRow, responder);
          }
        });
  }

  private void answerDeleted(ScheduleRow row, Consumer<HttpResponse> responder) {
    LOG.info("deleted schedule {}", row.name());
    deleteHistory(row);
    responder.accept(JsonResponses.of(200, Cbor.newMap().put("deleted", row.name())));
  }

  private void deleteHistory(ScheduleRow row) {
    row.historyBlockKeys()
        .forEach(
            key ->
                Futures.logFailure(
                    store.commitInBackground(new Transaction().delete(key)),
                    "delete a block of a schedule's run history"));
  }
}
