package io.violetrail.fakes;

import io.violetrail.net.HttpClient;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The messages that one worker has sent and received, so that copies of them can arrive again. Off
 * in runs with very many messages.
 */
final class WorkerMessageLog {
  /** A report, with the time and session in which it was sent. */
  record SentReport(byte[] body, double sentAtSeconds, long session) {}

  /** A reply to a report. */
  record ReceivedReply(HttpClient.ClientResponse reply, SentReport report) {}

  private final List<SentReport> reports = new ArrayList<>();
  private final List<ReceivedReply> replies = new ArrayList<>();
  private final List<byte[]> directCommands = new ArrayList<>();
  private boolean recording = true;

  void setRecording(boolean newRecording) {
    recording = newRecording;
  }

  void addReport(SentReport report) {
    if (recording) {
      reports.add(report);
    }
  }

  void addReply(HttpClient.ClientResponse reply, SentReport report) {
    if (recording) {
      replies.add(new ReceivedReply(reply, report));
    }
  }

  void addDirectCommands(byte[] body) {
    if (recording) {
      directCommands.add(body);
    }
  }

  List<SentReport> reports() {
    return reports;
  }

  List<ReceivedReply> replies() {
    return replies;
  }

  List<byte[]> directCommands() {
    return directCommands;
  }

  /** Returns the index of the latest reply with a launch. */
  int indexOfLatestLaunch() {
    int index = replies.size() - 1;
    while (countLaunches(replies.get(index).reply()) == 0) {
      index--;
    }
    return index;
  }

  static int countLaunches(HttpClient.ClientResponse reply) {
    return reply.body() == null
        ? 0
        : new String(reply.body(), StandardCharsets.ISO_8859_1).split("launch", -1).length - 1;
  }
}
