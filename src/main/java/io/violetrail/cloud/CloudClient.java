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

/**
 * A client of the machine provider's API. It adapts its own call rate to its part of the rate limit
 * that all controllers share; callers reserve calls by {@link #tryAcquireCall}.
 *
 * <p>Called on the event loop's thread, on which its futures complete too. Has no state that must
 * survive a crash.
 */
public final class CloudClient {
  private static final double TIMEOUT_SECONDS = 5;

  /** The fraction of the shared rate limit that is split evenly among the controllers. */
  private static final double SPLIT_FRACTION = 0.9;

  /** The fraction of the shared rate limit that one controller may use while others are idle. */
  private static final double MAX_FRACTION = 0.8;

  /** The number of calls without a rate-limit reply that raise the rate by one even share. */
  private static final double CALLS_PER_INCREASE = 10;

  private static final int BAD_REQUEST = 400;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  private static final RentalResult UNCERTAIN_RENTAL =
      new RentalResult(RentalOutcome.UNCERTAIN, List.of());

  private final HttpClient http;
  private final Settings settings;
  private final EventLoop loop;
  private final RateLimiter rateLimiter;
  private final double fairRate;
  private double currentRate;

  /**
   * Creates a client that starts with an even share of 90% of the provider's request rate limit.
   */
  public CloudClient(EventLoop loop, HttpClient http, Settings settings) {
    this.loop = loop;
    this.http = http;
    this.settings = settings;
    this.fairRate =
        settings.cloudLimits().requestsPerSecond() * SPLIT_FRACTION / (settings.peers().size() + 1);
    this.currentRate = fairRate;
    this.rateLimiter =
        new RateLimiter(currentRate, Math.max(1, currentRate * 2), loop.monotonicSeconds());
  }

  /** The outcome of a rental request. */
  public enum RentalOutcome {
    /** The request was carried out, possibly with fewer machines than requested. */
    DONE,
    /** The request was refused, and no machine will ever be rented for it. */
    REFUSED,
    /**
     * The request may have been carried out, or may be later: it must be repeated with the same
     * idempotency key.
     */
    UNCERTAIN
  }

  /** The answer to a rental request; lists no machines unless the request was carried out. */
  public record RentalResult(RentalOutcome outcome, List<MachineId> machines) {}

  /** Returns whether a call may be made now, and if so, counts it against the rate limit. */
  public boolean tryAcquireCall() {
    return rateLimiter.tryAcquire(1, loop.monotonicSeconds());
  }

  /**
   * Fetches the machine types on offer; the future fails with a {@code RequestFailedException} if
   * the reply is an error or malformed.
   */
  public CompletableFuture<List<MachineType>> fetchMachineTypes() {
    return callOrFail("GET", CloudMessages.MACHINE_TYPES_PATH, null)
        .thenApply(
            response -> {
              try {
                return CloudMessages.parseMachineTypes(Cbor.parse(response.body()));
              } catch (MalformedMessageException exception) {
                throw RequestUndecidedException.malformedReply(Receiver.CLOUD);
              }
            });
  }

  /**
   * Requests {@code count} machines. Repeating the call with the same {@code idempotencyKey} rents
   * no further machines. The future does not fail: a request whose outcome cannot be determined
   * yields {@code RentalOutcome.UNCERTAIN}.
   */
  public CompletableFuture<RentalResult> rentMachines(
      String idempotencyKey, String type, String zone, boolean spot, int count) {
    return send(
            "POST",
            CloudMessages.MACHINES_PATH,
            Cbor.encode(CloudMessages.rentalRequest(idempotencyKey, type, zone, spot, count)))
        .handle((response, failure) -> failure == null ? parseRental(response) : UNCERTAIN_RENTAL);
  }

  private static RentalResult parseRental(HttpClient.ClientResponse response) {
    try {
      if (response.isOk()) {
        return new RentalResult(
            RentalOutcome.DONE, CloudMessages.parseRentedMachines(Cbor.parse(response.body())));
      }
      if (response.status() == BAD_REQUEST
          || (response.status() == SERVICE_UNAVAILABLE
              && isNoCapacity(Cbor.parse(response.body())))) {
        return new RentalResult(RentalOutcome.REFUSED, List.of());
      }
    } catch (MalformedMessageException exception) {
      return UNCERTAIN_RENTAL;
    }
    return UNCERTAIN_RENTAL;
  }

  private static boolean isNoCapacity(ObjectNode message) {
    return "no capacity".equals(message.path("error").asText());
  }

  /** A page of the machine list; the next page begins after {@code lastListed}. */
  public record MachinePage(List<MachineId> machines, String lastListed, boolean hasMore) {}

  /**
   * Lists a page of the machines that are charged for. The list lags behind: new machines may be
   * missing, and terminated machines may still be listed. The future fails if the reply is an error
   * or malformed.
   *
   * @param after the name of the last machine of the previous page; empty for the first page
   */
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
                throw RequestUndecidedException.malformedReply(Receiver.CLOUD);
              }
            });
  }

  /** The outcome of a request to return machines. */
  public enum ReturnOutcome {
    /** The machines are certainly terminated. */
    TERMINATED,
    /** The request was refused and will not be carried out later: the machines keep running. */
    REFUSED,
    /** The request may have been carried out, or may be later. */
    UNCERTAIN
  }

  /**
   * Returns machines to the provider. The future does not fail: a request whose outcome cannot be
   * determined yields {@code ReturnOutcome.UNCERTAIN}.
   */
  public CompletableFuture<ReturnOutcome> returnMachines(Collection<MachineId> machines) {
    return send(
            "POST", CloudMessages.RETURN_PATH, Cbor.encode(CloudMessages.returnRequest(machines)))
        .handle(
            (response, failure) ->
                failure == null ? parseReturn(response) : ReturnOutcome.UNCERTAIN);
  }

  private static ReturnOutcome parseReturn(HttpClient.ClientResponse response) {
    if (response.isOk()) {
      return ReturnOutcome.TERMINATED;
    }
    return response.status() == TOO_MANY_REQUESTS || response.status() == SERVICE_UNAVAILABLE
        ? ReturnOutcome.REFUSED
        : ReturnOutcome.UNCERTAIN;
  }

  /**
   * Makes one call and adapts the call rate to its reply. The rate grows gradually into the part of
   * the shared limit that peers leave unused, and is halved at once, to no less than half an even
   * share, when the provider reports too many requests.
   */
  private CompletableFuture<HttpClient.ClientResponse> send(
      String method, String path, byte[] body) {
    return http.call(settings.cloudAddress(), method, path, body, TIMEOUT_SECONDS)
        .whenComplete(
            (response, failure) -> {
              boolean rateLimited = failure == null && response.status() == TOO_MANY_REQUESTS;
              currentRate =
                  rateLimited
                      ? Math.max(fairRate / 2, currentRate / 2)
                      : Math.min(
                          settings.cloudLimits().requestsPerSecond() * MAX_FRACTION,
                          currentRate + fairRate / CALLS_PER_INCREASE);
              rateLimiter.setRate(currentRate, loop.monotonicSeconds());
            });
  }

  private CompletableFuture<HttpClient.ClientResponse> callOrFail(
      String method, String path, byte[] body) {
    return send(method, path, body)
        .thenApply(
            response -> {
              if (!response.isOk()) {
                throw RequestRejectedException.repliedWithStatus(Receiver.CLOUD, response.status());
              }
              return response;
            });
  }
}
