package io.violetrail.kubernetes;

import io.violetrail.errors.RequestFailedException;
import io.violetrail.wire.kubernetes.FieldError;
import io.violetrail.wire.kubernetes.FieldError.Cause;
import io.violetrail.wire.kubernetes.KubernetesStatus;
import java.util.List;

/** Error answers that several requests for stored objects share. */
final class ObjectErrors {
  private ObjectErrors() {}

  /** Returns the answer for a failed request to the state service; 429 if it was rate limited. */
  static KubernetesStatus stateUnavailable(Throwable failure) {
    return RequestFailedException.from(failure).isRateLimited()
        ? KubernetesStatus.tooManyRequests("too many requests at once; retry later")
        : KubernetesStatus.unavailable("the state service did not answer");
  }

  /** Returns the answer for an object whose native job the job admission finds impossible. */
  static KubernetesStatus impossibleJob(KubernetesObject object, String reason) {
    return KubernetesStatus.invalid(
        object.reference().displayName(),
        List.of(
            new FieldError("spec.template.spec", Cause.INVALID, "the job cannot run: " + reason)));
  }

  static KubernetesStatus objectTooLarge() {
    return KubernetesStatus.tooLarge("the object is too large to be stored");
  }
}
