package io.violetrail.cloud;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings;
import io.violetrail.errors.Receiver;
import io.violetrail.errors.RequestRejectedException;
import io.violetrail.errors.RequestUndecidedException;
import io.violetrail.model.MachineId;
import io.violetrail.model.MachineType;
import io.violetrail.net.EventLoop;
import io.violetrail.net.HttpClient;
import io.violetrail.net.RateLimiter;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.Cbor.MalformedMessageException;
import io.violetrail.wire.CloudMessages;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The cloud's client, within this controller's part of the shared rate. */
public final class CloudClient {
  private static final double TIMEOUT_SECONDS = 5;

  private final HttpClient http;
  private final Settings settings;
  private final EventLoop loop;
  private final RateLimiter rateLimiter;
  private final double fairRate;
  private double currentRate;

  /** Creates a client that uses an equal share of 90% of the provider's request rate limit. */
  public CloudClient(EventLoop loop, HttpClient http, Settings settings) {
    this.loop = loop;
    this.http = http;
    this.settings = settings;
    this.fairRate =
        settings.cloudLimits().requestsPerSecond() * 0.9 / (settings.peers().size() + 1);
    this.currentRate = fairRate;
    this.rateLimiter =
        new RateLimiter(currentRate, Math.max(1, currentRate * 2), loop.monotonicSeconds());
  }

  /** What a rental request came to. */
  public enum RentalOutcome {
    DONE,
    NO_CAPACITY,
    UNCERTAIN
  }

  /** A rental request's answer. */
  public record RentalResult(RentalOutcome outcome, List<MachineId> machines) {}

  /** Whether a call may be made now; takes it from the budget. */
  public boolean tryAcquireCall() {
    return rateLimiter.tryAcquire(1, loop.monotonicSeconds());
  }

  /** Fetches the machine types on offer; the future fails if the reply is an error or malformed. */
  public CompletableFuture<List<MachineType>> fetchMachineTypes() {
    return callOrFail("GET", CloudMessages.MACHINE_TYPES_PATH, null)
        .thenApply(
            response -> {
              try {
                return CloudMessages.parseMachineTypes(Cbor.parse(response.body()));
              } catch (MalformedMessageException exception) {
                throw RequestUndecidedException.unclearAnswer(Receiver.CLOUD);
              }
            });
  }

  /**
   * Requests {@code count} machines under an idempotency name. The future does not fail: a request
   * whose outcome cannot be determined yields {@code RentalOutcome.UNCERTAIN}.
   */
  public CompletableFuture<RentalResult> rentMachines(
      String requestName, String type, String zone, boolean spot, int count) {
    return send(
            "POST",
            CloudMessages.MACHINES_PATH,
            Cbor.encode(CloudMessages.rentalRequest(requestName, type, zone, spot, count)))
        .handle(
            (response, failure) -> {
              try {
                if (failure == null && response.isOk()) {
                  return new RentalResult(
                      RentalOutcome.DONE,
                      CloudMessages.parseRentedMachines(Cbor.parse(response.body())));
                }
                if (failure == null
                    && (response.status() == 400
                        || (response.status() == 503
                            && isNoCapacity(Cbor.parse(response.body()))))) {
                  return new RentalResult(RentalOutcome.NO_CAPACITY, List.of());
                }
              } catch (MalformedMessageException exception) {
                // Nothing certain was said.
              }
              return new RentalResult(RentalOutcome.UNCERTAIN, List.of());
            });
  }

  private static boolean isNoCapacity(ObjectNode message) {
    return "no capacity".equals(message.path("error").asText());
  }

  /** A page of the machines listed; {@code lastListed} is where the next one begins. */
  public record MachinePage(List<MachineId> machines, String lastListed, boolean hasMore) {}

  /** Machines listed after a name, not all of which may still or already be there. */
  public CompletableFuture<MachinePage> listMachines(String after) {
    String afterParameter = after.isEmpty() ? "" : "&after=" + after;
    return callOrFail(
            "GET",
            CloudMessages.MACHINES_PATH
                + "?most="
                + CloudMessages.MAX_MACHINES_PER_LIST
                + afterParameter,
            null)
        .thenApply(
            response -> {
              try {
                ObjectNode message = Cbor.parse(response.body());
                List<MachineId> machines = CloudMessages.parseListedMachines(message);
                String lastListed =
                    machines.isEmpty() ? after : machines.get(machines.size() - 1).value();
                return new MachinePage(
                    machines,
                    lastListed,
                    CloudMessages.isTruncated(message) && !machines.isEmpty());
              } catch (MalformedMessageException exception) {
                throw RequestUndecidedException.unclearAnswer(Receiver.CLOUD);
              }
            });
  }

  /** What asking for machines to be taken back came to. */
  public enum ReturnOutcome {
    /** They are gone for certain. */
    GONE,
    /** Nothing was done, nor will be. */
    REFUSED,
    /** It may be done later. */
    UNCERTAIN
  }

  /**
   * Returns machines to the provider. The future does not fail: a request whose outcome cannot be
   * determined yields {@code UNCERTAIN}.
   */
  public CompletableFuture<ReturnOutcome> returnMachines(Collection<MachineId> machines) {
    return send(
            "POST", CloudMessages.RETURN_PATH, Cbor.encode(CloudMessages.returnRequest(machines)))
        .handle(
            (response, failure) -> {
              if (failure != null) {
                return ReturnOutcome.UNCERTAIN;
              }
              return response.isOk()
                  ? ReturnOutcome.GONE
                  : response.status() == 429 || response.status() == 503
                      ? ReturnOutcome.REFUSED
                      : ReturnOutcome.UNCERTAIN;
            });
  }

  /**
   * One call. What the peers leave unused of the common rate is taken little by little, and given
   * up at once when the cloud says that it is too much.
   */
  private CompletableFuture<HttpClient.ClientReply> send(String method, String path, byte[] body) {
    return http.call(settings.cloudAddress(), method, path, body, TIMEOUT_SECONDS)
        .whenComplete(
            (response, failure) -> {
              boolean rateLimited = failure == null && response.status() == 429;
              currentRate =
                  rateLimited
                      ? Math.max(fairRate / 2, currentRate / 2)
                      : Math.min(
                          settings.cloudLimits().requestsPerSecond() * 0.8,
                          currentRate + fairRate / 10);
              rateLimiter.setRate(currentRate, loop.monotonicSeconds());
            });
  }

  private CompletableFuture<HttpClient.ClientReply> callOrFail(
      String method, String path, byte[] body) {
    return send(method, path, body)
        .thenApply(
            response -> {
              if (!response.isOk()) {
                throw RequestRejectedException.answered(Receiver.CLOUD, response.status());
              }
              return response;
            });
  }
}
