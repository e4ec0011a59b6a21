package io.violetrail.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.violetrail.configuration.ConfigurationState;
import io.violetrail.model.Resources;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.Priority;
import io.violetrail.model.JobShape;
import io.violetrail.peer.PeerCodec;
import io.violetrail.peer.PeerMessages.JobViewMessage;
import io.violetrail.peer.PeerMessages.PeerRequestKind;
import io.violetrail.peer.PeerMessages.PeerResponse;
import io.violetrail.peer.PeerMessages.PeerRequest;
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
    all.put("question-VIEW", question(PeerRequestKind.VIEW, 1001));
    all.put("question-CANCEL", question(PeerRequestKind.CANCEL, 1002));
    all.put("question-HAND_BACK", question(PeerRequestKind.HAND_BACK, 1003));
    all.put("question-MOVED", question(PeerRequestKind.MOVED, 1004));
    all.put("question-RESOURCES", question(PeerRequestKind.RESOURCES, 1005));
    all.put("question-SOLD_OUT", question(PeerRequestKind.SOLD_OUT, 1006));
    all.put("question-HEARS", question(PeerRequestKind.HEARS, 1007));
    all.put("question-CONFIGURATION", question(PeerRequestKind.CONFIGURATION, 1008));
    all.put("question-BUDGET", question(PeerRequestKind.BUDGET, 1009));
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
    all.put("reply-unknown", new PeerResponse(false, list(), list(), 0));
    all.put("reply-known", new PeerResponse(true, list(), list(), 0));
    all.put("reply-number", new PeerResponse(true, list(), list(), 2_750));
    all.put("reply-view-QUEUED", reply(JobView.JobStatus.QUEUED));
    all.put("reply-view-RUNNING", reply(JobView.JobStatus.RUNNING));
    all.put("reply-view-DONE", reply(JobView.JobStatus.DONE));
    all.put("reply-view-CANCELLED", reply(JobView.JobStatus.CANCELLED));
    all.put(
        "reply-views",
        new PeerResponse(
            true,
            list(view("job-1", JobView.JobStatus.QUEUED), view("job-2", JobView.JobStatus.DONE)),
            list(),
            0));
    all.put("reply-configuration-fresh", new PeerResponse(true, list(), list(state(true)), 0));
    all.put("reply-configuration-not-fresh", new PeerResponse(true, list(), list(state(false)), 0));
    all.put(
        "reply-with-all",
        new PeerResponse(
            false,
            list(view("job-1", JobView.JobStatus.RUNNING)),
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

  private static PeerRequest question(PeerRequestKind kind, long number) {
    return new PeerRequest(kind, "c1", "subject", number, list());
  }

  private static PeerResponse reply(JobView.JobStatus status) {
    return new PeerResponse(true, list(view("job-1", status)), list(), 0);
  }

  private static PeerRequest resources(ResourceRequest... requests) {
    return new PeerRequest(PeerRequestKind.RESOURCES, "c1", "c2", 0, list(requests));
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
        JobShape.GANG,
        priority,
        5,
        new Resources(1.25, 2.25, 3.25),
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
    return ResourceRequest.forMachines(job(priority), 4, 1_700_000_000_789L, 1.75, true, false);
  }

  private static ResourceRequest sliceOfJob() {
    Resources lacking = new Resources(5.75, 6.75, 7.75);
    return ResourceRequest.forQuotaShare(job(Priority.HIGH), lacking, 1_700_000_000_999L)
        .fromDonor(new ControllerId("c2"), new Resources(2.75, 3.75, 4.75));
  }

  private static JobViewMessage view(String job, JobView.JobStatus status) {
    return new JobViewMessage(job, status.name(), 3, 13, "c2");
  }

  private static ConfigurationState state(boolean fresh) {
    return new ConfigurationState("c2", 17, 250, 1_700_000_001_000L, fresh);
  }

  @Test
  void everyKindOfQuestionHasAnExample() {
    Set<PeerRequestKind> kinds = EnumSet.noneOf(PeerRequestKind.class);
    for (Record example : EXAMPLES.values()) {
      if (example instanceof PeerRequest question) {
        kinds.add(question.kind());
      }
    }
    assertEquals(EnumSet.allOf(PeerRequestKind.class), kinds);
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
