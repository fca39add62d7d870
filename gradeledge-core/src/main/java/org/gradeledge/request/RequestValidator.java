package org.gradeledge.request;

import java.time.Duration;
import org.gradeledge.configuration.AccountDefinition;
import org.gradeledge.configuration.PipelineFile;
import org.gradeledge.configuration.PipelineVersion;
import org.gradeledge.configuration.TextDigest;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;

/** What must hold of a request against the pipeline file; each refuses "not run". */
abstract class RequestValidator {

  private RequestValidator() {}

  /** Returns the account whose token the caller gave; all are compared, in constant time each. */
  static AccountDefinition authenticate(PipelineVersion version, CallerRequest request) {
    AccountDefinition found = null;
    for (AccountDefinition account : version.file().accounts()) {
      if (TextDigest.matches(account.tokenSha256(), request.tokenSha256())) {
        found = account;
      }
    }
    if (found == null) {
      throw RefusalException.forReason(RefusalReason.TOKEN_UNKNOWN)
          .detail("the bearer token must be one of this pipeline's client accounts")
          .build();
    }
    return found;
  }

  /** Returns the deadline asked for, the account's where none is. */
  static Duration resolveDeadline(AccountDefinition account, CallerRequest request) {
    long asked = request.deadlineMs().orElse(account.deadlineMs());
    if (asked < 1 || asked > account.deadlineMs()) {
      throw RefusalException.forReason(RefusalReason.DEADLINE_INVALID)
          .detail("the deadline must be from 1 to " + account.deadlineMs() + " ms")
          .build();
    }
    return Duration.ofMillis(asked);
  }

  /** Requires a key where a stage must not be repeated. */
  static void requireIdempotencyKey(PipelineFile file, CallerRequest request) {
    if (file.runsAtMostOnce() && request.idempotencyKey().isEmpty()) {
      throw RefusalException.forReason(RefusalReason.IDEMPOTENCY_KEY_MISSING)
          .detail("a stage of this pipeline runs at most once: Idempotency-Key must be given")
          .build();
    }
  }
}
