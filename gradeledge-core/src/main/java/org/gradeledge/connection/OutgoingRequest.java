package org.gradeledge.connection;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;

/**
 * A request to an upstream.
 *
 * @param method its method
 * @param uri path and query, unchanged
 * @param headers its headers without those of one connection
 * @param body its whole body
 * @param correlationHeader what the answer must carry to be the answer of this request
 * @param reuse which kept connections may carry it
 * @since 0.2
 */
public record OutgoingRequest(
    HttpMethod method,
    String uri,
    HttpHeaders headers,
    byte[] body,
    Optional<CorrelationHeader> correlationHeader,
    ConnectionReuse reuse) {}
