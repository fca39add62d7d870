package org.gradeledge.request;

import java.time.Duration;
import org.gradeledge.configuration.AccountDefinition;
import org.gradeledge.configuration.PipelineFile;
import org.gradeledge.configuration.PipelineVersion;
import org.gradeledge.configuration.TextDigest;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;

/**
 * Validates caller requests against the pipeline file. Each method throws a {@link
 * RefusalException} with the verdict "not run" if the request is invalid.
 */
abstract class RequestValidator {

  private RequestValidator() {}

  /**
   * Returns the account with the caller's token. Compares all accounts in constant time, so that
   * the response time does not reveal valid tokens.
   */
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

  /** Returns the requested deadline, or the account's if none was requested. */
  static Duration resolveDeadline(AccountDefinition account, CallerRequest request) {
    long deadlineMs = request.deadlineMs().orElse(account.deadlineMs());
    if (deadlineMs < 1 || deadlineMs > account.deadlineMs()) {
      throw RefusalException.forReason(RefusalReason.DEADLINE_INVALID)
          .detail("the deadline must be from 1 to " + account.deadlineMs() + " ms")
          .build();
    }
    return Duration.ofMillis(deadlineMs);
  }

  /** Requires an idempotency key if a stage of the pipeline must not run twice. */
  static void requireIdempotencyKey(PipelineFile file, CallerRequest request) {
    if (file.runsAtMostOnce() && request.idempotencyKey().isEmpty()) {
      throw RefusalException.forReason(RefusalReason.IDEMPOTENCY_KEY_MISSING)
          .detail("a stage of this pipeline runs at most once: Idempotency-Key must be given")
          .build();
    }
  }
}
