package io.violetrail.peer;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import com.google.common.base.Splitter;
import io.violetrail.config.Settings.HostPort;
import io.violetrail.configuration.ConfigurationState;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.Version;
import io.violetrail.net.Futures;
import io.violetrail.net.Http;
import io.violetrail.net.Service;
import io.violetrail.node.Node;
import io.violetrail.ownership.OwnedEntity;
import io.violetrail.state.StateStore.Unavailable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What controllers say to each other: Kryo messages over HTTP. All of it may fail without harm. */
public final class Peers implements Service {
  private static final Logger LOG = LoggerFactory.getLogger(Peers.class);
  private static final double TIMEOUT_S = 1.2;
  private static final double CANCEL_S = 3;
  private static final String PATH = "/peer";
  private static final int MAX_MESSAGE = 64 * 1024;

  private final Node node;
  private final Http http;
  private final Views views = new Views(this::views);
  private final BudgetLending lending;
  private Kryo kryo;

  /** Creates the peer protocol of one controller; without a node, no request budget is lent. */
  public Peers(Node node, Http http) {
    this.node = node;
    this.http = http;
    this.lending =
        node == null
            ? null
            : new BudgetLending(
                node.settings, node.loop, node.store, node.directory, this::askForBudget);
  }

  public void start() {
    lending.start();
  }

  private void askForBudget(ControllerId peer, long units) {
    Question question = new Question(Kind.BUDGET, node.settings.self().value(), "", units);
    Futures.logFailure(
        call(peer, question, TIMEOUT_S).thenAccept(r -> lending.borrowed(r.number())),
        "borrow request budget");
  }

  /** What is asked. */
  public enum Kind {
    VIEW,
    CANCEL,
    HAND_BACK,
    MOVED,
    RESOURCES,
    SOLD_OUT,
    /** Whether workers are heard there. */
    HEARS,
    /** Which revision of the configuration the controller goes by. */
    CONFIGURATION,
    /** A part of the peer's budget for changes. */
    BUDGET
  }

  /** A question about a job or an entity. */
  public record Question(
      Kind kind, String from, String subject, long number, ArrayList<ResourceRequest> requests) {
    Question(Kind kind, String from, String subject, long number) {
      this(kind, from, subject, number, new ArrayList<>());
    }
  }

  /** An answer: whether it is known, and the states of the jobs asked for that are. */
  public record Reply(
      boolean known,
      ArrayList<View> views,
      ArrayList<ConfigurationState> configuration,
      long number) {
    static final Reply UNKNOWN = new Reply(false, new ArrayList<>());
    static final Reply YES = new Reply(true, new ArrayList<>());

    Reply(boolean known, ArrayList<View> views) {
      this(known, views, new ArrayList<>(), 0);
    }

    static Reply of(JobView v) {
      return new Reply(true, new ArrayList<>(List.of(View.of(v))));
    }

    static Reply of(long number) {
      return new Reply(true, new ArrayList<>(), new ArrayList<>(), number);
    }

    static Reply of(ConfigurationState state) {
      return new Reply(true, new ArrayList<>(), new ArrayList<>(List.of(state)), 0);
    }
  }

  /** A job's state, and the entity that it is bound to (empty if that was not asked for). */
  public record View(String id, String status, int done, int running, String entity) {
    static View of(JobView v) {
      return of(v, null);
    }

    static View of(JobView v, ControllerId entity) {
      String bound = entity == null ? "" : entity.value();
      return new View(v.id(), v.status().name(), v.done(), v.running(), bound);
    }

    JobView view() {
      return new JobView(id, JobView.Status.valueOf(status), done, running);
    }
  }

  /** Writes and reads a message, so that the classes for it are loaded. */
  public static void rehearse(JobSpec spec) {
    Peers p = new Peers(null, null);
    ArrayList<ResourceRequest> requests =
        new ArrayList<>(List.of(ResourceRequest.machines(spec, 1, 0, 1, false, true)));
    p.read(p.bytes(new Question(Kind.RESOURCES, "a", "b", 0, requests)), Question.class);
    p.read(p.bytes(Reply.of(new JobView("a", JobView.Status.DONE, 1, 0))), Reply.class);
  }

  private Kryo kryo() {
    if (kryo == null) {
      kryo = new Kryo();
      kryo.setRegistrationRequired(true);
      kryo.setReferences(false);
      kryo.setMaxDepth(8);
      kryo.register(ArrayList.class);
      kryo.register(ResourceRequest.class);
      kryo.register(Kind.class);
      kryo.register(Question.class);
      kryo.register(Reply.class);
      kryo.register(View.class);
      kryo.register(ConfigurationState.class);
    }
    return kryo;
  }

  private byte[] bytes(Object message) {
    Output out = new Output(256, MAX_MESSAGE);
    kryo().writeObject(out, message);
    return out.toBytes();
  }

  private <T> T read(byte[] bytes, Class<T> type) {
    return kryo().readObject(new Input(bytes), type);
  }

  /** Asks the owner of a job for its current state. */
  public CompletableFuture<JobView> view(ControllerId owner, JobId id) {
    return views.ask(owner, id);
  }

  private CompletableFuture<Map<JobId, JobView>> views(ControllerId owner, List<JobId> jobs) {
    String ids = jobs.stream().map(JobId::value).collect(Collectors.joining(" "));
    return call(owner, new Question(Kind.VIEW, node.settings.self().value(), ids, 0), TIMEOUT_S)
        .thenApply(
            r -> {
              Map<JobId, JobView> known = new HashMap<>();
              for (View v : r.views()) {
                JobId id = new JobId(v.id());
                known.put(id, v.view());
                if (!v.entity().isEmpty()) {
                  node.jobs.learn(id, new ControllerId(v.entity()), v.view());
                }
              }
              return known;
            });
  }

  /** Asks the owner of a job to cancel it. */
  public CompletableFuture<JobView> cancel(ControllerId owner, JobId id) {
    return call(
            owner, new Question(Kind.CANCEL, node.settings.self().value(), id.value(), 0), CANCEL_S)
        .thenApply(
            r -> {
              if (!r.known() || r.views().isEmpty()) {
                throw new Unavailable("the owner does not know", 404);
              }
              return r.views().get(0).view();
            });
  }

  /** Whether a peer hears workers. */
  public CompletableFuture<Boolean> hears(ControllerId peer) {
    return call(peer, new Question(Kind.HEARS, node.settings.self().value(), "", 0), TIMEOUT_S)
        .thenApply(Reply::known);
  }

  /**
   * Every controller's state of the configuration, this one's first; one that does not answer, or
   * does not follow it, has gone by it since never.
   */
  public CompletableFuture<List<ConfigurationState>> configurationStates() {
    List<CompletableFuture<ConfigurationState>> asked = new ArrayList<>();
    asked.add(CompletableFuture.completedFuture(node.configuration.state()));
    for (ControllerId peer : node.settings.peers().keySet()) {
      Question question =
          new Question(Kind.CONFIGURATION, node.settings.self().value(), peer.value(), 0);
      ConfigurationState none = new ConfigurationState(peer.value(), 0, -1, 0, false);
      asked.add(
          call(peer, question, TIMEOUT_S)
              .thenApply(r -> r.configuration().isEmpty() ? none : r.configuration().get(0))
              .exceptionally(failure -> none));
    }
    return CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new))
        .thenApply(nothing -> asked.stream().map(CompletableFuture::join).toList());
  }

  /**
   * Asks a controller to release the entity named after this one; a lost request is not repeated
   * here.
   */
  public void askBack(ControllerId owner) {
    Futures.logFailure(
        call(
            owner,
            new Question(
                Kind.HAND_BACK, node.settings.self().value(), node.settings.self().value(), 0),
            TIMEOUT_S),
        "ask for an entity back");
  }

  /** Tells all peers what this controller holds, so that a former owner in doubt stops at once. */
  public void announce() {
    node.membership.holdings().forEach(this::announce);
  }

  /** Tells all peers of one entity that is held here. */
  public void announce(OwnedEntity h) {
    Question q =
        new Question(
            Kind.MOVED, node.settings.self().value(), h.entity().value(), h.row.version().value());
    node.settings
        .peers()
        .keySet()
        .forEach(p -> Futures.logFailure(call(p, q, TIMEOUT_S), "announce a move"));
  }

  /** Asks all peers for machines or slices that an entity held here lacks. */
  public void askFor(ControllerId entity, List<ResourceRequest> requests) {
    Question q =
        new Question(
            Kind.RESOURCES,
            node.settings.self().value(),
            entity.value(),
            0,
            new ArrayList<>(requests));
    node.settings.peers().keySet().stream()
        .filter(node.directory::isAlive)
        .forEach(p -> Futures.logFailure(call(p, q, TIMEOUT_S), "ask for resources"));
  }

  /** Saves the peers a call to the cloud. */
  public void soldOut(String type, String zone, boolean spot) {
    Question q =
        new Question(
            Kind.SOLD_OUT, node.settings.self().value(), type + " " + zone + " " + spot, 0);
    node.settings.peers().keySet().stream()
        .filter(node.directory::isAlive)
        .forEach(p -> Futures.logFailure(call(p, q, TIMEOUT_S), "announce missing capacity"));
  }

  private CompletableFuture<Reply> call(ControllerId to, Question question, double timeoutS) {
    HostPort address = node.settings.peers().get(to);
    if (address == null) {
      return CompletableFuture.failedFuture(new Unavailable("no such peer", 404));
    }
    return http.call(address, "POST", PATH, bytes(question), timeoutS)
        .thenApply(
            r -> {
              if (!r.ok()) {
                throw new Unavailable("the peer answered " + r.status(), r.status());
              }
              try {
                return read(r.body(), Reply.class);
              } catch (KryoException e) {
                throw new Unavailable("the peer's answer is unclear", 0);
              }
            });
  }

  @Override
  public void handle(String method, String path, byte[] body, Consumer<Answer> done) {
    if (!PATH.equals(path) || !"POST".equals(method)) {
      done.accept(Answer.empty(404));
      return;
    }
    Question q;
    try {
      q = read(body, Question.class);
    } catch (KryoException e) {
      LOG.info("a peer's message is unclear: {}", e.getMessage());
      done.accept(Answer.empty(400));
      return;
    }
    Consumer<Reply> reply =
        r -> done.accept(new Answer(200, bytes(r), 0, "application/octet-stream"));
    switch (q.kind()) {
      case VIEW -> reply.accept(views(q.subject()));
      case HEARS -> reply.accept(node.reachability.hears() ? Reply.YES : Reply.UNKNOWN);
      case BUDGET -> reply.accept(Reply.of(lending.lend(q.number())));
      case CONFIGURATION -> {
        ConfigurationState state = node.configuration.state();
        reply.accept(state == null ? Reply.UNKNOWN : Reply.of(state));
      }
      case CANCEL -> cancel(new JobId(q.subject()), reply);
      case HAND_BACK -> {
        OwnedEntity h = node.membership.holding(new ControllerId(q.subject()));
        if (h != null && q.subject().equals(q.from())) {
          node.membership.release(h, new ControllerId(q.from()));
        }
        reply.accept(Reply.UNKNOWN);
      }
      case SOLD_OUT -> {
        String[] offer = q.subject().split(" ", 3);
        if (offer.length == 3) {
          node.fleet.soldOut(offer[0], offer[1], Boolean.parseBoolean(offer[2]));
        }
        reply.accept(Reply.UNKNOWN);
      }
      case RESOURCES -> {
        node.transfers.asked(new ControllerId(q.subject()), q.requests());
        reply.accept(Reply.UNKNOWN);
      }
      case MOVED -> {
        node.membership.told(new ControllerId(q.subject()), new Version(q.number()));
        reply.accept(Reply.UNKNOWN);
      }
      default -> throw new IllegalStateException("unhandled question kind " + q.kind());
    }
  }

  private Reply views(String ids) {
    ArrayList<View> known = new ArrayList<>();
    for (String text : Splitter.on(' ').limit(Views.MOST).split(ids)) {
      JobId id = new JobId(text);
      JobView view = node.knownView(id);
      if (view != null) {
        known.add(View.of(view, node.jobs.boundTo(id)));
      }
    }
    return new Reply(true, known);
  }

  private void cancel(JobId id, Consumer<Reply> reply) {
    JobView view = node.jobs.terminalView(id);
    OwnedEntity h = node.holdingOf(id);
    if (view != null) {
      reply.accept(Reply.of(view));
    } else if (h == null || !node.membership.valid()) {
      reply.accept(Reply.UNKNOWN);
    } else {
      Futures.logFailure(
          node.jobs
              .cancel(h, h.jobs.get(id))
              .whenComplete(
                  (v, failure) -> reply.accept(failure == null ? Reply.of(v) : Reply.UNKNOWN)),
          "cancel a job for a peer");
    }
  }
}
