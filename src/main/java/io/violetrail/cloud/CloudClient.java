package io.violetrail.cloud;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.violetrail.config.Settings;
import io.violetrail.model.MachineId;
import io.violetrail.model.MachineType;
import io.violetrail.net.Budget;
import io.violetrail.net.Http;
import io.violetrail.net.Loop;
import io.violetrail.wire.Cbor;
import io.violetrail.wire.Cbor.Malformed;
import io.violetrail.wire.CloudWire;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The cloud's client, within this controller's part of the shared rate. */
public final class CloudClient {
  private static final double TIMEOUT_S = 5;

  private final Http http;
  private final Settings settings;
  private final Loop loop;
  private final Budget budget;
  private final double share;
  private double rate;

  /** Creates a client that uses an equal share of 90% of the provider's request rate limit. */
  public CloudClient(Loop loop, Http http, Settings settings) {
    this.loop = loop;
    this.http = http;
    this.settings = settings;
    this.share = settings.cloudLimits().rps() * 0.9 / (settings.peers().size() + 1);
    this.rate = share;
    this.budget = new Budget(rate, Math.max(1, rate * 2), loop.seconds());
  }

  /** What a rental request came to. */
  public enum Rental {
    DONE,
    NO_CAPACITY,
    UNCERTAIN
  }

  /** A rental request's answer. */
  public record Hired(Rental rental, List<MachineId> machines) {}

  /** Whether a call may be made now; takes it from the budget. */
  public boolean mayCall() {
    return budget.take(1, loop.seconds());
  }

  /** Fetches the machine types on offer; the future fails if the reply is an error or malformed. */
  public CompletableFuture<List<MachineType>> types() {
    return call("GET", "/flavors", null)
        .thenApply(
            r -> {
              try {
                return CloudWire.types(Cbor.parse(r.body()));
              } catch (Malformed e) {
                throw new IllegalStateException(e);
              }
            });
  }

  /**
   * Requests {@code count} machines under an idempotency name. The future does not fail: a request
   * whose outcome cannot be determined yields {@code Rental.UNCERTAIN}.
   */
  public CompletableFuture<Hired> hire(
      String name, String type, String zone, boolean spot, int count) {
    return send("POST", "/hosts", Cbor.bytes(CloudWire.hire(name, type, zone, spot, count)))
        .handle(
            (r, failure) -> {
              try {
                if (failure == null && r.ok()) {
                  return new Hired(Rental.DONE, CloudWire.hired(Cbor.parse(r.body())));
                }
                if (failure == null
                    && (r.status() == 400
                        || (r.status() == 503 && noCapacity(Cbor.parse(r.body()))))) {
                  return new Hired(Rental.NO_CAPACITY, List.of());
                }
              } catch (Malformed e) {
                // Nothing certain was said.
              }
              return new Hired(Rental.UNCERTAIN, List.of());
            });
  }

  private static boolean noCapacity(ObjectNode m) {
    return "no capacity".equals(m.path("error").asText());
  }

  /** A page of the machines listed; {@code last} is where the next one begins. */
  public record Page(List<MachineId> machines, String last, boolean more) {}

  /** Machines listed after a name, not all of which may still or already be there. */
  public CompletableFuture<Page> list(String after) {
    String from = after.isEmpty() ? "" : "&after=" + after;
    return call("GET", "/hosts?most=" + CloudWire.MAX_LIST + from, null)
        .thenApply(
            r -> {
              try {
                ObjectNode m = Cbor.parse(r.body());
                List<MachineId> machines = CloudWire.listed(m);
                String last =
                    machines.isEmpty() ? after : machines.get(machines.size() - 1).value();
                return new Page(machines, last, CloudWire.more(m) && !machines.isEmpty());
              } catch (Malformed e) {
                throw new IllegalStateException(e);
              }
            });
  }

  /** What asking for machines to be taken back came to. */
  public enum Return {
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
  public CompletableFuture<Return> giveBack(Collection<MachineId> machines) {
    return send("POST", "/hosts/return", Cbor.bytes(CloudWire.giveBack(machines)))
        .handle(
            (r, failure) -> {
              if (failure != null) {
                return Return.UNCERTAIN;
              }
              return r.ok()
                  ? Return.GONE
                  : r.status() == 429 || r.status() == 503 ? Return.REFUSED : Return.UNCERTAIN;
            });
  }

  /**
   * One call. What the peers leave unused of the common rate is taken little by little, and given
   * up at once when the cloud says that it is too much.
   */
  private CompletableFuture<Http.Reply> send(String method, String path, byte[] body) {
    return http.call(settings.cloud(), method, path, body, TIMEOUT_S)
        .whenComplete(
            (r, failure) -> {
              boolean tooMuch = failure == null && r.status() == 429;
              rate =
                  tooMuch
                      ? Math.max(share / 2, rate / 2)
                      : Math.min(settings.cloudLimits().rps() * 0.8, rate + share / 10);
              budget.rate(rate, loop.seconds());
            });
  }

  private CompletableFuture<Http.Reply> call(String method, String path, byte[] body) {
    return send(method, path, body)
        .thenApply(
            r -> {
              if (!r.ok()) {
                throw new IllegalStateException("the cloud answered " + r.status());
              }
              return r;
            });
  }
}
