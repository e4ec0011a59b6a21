package io.violetrail.calendar;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.api.JobAdmission;
import io.violetrail.calendar.ScheduleDefinition.InvalidDefinitionException;
import io.violetrail.config.Settings;
import io.violetrail.fleet.MachineTypes;
import io.violetrail.model.JobId;
import io.violetrail.net.EventLoop;
import io.violetrail.net.Futures;
import io.violetrail.net.JsonAnswers;
import io.violetrail.net.RequestHandler.HttpAnswer;
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
 * Creates, changes and deletes schedules. Any controller does so for any schedule: each write is
 * conditional on the row's revision, so a change that races a firing comes either before or after
 * it. A change that loses such a race is made again from the new row, a few times.
 *
 * <p>Called on the event loop's thread. Keeps nothing between requests; what was answered with
 * status 200 or 201 is stored.
 */
final class ScheduleEditor {
  private static final Logger LOG = LoggerFactory.getLogger(ScheduleEditor.class);
  private static final int MAX_ATTEMPTS = 5;

  /** Schedules of all controllers together: a takeover reads them all. */
  private static final int MAX_SCHEDULES = 20_000;

  /** A row has the definition, the open runs and the ended ones that are not in a block yet. */
  private static final int MAX_DEFINITION_FRACTION_OF_ROW = 4;

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
   * Creates a schedule at this controller's home entity.
   *
   * @throws InvalidDefinitionException if the name or the definition is not taken
   */
  void create(ObjectNode json, Consumer<HttpAnswer> responder) throws InvalidDefinitionException {
    String name = json.path("name").asText("");
    if (!name.matches(ScheduleApi.NAME_PATTERN)) {
      throw new InvalidDefinitionException(
          400, "name", "must be lower case letters, digits and hyphens, at most 63");
    }
    String closedReason = jobAdmission.findClosedReason();
    if (!scheduleRegistry.isReady() || closedReason != null) {
      responder.accept(
          JsonAnswers.error(
              503, closedReason == null ? "the schedules are not read yet" : closedReason));
      return;
    }
    OwnedEntity ownEntity = membership.findHomeEntity();
    if (scheduleRegistry.scheduleCount() >= MAX_SCHEDULES) {
      responder.accept(JsonAnswers.error(429, "there are " + MAX_SCHEDULES + " schedules already"));
      return;
    }
    validateDefinition(json);
    String uid = new UUID(random.nextLong(), random.nextLong()).toString();
    ScheduleRow row =
        ScheduleRow.create(name, toStoredDefinition(json), ownEntity.id(), uid, loop.wallMillis());
    Futures.logFailure(
        Tombstones.draftCreation(store, ownEntity::fencedTransaction, row.key(), row.value())
            .thenCompose(store::commit)
            .whenComplete(
                (outcome, failure) -> {
                  if (failure != null) {
                    responder.accept(JsonAnswers.error(503, "the state service does not answer"));
                  } else if (outcome.applied()) {
                    LOG.info("schedule {} created: {}", name, json.path("due").asText());
                    responder.accept(JsonAnswers.of(201, queries.toJson(row)));
                  } else if (outcome.failedKeys().contains(row.key())) {
                    answerExisting(row, responder);
                  } else {
                    responder.accept(
                        JsonAnswers.error(503, "the entity or what was deleted has changed"));
                  }
                }),
        "create a schedule");
  }

  /** The name is taken: by an earlier try of this very creation, or by another schedule. */
  private void answerExisting(ScheduleRow sent, Consumer<HttpAnswer> responder) {
    queries.read(
        sent.name(),
        responder,
        found ->
            responder.accept(
                found.uid().equals(sent.uid())
                    ? JsonAnswers.of(201, queries.toJson(found))
                    : JsonAnswers.error(409, "the schedule exists already")));
  }

  private void validateDefinition(ObjectNode json) throws InvalidDefinitionException {
    ScheduleDefinition scheduleDefinition = ScheduleDefinition.parse(json);
    scheduleDefinition.validate(
        Instant.ofEpochMilli(loop.wallMillis()), scheduleRegistry.dayCalendar());
    String reasonNeverRuns =
        jobAdmission.findImpossibleReason(scheduleDefinition.toJobSpec(new JobId("job-0")));
    if (reasonNeverRuns != null) {
      throw new InvalidDefinitionException(422, "job", "it can never run: " + reasonNeverRuns);
    }
    if (Cbor.encode(json).length
        > settings.stateStoreLimits().maxValueBytes() / MAX_DEFINITION_FRACTION_OF_ROW) {
      throw new InvalidDefinitionException(422, "job", "the description is too long");
    }
  }

  private static ObjectNode toStoredDefinition(ObjectNode json) {
    ObjectNode definition = json.deepCopy();
    definition.remove(List.of("name", "version"));
    return definition;
  }

  /**
   * Replaces a definition. The change takes effect when it is stored: older due times that have no
   * run yet get none.
   *
   * @throws InvalidDefinitionException if the version is missing or the definition is not taken
   */
  void replace(String name, ObjectNode json, Consumer<HttpAnswer> responder)
      throws InvalidDefinitionException {
    if (!json.path("version").isIntegralNumber()) {
      throw new InvalidDefinitionException(
          400, "version", "must be the version that is to be changed");
    }
    if (json.has("name") && !json.get("name").asText().equals(name)) {
      throw new InvalidDefinitionException(422, "name", "is not the name in the request's path");
    }
    if (machineTypes.isEmpty()) {
      responder.accept(JsonAnswers.error(503, "the machine types are not known yet"));
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

  /** Pauses or resumes a schedule. What would have been due during a pause is not made up. */
  void setPaused(String name, boolean paused, Consumer<HttpAnswer> responder) {
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
   * Stores a change by compare-and-swap.
   *
   * @param change gives the next row, the same row if there is nothing to change, or null if the
   *     row is not the one that is to be changed
   */
  private void update(
      String name,
      Consumer<HttpAnswer> responder,
      Function<ScheduleRow, ScheduleRow> change,
      int attemptsLeft) {
    queries.read(
        name,
        responder,
        row -> {
          ScheduleRow next = change.apply(row);
          if (next == null || attemptsLeft == 0) {
            responder.accept(
                JsonAnswers.error(
                    409, "the schedule has been changed; its version is " + row.version()));
            return;
          }
          if (next == row) {
            responder.accept(JsonAnswers.of(200, queries.toJson(row)));
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
                              JsonAnswers.error(503, "the state service does not answer"));
                        } else if (outcome.applied()) {
                          responder.accept(JsonAnswers.of(200, queries.toJson(next)));
                        } else {
                          // A firing came first, or an earlier try of this change: it is made anew.
                          retryUpdate(name, responder, change, attemptsLeft - 1, next);
                        }
                      }),
              "change a schedule");
        });
  }

  private void retryUpdate(
      String name,
      Consumer<HttpAnswer> responder,
      Function<ScheduleRow, ScheduleRow> change,
      int attemptsLeft,
      ScheduleRow sent) {
    queries.read(
        name,
        responder,
        row -> {
          boolean stored =
              row.version() == sent.version()
                  && row.isPaused() == sent.isPaused()
                  && row.definition().equals(sent.definition());
          if (stored) {
            responder.accept(JsonAnswers.of(200, queries.toJson(row)));
          } else {
            update(name, responder, change, attemptsLeft);
          }
        });
  }

  /** Deletes a schedule with its history. Open runs go on as ordinary jobs. */
  void delete(String name, Consumer<HttpAnswer> responder) {
    delete(name, responder, MAX_ATTEMPTS);
  }

  private void delete(String name, Consumer<HttpAnswer> responder, int attemptsLeft) {
    queries.read(
        name,
        responder,
        row ->
            Futures.logFailure(
                store
                    .commit(
                        Tombstones.markDeletion(
                            new Transaction()
                                .ifRevision(row.key(), row.modRevision())
                                .delete(row.key()),
                            row.key(),
                            loop.wallMillis()))
                    .whenComplete(
                        (outcome, failure) -> {
                          if (failure != null) {
                            responder.accept(
                                JsonAnswers.error(503, "the state service does not answer"));
                          } else if (outcome.applied()) {
                            LOG.info("schedule {} deleted", name);
                            deleteHistory(row);
                            responder.accept(
                                JsonAnswers.of(200, Cbor.newMap().put("deleted", name)));
                          } else if (attemptsLeft > 0) {
                            delete(name, responder, attemptsLeft - 1);
                          } else {
                            responder.accept(
                                JsonAnswers.error(503, "the schedule is being changed"));
                          }
                        }),
                "delete a schedule"));
  }

  private void deleteHistory(ScheduleRow row) {
    row.historyBlockKeys()
        .forEach(
            key ->
                Futures.logFailure(
                    store.commitInBackground(new Transaction().delete(key)),
                    "delete a block of a schedule's history"));
  }
}
