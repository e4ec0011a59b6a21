package io.violetrail.tracing;

import io.violetrail.model.JobId;
import io.violetrail.model.JobView.JobStatus;
import io.violetrail.model.MachineId;

/** What is noted of a job on its way from the request to its end, at one controller. */
public interface JobTracer {
  /** Notes nothing. */
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
          return null;
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

  /** The newest spans that are over, a JSON object a line; null if none are noted at all. */
  String finishedSpansAsJsonLines();
}
