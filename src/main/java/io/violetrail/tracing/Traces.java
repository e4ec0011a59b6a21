package io.violetrail.tracing;

import io.violetrail.model.JobId;
import io.violetrail.model.JobView.Status;
import io.violetrail.model.MachineId;

/** What is noted of a job on its way from the request to its end, at one controller. */
public interface Traces {
  /** Notes nothing. */
  Traces NONE =
      new Traces() {
        @Override
        public void asked(JobId id) {}

        @Override
        public void answered(JobId id, String verdict) {}

        @Override
        public void launched(JobId id, MachineId machine) {}

        @Override
        public void ended(JobId id, Status status) {}

        @Override
        public String text() {
          return null;
        }
      };

  /** A request to take the job begins to be decided. */
  void asked(JobId id);

  /** It is decided, and stored if it was accepted. */
  void answered(JobId id, String verdict);

  /** The command to launch one of its tasks leaves; only the first one counts. */
  void launched(JobId id, MachineId machine);

  /** Its end is stored. */
  void ended(JobId id, Status status);

  /** The newest spans that are over, a JSON object a line; null if none are noted at all. */
  String text();
}
