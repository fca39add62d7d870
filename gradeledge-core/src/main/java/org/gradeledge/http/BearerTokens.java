package org.gradeledge.http;

import org.gradeledge.configuration.TextDigest;
import org.gradeledge.verdict.RefusalException;
import org.gradeledge.verdict.RefusalReason;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Takes bearer tokens (RFC 6750) out of requests; only their digests go any further.
 *
 * @since 0.1
 */
public abstract class BearerTokens {

  private static final String SCHEME = "Bearer ";

  private BearerTokens() {}

  /** Returns the SHA-256 digest of the request's token, or refuses. */
  public static String requireTokenDigest(HttpServerRequest request) {
    String header = request.requestHeaders().get("Authorization");
    if (header == null || !header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      throw RefusalException.forReason(RefusalReason.TOKEN_UNKNOWN)
          .detail("Authorization must be given as a bearer token")
          .build();
    }
    return TextDigest.sha256(header.substring(SCHEME.length()).strip());
  }
}
