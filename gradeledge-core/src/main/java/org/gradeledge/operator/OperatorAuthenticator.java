package org.gradeledge.operator;

import java.util.List;
import org.gradeledge.configuration.TextDigest;
import org.gradeledge.http.BearerTokens;
import org.gradeledge.settings.OperatorSettings;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;
import reactor.netty.http.server.HttpServerRequest;

/** Tells operators by their bearer tokens, in a time that does not depend on the token. */
final class OperatorAuthenticator {

  private final List<OperatorSettings> operators;

  OperatorAuthenticator(List<OperatorSettings> operators) {
    this.operators = List.copyOf(operators);
  }

  /** Returns the name of the operator who makes a request, or refuses. */
  String authenticate(HttpServerRequest request) {
    String digest = BearerTokens.requireTokenDigest(request);
    String found = "";
    for (OperatorSettings operator : operators) {
      if (TextDigest.matches(operator.tokenSha256(), digest)) {
        found = operator.name();
      }
    }
    if (found.isEmpty()) {
      throw RefusalException.forReason(RefusalReason.TOKEN_UNKNOWN)
          .detail("the bearer token must be an operator's")
          .build();
    }
    return found;
  }
}
