package org.gradeledge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import reactor.core.publisher.Flux;

/**
 * An answer as it is written to a caller.
 *
 * @param status status code
 * @param headers its headers
 * @param body its body; an error breaks the connection off
 * @param streaming whether each part is written at once
 */
record RelayAnswer(int status, HttpHeaders headers, Flux<ByteBuf> body, boolean streaming) {}
