package org.gradeledge.request;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.gradeledge.admission.AccountLimiter;
import org.gradeledge.admission.AdmissionPolicy;
import org.gradeledge.admission.PipelineLimits;
import org.gradeledge.configuration.AccountDefinition;
import org.gradeledge.configuration.PipelineFile;
import org.gradeledge.time.MonotonicClock;

/**
 * The limits of all pipelines and client accounts of a box, kept over versions. Thread-safe.
 *
 * @since 0.1
 */
public final class RequestLimits {

  private record AccountKey(String pipeline, String account) {}

  private final Map<String, PipelineLimits> pipelines = new ConcurrentHashMap<>();
  private final Map<AccountKey, AccountLimiter> accounts = new ConcurrentHashMap<>();
  private final AdmissionPolicy policy;
  private final int requestsPerAccount;
  private final MonotonicClock clock;

  /** Creates empty limits; an account may have {@code requestsPerAccount} at a time. */
  public RequestLimits(AdmissionPolicy policy, int requestsPerAccount, MonotonicClock clock) {
    this.policy = policy;
    this.requestsPerAccount = requestsPerAccount;
    this.clock = clock;
  }

  /** Takes over the limits of a version that comes into force; drops accounts it no longer has. */
  public void update(PipelineFile file) {
    limitsOf(file).update(file);
    accounts
        .keySet()
        .removeIf(
            key ->
                key.pipeline().equals(file.pipeline())
                    && file.accounts().stream()
                        .noneMatch(account -> account.name().equals(key.account())));
  }

  PipelineLimits limitsOf(PipelineFile file) {
    return pipelines.computeIfAbsent(file.pipeline(), name -> new PipelineLimits(policy, clock));
  }

  AccountLimiter limiterOf(PipelineFile file, AccountDefinition account) {
    return accounts.computeIfAbsent(
        new AccountKey(file.pipeline(), account.name()),
        key -> new AccountLimiter(account, requestsPerAccount, clock));
  }
}
