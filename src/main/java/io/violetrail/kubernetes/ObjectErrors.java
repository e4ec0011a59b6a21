package io.violetrail.kubernetes;

import io.violetrail.errors.RequestFailedException;
import io.violetrail.wire.kubernetes.FieldError;
import io.violetrail.wire.kubernetes.FieldError.Cause;
import io.violetrail.wire.kubernetes.KubernetesStatus;
import java.util.List;

/** The answers to failures that several requests about kept objects share. */
final class ObjectErrors {
  private ObjectErrors() {}

  /** The answer when the state service could not be asked, or has refused for now. */
  static KubernetesStatus stateUnavailable(Throwable failure) {
    return RequestFailedException.from(failure).isRateLimited()
        ? KubernetesStatus.tooManyRequests("too many requests at once")
        : KubernetesStatus.unavailable("the state service does not answer");
  }

  /** The answer for an object whose native job no machine can ever run. */
  static KubernetesStatus neverRuns(KubernetesObject object, String reason) {
    return KubernetesStatus.invalid(
        object.reference().displayName(),
        List.of(
            new FieldError("spec.template.spec", Cause.INVALID, "it can never run: " + reason)));
  }

  static KubernetesStatus rowTooLong() {
    return KubernetesStatus.tooLarge("the object is too long to be kept");
  }
}
