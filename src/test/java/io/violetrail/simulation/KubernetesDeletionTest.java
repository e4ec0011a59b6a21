package io.violetrail.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.violetrail.fakes.FakeWorker;
import io.violetrail.fakes.KubernetesTestClient;
import io.violetrail.fakes.KubernetesTestClient.Reply;
import java.util.Set;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Kubernetes objects that are deleted while writes of their native jobs have no known outcome. */
class KubernetesDeletionTest extends SimulationTestBase {
  private static final String JOBS = "/apis/batch/v1/namespaces/red/jobs";
  private static final String DEPLOYMENTS = "/apis/apps/v1/namespaces/red/deployments";
  private static final double LATE_SECONDS = 4;

  /** What happens to the transactions of the owner, c0. */
  enum Fault {
    /** They are carried out at once, and their replies are lost. */
    REPLIES_LOST,
    /** They get no reply and are carried out late, after newer ones. */
    APPLIED_LATE
  }

  private KubernetesTestClient client;

  KubernetesDeletionTest() {
    super(17);
  }

  private void start() {
    client = new KubernetesTestClient(simulation);
    simulation.setKubernetesEnabled(true);
    simulation.startAllControllers();
    simulation.cloud().setTaskDurationSeconds(500);
    simulation.runFor(3);
  }

  private static String podTemplate(String restartPolicy) {
    return """
        {"metadata":{"labels":{"app":"scan"}},"spec":{"restartPolicy":"%s","containers":[
        {"name":"main","image":"img","resources":{"requests":{"cpu":"1","memory":"1G"}}}]}}"""
        .formatted(restartPolicy);
  }

  private static String jobManifest(boolean suspended) {
    return """
        {"apiVersion":"batch/v1","kind":"Job","metadata":{"name":"scan"},
        "spec":{"suspend":%s,"completions":2,"parallelism":2,"template":%s}}"""
        .formatted(suspended, podTemplate("Never"));
  }

  private static String deploymentManifest(int replicas) {
    return """
        {"apiVersion":"apps/v1","kind":"Deployment","metadata":{"name":"scan"},
        "spec":{"replicas":%d,"selector":{"matchLabels":{"app":"scan"}},"template":%s}}"""
        .formatted(replicas, podTemplate("Always"));
  }

  private void startFault(Fault fault) {
    if (fault == Fault.REPLIES_LOST) {
      simulation.stateService().lostReplyShare().put("c0", 1.0);
    } else {
      simulation.stateService().lateTransactionSeconds().put("c0", LATE_SECONDS);
    }
  }

  private void endFaults() {
    simulation.stateService().lostReplyShare().clear();
    simulation.stateService().lateTransactionSeconds().clear();
  }

  private void awaitStored(String path) {
    simulation.runUntil(LATE_SECONDS + 5, () -> client.get("c1", path).status() == 200);
  }

  private int activeTaskCount() {
    return simulation.cloud().workers().values().stream()
        .mapToInt(FakeWorker::activeTaskCount)
        .sum();
  }

  /** Checks that nothing runs once the time for a cancellation is over, or starts after it. */
  private void assertNothingRunsAfterDeletion(String path) {
    simulation.runFor(simulation.workerSettings().cancelTimeoutSeconds());
    final int launchesBefore = launchCount();
    assertEquals(0, activeTaskCount());
    simulation.runFor(30);
    assertEquals(0, activeTaskCount());
    assertEquals(launchesBefore, launchCount());
    assertEquals(404, client.get("c2", path).status());
    assertEquals(Set.of(), simulation.stateService().keysWithPrefix("k8s/"));
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void jobDeletedWhileItsCreationIsUndecidedStartsNothing(Fault fault) {
    // Guards against the removal of the last row by which the native job could be cancelled
    // (review, case 3).
    start();
    startFault(fault);
    final Supplier<Reply> creation =
        client.sendWithoutWaiting("c0", "POST", JOBS, jobManifest(false));
    awaitStored(JOBS + "/scan");
    assertEquals(200, client.send("c1", "DELETE", JOBS + "/scan", null).status());
    simulation.runFor(3);
    endFaults();
    simulation.runUntil(LATE_SECONDS + 20, () -> creation.get() != null);
    assertEquals(201, creation.get().status(), "the creation was applied");
    assertNothingRunsAfterDeletion(JOBS + "/scan");
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void jobDeletedWhileItsOwnerIsReplacedStartsNothing(Fault fault) {
    // Guards against a native job that the next owner finds without the row of its deleted object.
    start();
    startFault(fault);
    client.sendWithoutWaiting("c0", "POST", JOBS, jobManifest(false));
    awaitStored(JOBS + "/scan");
    assertEquals(200, client.send("c1", "DELETE", JOBS + "/scan", null).status());
    simulation.runFor(1);
    simulation.killController("c0");
    endFaults();
    simulation.runFor(20);
    simulation.startController("c0");
    assertNothingRunsAfterDeletion(JOBS + "/scan");
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void jobDeletedInTheForegroundWhileItsCreationIsUndecidedStartsNothing(Fault fault) {
    // Guards against an object that is gone before its undecided native job is known to be.
    start();
    startFault(fault);
    client.sendWithoutWaiting("c0", "POST", JOBS, jobManifest(false));
    awaitStored(JOBS + "/scan");
    String foreground = JOBS + "/scan?propagationPolicy=Foreground";
    assertEquals(200, client.send("c1", "DELETE", foreground, null).status());
    simulation.runFor(3);
    endFaults();
    simulation.runUntil(60, () -> client.get("c1", JOBS + "/scan").status() == 404);
    assertNothingRunsAfterDeletion(JOBS + "/scan");
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void resumedJobDeletedWhileItsSubmissionIsUndecidedStartsNothing(Fault fault) {
    // Guards against a submission by the reconciler that is applied after the deletion.
    start();
    assertEquals(201, client.send("c0", "POST", JOBS, jobManifest(true)).status());
    startFault(fault);
    assertEquals(200, client.send("c1", "PUT", JOBS + "/scan", jobManifest(false)).status());
    simulation.runFor(1.5);
    assertEquals(200, client.send("c1", "DELETE", JOBS + "/scan", null).status());
    simulation.runFor(3);
    endFaults();
    assertNothingRunsAfterDeletion(JOBS + "/scan");
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void deploymentDeletedWhileItsReplicasAreUndecidedStartsNothing(Fault fault) {
    // Guards against replicas that are stored after their Deployment was deleted.
    start();
    assertEquals(201, client.send("c0", "POST", DEPLOYMENTS, deploymentManifest(3)).status());
    startFault(fault);
    simulation.runFor(1.5);
    assertEquals(200, client.send("c1", "DELETE", DEPLOYMENTS + "/scan", null).status());
    simulation.runFor(3);
    endFaults();
    assertNothingRunsAfterDeletion(DEPLOYMENTS + "/scan");
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void deploymentScaledDownWhileItsReplicasAreUndecidedStartsNothing(Fault fault) {
    // Guards against replicas that are stored after they were no longer wanted.
    start();
    assertEquals(201, client.send("c0", "POST", DEPLOYMENTS, deploymentManifest(3)).status());
    startFault(fault);
    simulation.runFor(1.5);
    Reply scaled = client.send("c1", "PUT", DEPLOYMENTS + "/scan", deploymentManifest(0));
    assertEquals(200, scaled.status());
    simulation.runFor(3);
    endFaults();
    simulation.runFor(simulation.workerSettings().cancelTimeoutSeconds());
    assertEquals(0, activeTaskCount());
    assertEquals(200, client.send("c2", "DELETE", DEPLOYMENTS + "/scan", null).status());
    assertNothingRunsAfterDeletion(DEPLOYMENTS + "/scan");
  }

  /**
   * Sends a request to c1, whose transaction is carried out while its reply is lost, so that c1
   * tries once more. All further replies to transactions of c1 are lost, too.
   */
  private Supplier<Reply> sendWithLostReply(String method, String path, String body) {
    simulation.stateService().lostReplyShare().put("c1", 1.0);
    Supplier<Reply> reply = client.sendWithoutWaiting("c1", method, path, body);
    simulation.runFor(0.2);
    return reply;
  }

  private String uidOf(String path) {
    return client.get("c2", path).body().at("/metadata/uid").asText();
  }

  @Test
  void repeatedDeletionLeavesNewObjectOfTheSameNameAlone() {
    // Guards against a retry that reads by name and deletes the object of another client.
    start();
    assertEquals(201, client.send("c0", "POST", JOBS, jobManifest(false)).status());
    simulation.runUntil(40, () -> activeTaskCount() == 2);
    final Supplier<Reply> deletion = sendWithLostReply("DELETE", JOBS + "/scan", "");
    assertEquals(404, client.get("c2", JOBS + "/scan").status());
    assertEquals(201, client.send("c2", "POST", JOBS, jobManifest(false)).status());
    final String newUid = uidOf(JOBS + "/scan");
    endFaults();
    simulation.runUntil(10, () -> deletion.get() != null);
    assertEquals(200, deletion.get().status());
    simulation.runFor(20);
    assertEquals(newUid, uidOf(JOBS + "/scan"));
    assertEquals(2, activeTaskCount());
  }

  @Test
  void repeatedUpdateLeavesNewObjectOfTheSameNameAlone() {
    // Guards against a retry that reads by name and changes the object of another client.
    start();
    assertEquals(201, client.send("c0", "POST", DEPLOYMENTS, deploymentManifest(1)).status());
    simulation.runFor(3);
    final Supplier<Reply> update =
        sendWithLostReply("PUT", DEPLOYMENTS + "/scan", deploymentManifest(3));
    assertEquals(200, client.send("c2", "DELETE", DEPLOYMENTS + "/scan", null).status());
    assertEquals(201, client.send("c2", "POST", DEPLOYMENTS, deploymentManifest(1)).status());
    endFaults();
    simulation.runUntil(10, () -> update.get() != null);
    assertEquals(409, update.get().status());
    simulation.runFor(20);
    assertEquals(1, client.get("c2", DEPLOYMENTS + "/scan").body().at("/spec/replicas").asInt());
  }

  @Test
  void repeatedForegroundDeletionWithResourceVersionIsNoConflict() {
    // Guards against a deletion that is refused for the version that its own mark has made.
    start();
    assertEquals(201, client.send("c0", "POST", JOBS, jobManifest(true)).status());
    simulation.runFor(3);
    String version =
        client.get("c2", JOBS + "/scan").body().at("/metadata/resourceVersion").asText();
    simulation.stateService().lateTransactionSeconds().put("c0", 30.0);
    Supplier<Reply> deletion =
        sendWithLostReply(
            "DELETE",
            JOBS + "/scan",
            "{\"propagationPolicy\":\"Foreground\",\"preconditions\":{\"resourceVersion\":\""
                + version
                + "\"}}");
    simulation.stateService().lostReplyShare().clear();
    simulation.runUntil(10, () -> deletion.get() != null);
    assertEquals(200, deletion.get().status());
    endFaults();
  }

  @Test
  void creationOfDeletedNameIsPossibleAgain() {
    // Guards against a name that stays taken by an object whose creation was undecided.
    start();
    startFault(Fault.REPLIES_LOST);
    client.sendWithoutWaiting("c0", "POST", JOBS, jobManifest(false));
    awaitStored(JOBS + "/scan");
    assertEquals(200, client.send("c1", "DELETE", JOBS + "/scan", null).status());
    endFaults();
    simulation.runFor(10);
    assertEquals(201, client.send("c1", "POST", JOBS, jobManifest(false)).status());
    simulation.runUntil(40, () -> activeTaskCount() == 2);
  }
}
