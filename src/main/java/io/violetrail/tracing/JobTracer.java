package io.violetrail.tracing;

import io.violetrail.model.JobId;
import io.violetrail.model.JobView.JobStatus;
import io.violetrail.model.MachineId;

/**
 * Traces a job from its submission to its end, at one controller. Called on the event loop's
 * thread; no trace survives a restart.
 */
public interface JobTracer {
  /** A tracer that records nothing. */
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

  /** Records that the controller has begun to decide on a submission of the job. */
  void submissionStarted(JobId id);

  /** Records the decision on the submission. If it accepts the job, the job has been stored. */
  void submissionDecided(JobId id, String verdict);

  /**
   * Records that the command to launch one of the job's tasks is sent; only the first call for a
   * job counts.
   */
  void taskLaunched(JobId id, MachineId machine);

  /** Records that the job's end is stored. */
  void jobEnded(JobId id, JobStatus status);

  /** Returns the newest finished spans, one JSON object per line; empty if there are none. */
  String finishedSpansAsJsonLines();

  /** Returns whether this tracer records anything. */
  default boolean isEnabled() {
    return true;
  }
}
