package io.violetrail.tracing;

import io.violetrail.model.JobId;
import io.violetrail.model.JobView.JobStatus;
import io.violetrail.model.MachineId;

/**
 * Records a job's way from the request to its end, at one controller. Called on the event loop's
 * thread; nothing recorded survives a restart.
 */
public interface JobTracer {
  /** Records nothing. */
  JobTracer NO_OP =
      new JobTracer() {
        @Override
        public void submissionStarted(JobId id) {}

        @Override
        public void submissionDecided(JobId id, String verdict) {}

        @Override
        public void taskLaunched(JobId id, MachineId machine) {}

        @Override
        public void jobEnded(JobId id, JobStatus status) {}

        @Override
        public String finishedSpansAsJsonLines() {
          return "";
        }

        @Override
        public boolean isEnabled() {
          return false;
        }
      };

  /** A request to take the job begins to be decided. */
  void submissionStarted(JobId id);

  /** It is decided, and stored if it was accepted. */
  void submissionDecided(JobId id, String verdict);

  /** The command to launch one of its tasks leaves; only the first one counts. */
  void taskLaunched(JobId id, MachineId machine);

  /** Its end is stored. */
  void jobEnded(JobId id, JobStatus status);

  /** The newest finished spans, one JSON object a line; empty if there are none. */
  String finishedSpansAsJsonLines();

  /** Whether anything is recorded at all. */
  default boolean isEnabled() {
    return true;
  }
}
