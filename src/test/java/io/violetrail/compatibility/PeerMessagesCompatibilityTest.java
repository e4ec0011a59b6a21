package io.violetrail.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.violetrail.configuration.ConfigurationState;
import io.violetrail.model.Amounts;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.Priority;
import io.violetrail.model.Shape;
import io.violetrail.peer.PeerCodec;
import io.violetrail.peer.PeerMessages.JobStatus;
import io.violetrail.peer.PeerMessages.Kind;
import io.violetrail.peer.PeerMessages.Reply;
import io.violetrail.peer.PeerMessages.Request;
import io.violetrail.peer.ResourceRequest;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Controllers' messages to each other, as bytes that an earlier program wrote: during a rolling
 * restart both versions must mean the same by them. Each example has distinct values in all
 * components of a type, and one with each flag set alone, so that no two can be swapped unseen. The
 * names of the examples are text of their own: constants may be renamed, but not moved.
 *
 * <p>The bytes in {@code peer-messages.txt} are never written anew to make this test pass.
 */
class PeerMessagesCompatibilityTest {
  private static final Map<String, String> RECORDED = Recording.lines("peer-messages.txt");
  private static final Map<String, Record> EXAMPLES = examples();

  private final PeerCodec codec = new PeerCodec();

  static Map<String, Record> examples() {
    Map<String, Record> all = new LinkedHashMap<>();
    all.put("question-VIEW", question(Kind.VIEW, 1001));
    all.put("question-CANCEL", question(Kind.CANCEL, 1002));
    all.put("question-HAND_BACK", question(Kind.HAND_BACK, 1003));
    all.put("question-MOVED", question(Kind.MOVED, 1004));
    all.put("question-RESOURCES", question(Kind.RESOURCES, 1005));
    all.put("question-SOLD_OUT", question(Kind.SOLD_OUT, 1006));
    all.put("question-HEARS", question(Kind.HEARS, 1007));
    all.put("question-CONFIGURATION", question(Kind.CONFIGURATION, 1008));
    all.put("question-BUDGET", question(Kind.BUDGET, 1009));
    all.put("question-machines", resources(machines(false, false, false)));
    all.put("question-machines-spot", resources(machines(true, false, false)));
    all.put("question-machines-starving", resources(machines(false, true, false)));
    all.put("question-machines-may-evict", resources(machines(false, false, true)));
    all.put("question-slice", resources(slice()));
    all.put("question-machines-and-slice", resources(machines(true, true, true), slice()));
    all.put("question-of-a-job-PRODUCTION", resources(ofJob(Priority.PRODUCTION)));
    all.put("question-of-a-job-HIGH", resources(ofJob(Priority.HIGH)));
    all.put("question-of-a-job-NORMAL", resources(ofJob(Priority.NORMAL)));
    all.put("question-of-a-job-LOW", resources(ofJob(Priority.LOW)));
    all.put("question-slice-of-a-job", resources(sliceOfJob()));
    all.put("reply-unknown", new Reply(false, list(), list(), 0));
    all.put("reply-known", new Reply(true, list(), list(), 0));
    all.put("reply-number", new Reply(true, list(), list(), 2_750));
    all.put("reply-view-QUEUED", reply(JobView.Status.QUEUED));
    all.put("reply-view-RUNNING", reply(JobView.Status.RUNNING));
    all.put("reply-view-DONE", reply(JobView.Status.DONE));
    all.put("reply-view-CANCELLED", reply(JobView.Status.CANCELLED));
    all.put(
        "reply-views",
        new Reply(
            true,
            list(view("job-1", JobView.Status.QUEUED), view("job-2", JobView.Status.DONE)),
            list(),
            0));
    all.put("reply-configuration-fresh", new Reply(true, list(), list(state(true)), 0));
    all.put("reply-configuration-not-fresh", new Reply(true, list(), list(state(false)), 0));
    all.put(
        "reply-with-all",
        new Reply(
            false,
            list(view("job-1", JobView.Status.RUNNING)),
            list(state(true), state(false)),
            7));
    return all;
  }

  @SafeVarargs
  private static <T> ArrayList<T> list(T... items) {
    ArrayList<T> all = new ArrayList<>();
    for (T item : items) {
      all.add(item);
    }
    return all;
  }

  private static Request question(Kind kind, long number) {
    return new Request(kind, "c1", "subject", number, list());
  }

  private static Reply reply(JobView.Status status) {
    return new Reply(true, list(view("job-1", status)), list(), 0);
  }

  private static Request resources(ResourceRequest... requests) {
    return new Request(Kind.RESOURCES, "c1", "c2", 0, list(requests));
  }

  private static ResourceRequest machines(boolean spot, boolean starving, boolean mayEvict) {
    return new ResourceRequest(
        false,
        "job-7",
        "red",
        1.5,
        2.5,
        3.5,
        "g8,plain",
        "z",
        spot,
        11,
        3,
        1_700_000_000_123L,
        4.5,
        starving,
        mayEvict,
        "c0");
  }

  private static ResourceRequest slice() {
    return new ResourceRequest(
        true,
        "job-8",
        "blue",
        8.5,
        9.5,
        10.5,
        "",
        "",
        false,
        1,
        2,
        1_700_000_000_456L,
        0,
        false,
        false,
        "");
  }

  private static JobSpec job(Priority priority) {
    return new JobSpec(
        new JobId("job-9"),
        "plain",
        "green",
        Shape.GANG,
        priority,
        5,
        new Amounts(1.25, 2.25, 3.25),
        "img",
        6.25,
        List.of("g8", "plain"),
        "zone-b",
        true,
        false,
        true,
        240.0,
        30.0,
        4.0,
        900.0);
  }

  private static ResourceRequest ofJob(Priority priority) {
    return ResourceRequest.machines(job(priority), 4, 1_700_000_000_789L, 1.75, true, false);
  }

  private static ResourceRequest sliceOfJob() {
    Amounts lacking = new Amounts(5.75, 6.75, 7.75);
    return ResourceRequest.slice(job(Priority.HIGH), lacking, 1_700_000_000_999L)
        .from(new ControllerId("c2"), new Amounts(2.75, 3.75, 4.75));
  }

  private static JobStatus view(String job, JobView.Status status) {
    return new JobStatus(job, status.name(), 3, 13, "c2");
  }

  private static ConfigurationState state(boolean fresh) {
    return new ConfigurationState("c2", 17, 250, 1_700_000_001_000L, fresh);
  }

  @Test
  void everyKindOfQuestionHasAnExample() {
    Set<Kind> kinds = EnumSet.noneOf(Kind.class);
    for (Record example : EXAMPLES.values()) {
      if (example instanceof Request question) {
        kinds.add(question.kind());
      }
    }
    assertEquals(EnumSet.allOf(Kind.class), kinds);
  }

  @Test
  void everyExampleIsRecorded() {
    assertEquals(List.copyOf(RECORDED.keySet()), List.copyOf(EXAMPLES.keySet()));
  }

  static List<String> recorded() {
    return List.copyOf(RECORDED.keySet());
  }

  @ParameterizedTest
  @MethodSource("recorded")
  void recordedBytesMeanTheSame(String name) {
    byte[] bytes = HexFormat.of().parseHex(RECORDED.get(name));
    Record expected = EXAMPLES.get(name);
    assertEquals(expected, codec.decode(bytes, expected.getClass()));
  }

  @ParameterizedTest
  @MethodSource("recorded")
  void theSameBytesAreWritten(String name) {
    assertEquals(RECORDED.get(name), HexFormat.of().formatHex(codec.encode(EXAMPLES.get(name))));
  }
}
