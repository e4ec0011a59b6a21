package io.violetrail.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.violetrail.configuration.ConfigurationState;
import io.violetrail.model.ControllerId;
import io.violetrail.model.JobId;
import io.violetrail.model.JobShape;
import io.violetrail.model.JobSpec;
import io.violetrail.model.JobView;
import io.violetrail.model.Priority;
import io.violetrail.model.Resources;
import io.violetrail.peer.PeerCodec;
import io.violetrail.peer.PeerMessages.JobViewMessage;
import io.violetrail.peer.PeerMessages.PeerRequest;
import io.violetrail.peer.PeerMessages.PeerRequestKind;
import io.violetrail.peer.PeerMessages.PeerResponse;
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
 * Messages between controllers, as bytes that an earlier release wrote: during a rolling restart
 * both releases must understand them alike. The examples of a type have distinct values in all its
 * components, and for each flag one example sets it alone, so that swapped components are noticed.
 * The names of the examples are independent of the code: enum constants may be renamed, but not
 * reordered.
 *
 * <p>Never rewrite the bytes in {@code peer-messages.txt} to make this test pass.
 */
class PeerMessagesCompatibilityTest {
  private static final Map<String, String> RECORDED = Recording.lines("peer-messages.txt");
  private static final Map<String, Record> EXAMPLES = examples();

  private final PeerCodec codec = new PeerCodec();

  static Map<String, Record> examples() {
    Map<String, Record> examples = new LinkedHashMap<>();
    examples.put("question-VIEW", request(PeerRequestKind.VIEW, 1001));
    examples.put("question-CANCEL", request(PeerRequestKind.CANCEL, 1002));
    examples.put("question-HAND_BACK", request(PeerRequestKind.HAND_BACK, 1003));
    examples.put("question-MOVED", request(PeerRequestKind.MOVED, 1004));
    examples.put("question-RESOURCES", request(PeerRequestKind.RESOURCES, 1005));
    examples.put("question-SOLD_OUT", request(PeerRequestKind.SOLD_OUT, 1006));
    examples.put("question-HEARS", request(PeerRequestKind.HEARS, 1007));
    examples.put("question-CONFIGURATION", request(PeerRequestKind.CONFIGURATION, 1008));
    examples.put("question-BUDGET", request(PeerRequestKind.BUDGET, 1009));
    examples.put("question-machines", resourcesRequest(machineRequest(false, false, false)));
    examples.put("question-machines-spot", resourcesRequest(machineRequest(true, false, false)));
    examples.put(
        "question-machines-starving", resourcesRequest(machineRequest(false, true, false)));
    examples.put(
        "question-machines-may-evict", resourcesRequest(machineRequest(false, false, true)));
    examples.put("question-slice", resourcesRequest(quotaShareRequest()));
    examples.put(
        "question-machines-and-slice",
        resourcesRequest(machineRequest(true, true, true), quotaShareRequest()));
    examples.put(
        "question-of-a-job-PRODUCTION", resourcesRequest(machineRequestOfJob(Priority.PRODUCTION)));
    examples.put("question-of-a-job-HIGH", resourcesRequest(machineRequestOfJob(Priority.HIGH)));
    examples.put(
        "question-of-a-job-NORMAL", resourcesRequest(machineRequestOfJob(Priority.NORMAL)));
    examples.put("question-of-a-job-LOW", resourcesRequest(machineRequestOfJob(Priority.LOW)));
    examples.put("question-slice-of-a-job", resourcesRequest(quotaShareRequestOfJob()));
    examples.put("reply-unknown", new PeerResponse(false, list(), list(), 0));
    examples.put("reply-known", new PeerResponse(true, list(), list(), 0));
    examples.put("reply-number", new PeerResponse(true, list(), list(), 2_750));
    examples.put("reply-view-QUEUED", jobViewReply(JobView.JobStatus.QUEUED));
    examples.put("reply-view-RUNNING", jobViewReply(JobView.JobStatus.RUNNING));
    examples.put("reply-view-DONE", jobViewReply(JobView.JobStatus.DONE));
    examples.put("reply-view-CANCELLED", jobViewReply(JobView.JobStatus.CANCELLED));
    examples.put(
        "reply-views",
        new PeerResponse(
            true,
            list(
                jobView("job-1", JobView.JobStatus.QUEUED),
                jobView("job-2", JobView.JobStatus.DONE)),
            list(),
            0));
    examples.put(
        "reply-configuration-fresh",
        new PeerResponse(true, list(), list(configurationState(true)), 0));
    examples.put(
        "reply-configuration-not-fresh",
        new PeerResponse(true, list(), list(configurationState(false)), 0));
    examples.put(
        "reply-with-all",
        new PeerResponse(
            false,
            list(jobView("job-1", JobView.JobStatus.RUNNING)),
            list(configurationState(true), configurationState(false)),
            7));
    return examples;
  }

  @SafeVarargs
  private static <T> ArrayList<T> list(T... items) {
    ArrayList<T> all = new ArrayList<>();
    for (T item : items) {
      all.add(item);
    }
    return all;
  }

  private static PeerRequest request(PeerRequestKind kind, long number) {
    return new PeerRequest(kind, "c1", "subject", number, list());
  }

  private static PeerResponse jobViewReply(JobView.JobStatus status) {
    return new PeerResponse(true, list(jobView("job-1", status)), list(), 0);
  }

  private static PeerRequest resourcesRequest(ResourceRequest... requests) {
    return new PeerRequest(PeerRequestKind.RESOURCES, "c1", "c2", 0, list(requests));
  }

  private static ResourceRequest machineRequest(boolean spot, boolean starving, boolean mayEvict) {
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

  private static ResourceRequest quotaShareRequest() {
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

  private static JobSpec jobSpec(Priority priority) {
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

  private static ResourceRequest machineRequestOfJob(Priority priority) {
    return ResourceRequest.forMachines(jobSpec(priority), 4, 1_700_000_000_789L, 1.75, true, false);
  }

  private static ResourceRequest quotaShareRequestOfJob() {
    Resources lacking = new Resources(5.75, 6.75, 7.75);
    return ResourceRequest.forQuotaShare(jobSpec(Priority.HIGH), lacking, 1_700_000_000_999L)
        .fromDonor(new ControllerId("c2"), new Resources(2.75, 3.75, 4.75));
  }

  private static JobViewMessage jobView(String job, JobView.JobStatus status) {
    return new JobViewMessage(job, status.name(), 3, 13, "c2");
  }

  private static ConfigurationState configurationState(boolean fresh) {
    return new ConfigurationState("c2", 17, 250, 1_700_000_001_000L, fresh);
  }

  @Test
  void everyRequestKindHasAnExample() {
    Set<PeerRequestKind> kinds = EnumSet.noneOf(PeerRequestKind.class);
    for (Record example : EXAMPLES.values()) {
      if (example instanceof PeerRequest request) {
        kinds.add(request.kind());
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
  void recordedBytesDecodeToTheExample(String name) {
    byte[] bytes = HexFormat.of().parseHex(RECORDED.get(name));
    Record expected = EXAMPLES.get(name);
    assertEquals(expected, codec.decode(bytes, expected.getClass()));
  }

  @ParameterizedTest
  @MethodSource("recorded")
  void exampleEncodesToTheRecordedBytes(String name) {
    assertEquals(RECORDED.get(name), HexFormat.of().formatHex(codec.encode(EXAMPLES.get(name))));
  }
}
