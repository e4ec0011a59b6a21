package io.violetrail.worker;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.violetrail.evidence.EvidenceLog;
import io.violetrail.evidence.ReplyKind;
import io.violetrail.model.MachineId;
import io.violetrail.model.Version;
import io.violetrail.net.Loop;
import io.violetrail.wire.HeartbeatMessages.WorkerReport;

/**
 * The newest report of each worker that was heard here, of whichever entity, and how it was
 * answered last.
 *
 * <p>The network may bring a copy of an older report at any later time; nothing follows from that,
 * not even that its worker is there: a copy took the place of a report whose answer was kept open,
 * and marked machines as heard that had been silent for long.
 */
public final class WorkerContacts {
  /** Twice as many as the machines of a large deployment; one that is forgotten is heard anew. */
  private static final int MOST = 8_000;

  /** Without a report for so many intervals the worker was elsewhere meanwhile. */
  private static final double AWAY_INTERVALS = 3;

  /** One worker, as far as this controller has heard it. */
  static final class Contact {
    private long session;
    private long sequence;
    private Version seen = Version.NONE;
    private ReplyKind kind;
    private Version token = Version.NONE;
    private double sinceS;
    private double repliedS;
  }

  private final Loop loop;
  private final EvidenceLog evidence;
  private final double awayS;
  private final Cache<MachineId, Contact> contacts =
      CacheBuilder.newBuilder().maximumSize(MOST).build();

  /** Counts and logs replies in the evidence log. */
  public WorkerContacts(Loop loop, EvidenceLog evidence, double reportS) {
    this.loop = loop;
    this.evidence = evidence;
    this.awayS = AWAY_INTERVALS * reportS + 1;
  }

  /** The worker's contact if this report is newer than all before it; null if it is not. */
  Contact take(WorkerReport report) {
    Contact contact = contacts.getIfPresent(report.machine());
    if (contact == null) {
      contact = new Contact();
      contacts.put(report.machine(), contact);
    } else if (!report.newerThan(contact.session, contact.sequence)) {
      return null;
    }
    contact.session = report.session();
    contact.sequence = report.sequence();
    contact.seen = report.token();
    return contact;
  }

  /** Counts a reply, and logs it where the worker was answered otherwise before. */
  void replied(MachineId worker, Contact contact, HeartbeatReply reply) {
    evidence.replied(reply.kind());
    double now = loop.seconds();
    boolean same = contact.kind == reply.kind() && contact.token.equals(reply.token());
    if (!same || now - contact.repliedS > awayS) {
      evidence.replyChanged(
          worker, contact.session, contact.seen, reply.kind(), reply.token(), before(contact, now));
      contact.kind = reply.kind();
      contact.token = reply.token();
      contact.sinceS = now;
    }
    contact.repliedS = now;
  }

  private static String before(Contact contact, double now) {
    return contact.kind == null
        ? "none"
        : "%s,token:%s,for_s:%.1f,last_s_ago:%.1f"
            .formatted(
                contact.kind,
                contact.token,
                contact.repliedS - contact.sinceS,
                now - contact.repliedS);
  }
}
