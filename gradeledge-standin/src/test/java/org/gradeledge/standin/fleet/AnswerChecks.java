package org.gradeledge.standin.fleet;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiPredicate;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Checks the answers that callers got against the runs that engines recorded. */
final class AnswerChecks {

  private static final int MIN_SUCCESS = 200;
  private static final int MAX_SUCCESS = 299;

  private final Map<String, EngineRun> runsBySignature;

  AnswerChecks(Collection<EngineRun> runs) {
    this.runsBySignature =
        runs.stream().collect(Collectors.toMap(EngineRun::signature, Function.identity()));
  }

  /** Returns the answers that are not those of a run of their request. */
  List<String> findViolations(Collection<ReceivedAnswer> answers) {
    return answers.stream()
        .flatMap(
            answer ->
                violation(answer).map(text -> (text + ": " + answer).replace("\n", "\\n")).stream())
        .toList();
  }

  private Optional<String> violation(ReceivedAnswer answer) {
    if (answer.answeredIds().stream().anyMatch(id -> !id.equals(answer.requestId()))) {
      return Optional.of("answer bears the id of another request");
    }
    if (isSuccess(answer) && answer.signatures().size() != 1) {
      return Optional.of("success does not bear one signature");
    }
    return answer.signatures().stream()
        .flatMap(signature -> violation(answer, signature).stream())
        .findFirst();
  }

  private Optional<String> violation(ReceivedAnswer answer, String signature) {
    EngineRun run = runsBySignature.get(signature);
    if (run == null) {
      return Optional.of("no run has the signature");
    }
    if (!run.path().equals(answer.path()) || !run.requestId().equals(answer.requestId())) {
      return Optional.of("signature of another request, " + run);
    }
    BiPredicate<EngineRun, ReceivedAnswer> complete =
        answer.resumable() && isSuccess(answer)
            ? AnswerChecks::hasStatusOfHead
            : AnswerChecks::isWholeAnswer;
    return complete.test(run, answer)
        ? Optional.empty()
        : Optional.of("signature of a run that was answered otherwise, " + run);
  }

  private static boolean hasStatusOfHead(EngineRun run, ReceivedAnswer answer) {
    return run.headStatus().filter(status -> status == answer.status()).isPresent();
  }

  private static boolean isWholeAnswer(EngineRun run, ReceivedAnswer answer) {
    return run.answeredStatus().filter(status -> status == answer.status()).isPresent()
        && run.body().equals(answer.body());
  }

  private static boolean isSuccess(ReceivedAnswer answer) {
    return answer.status() >= MIN_SUCCESS && answer.status() <= MAX_SUCCESS;
  }
}
