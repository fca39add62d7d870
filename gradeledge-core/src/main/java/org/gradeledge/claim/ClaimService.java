package org.gradeledge.claim;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.gradeledge.document.JsonMappers;
import org.gradeledge.platform.CommitResult;
import org.gradeledge.platform.PlatformException;
import org.gradeledge.platform.TableRow;
import org.gradeledge.platform.TableService;
import org.gradeledge.platform.TableTransaction;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;
import reactor.core.publisher.Mono;
import reactor.util.retry.Retry;

/**
 * Lets one request at most run for each idempotency key.
 *
 * <p>The claim's row is in the table before anything is dispatched. A claim whose write got no
 * answer is read back by its writer id. Rows outlive their box: whoever asks again learns the
 * recorded answer, or that the request may have run. Thread-safe.
 *
 * @since 0.1
 */
public final class ClaimService {

  private static final int READ_BACK_RETRIES = 3;
  private static final Duration READ_BACK_INTERVAL = Duration.ofMillis(100);

  private final GroupCommit groupCommit;
  private final TableService table;
  private final Clock wallClock;

  /** Creates the service. */
  public ClaimService(GroupCommit groupCommit, TableService table, Clock wallClock) {
    this.groupCommit = groupCommit;
    this.table = table;
    this.wallClock = wallClock;
  }

  /**
   * Tries to claim a key. Fails with {@link RefusalException} "not run" where the table cannot say
   * who holds it.
   *
   * @param retention how long the row is to be kept
   */
  public Mono<ClaimOutcome> claim(ClaimKey key, String bodyDigest, Duration retention) {
    return Mono.defer(
        () -> {
          ClaimRecord record =
              new ClaimRecord(
                  UUID.randomUUID().toString(),
                  bodyDigest,
                  wallClock.millis() + retention.toMillis(),
                  Optional.empty());
          return write(key, record, TableRow.ABSENT);
        });
  }

  /** Records the answer, so that whoever asks again under the key gets it. */
  public Mono<Void> complete(Claim claim, JsonNode answer) {
    String value = encode(claim.record().completed(answer));
    return groupCommit
        .commit(
            TableTransaction.builder()
                .require(claim.key().rowKey(), claim.revision())
                .put(claim.key().rowKey(), value)
                .build())
        .then();
  }

  /** Gives up a claim under which nothing ran, so that the key may be used again. */
  public Mono<Void> release(Claim claim) {
    return groupCommit
        .commit(
            TableTransaction.builder()
                .require(claim.key().rowKey(), claim.revision())
                .delete(claim.key().rowKey())
                .build())
        .then();
  }

  private Mono<ClaimOutcome> write(ClaimKey key, ClaimRecord record, long replacedRevision) {
    TableTransaction transaction =
        TableTransaction.builder()
            .require(key.rowKey(), replacedRevision)
            .put(key.rowKey(), encode(record))
            .build();
    return groupCommit
        .commit(transaction)
        .flatMap(result -> outcomeOfCommit(key, record, result))
        .onErrorResume(PlatformException.class, e -> readBack(key, record))
        .onErrorMap(e -> !(e instanceof RefusalException), ClaimService::unavailable);
  }

  private Mono<ClaimOutcome> outcomeOfCommit(
      ClaimKey key, ClaimRecord record, CommitResult result) {
    return result.committed()
        ? Mono.just(new ClaimOutcome.Acquired(new Claim(key, record, result.revision())))
        : readBack(key, record);
  }

  private Mono<ClaimOutcome> readBack(ClaimKey key, ClaimRecord record) {
    return table
        .read(List.of(key.rowKey()))
        .retryWhen(Retry.fixedDelay(READ_BACK_RETRIES, READ_BACK_INTERVAL))
        .flatMap(
            rows ->
                rows.isEmpty()
                    ? Mono.error(unavailable(new PlatformException("claim was not written", null)))
                    : outcomeOfRow(key, record, rows.get(0)));
  }

  private Mono<ClaimOutcome> outcomeOfRow(ClaimKey key, ClaimRecord own, TableRow row) {
    ClaimRecord found = decode(row.value());
    if (found.writer().equals(own.writer())) {
      return Mono.just(new ClaimOutcome.Acquired(new Claim(key, own, row.revision())));
    }
    if (found.expiresAtMillis() < wallClock.millis()) {
      return write(key, own, row.revision());
    }
    if (!found.bodyDigest().equals(own.bodyDigest())) {
      return Mono.just(new ClaimOutcome.BodyMismatch());
    }
    return Mono.just(
        found
            .result()
            .filter(JsonNode::isObject)
            .<ClaimOutcome>map(ClaimOutcome.Answered::new)
            .orElseGet(ClaimOutcome.InUse::new));
  }

  private static RefusalException unavailable(Throwable cause) {
    return RefusalException.forReason(RefusalReason.TABLE_UNAVAILABLE)
        .detail("the platform's table cannot say who holds the idempotency key")
        .cause(cause)
        .build();
  }

  private static String encode(ClaimRecord record) {
    try {
      return JsonMappers.json().writeValueAsString(record);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a claim can always be written", e);
    }
  }

  private static ClaimRecord decode(String value) {
    try {
      return JsonMappers.json().readValue(value, ClaimRecord.class);
    } catch (JsonProcessingException e) {
      throw new PlatformException("a claim's row must hold a claim", e);
    }
  }
}
