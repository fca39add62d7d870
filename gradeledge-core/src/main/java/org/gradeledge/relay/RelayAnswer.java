package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import reactor.core.publisher.Flux;

/**
 * An HTTP answer to a caller.
 *
 * @param status status code
 * @param headers headers
 * @param body body; an error closes the connection
 * @param streaming whether each part is flushed at once
 */
record RelayAnswer(int status, HttpHeaders headers, Flux<ByteBuf> body, boolean streaming) {}
