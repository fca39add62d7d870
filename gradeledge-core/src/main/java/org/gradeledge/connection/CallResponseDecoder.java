package org.gradeledge.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * Decodes the responses on a connection that carries one call at a time. Data that arrives while no
 * call is in flight is dropped before it is decoded, since an incomplete head would stay in the
 * decoder and become part of the next response. Confined to the event loop.
 */
final class CallResponseDecoder extends HttpResponseDecoder {

  private static final int MAX_INITIAL_LINE_BYTES = 8 * 1024;
  private static final int MAX_HEADER_BYTES = 64 * 1024;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;

  /** The calls on the connection. */
  interface Calls {

    /** Returns the request of the call in flight. */
    Optional<OutgoingRequest> requestInFlight();

    /**
     * Called with data that arrives while no call is in flight, or in one read after a response.
     */
    void onIdleData(ByteBuf data);
  }

  private final Calls calls;

  CallResponseDecoder(Calls calls) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES));
    this.calls = calls;
  }

  /** Returns what was received after the last decoded message. */
  String undecoded() {
    return internalBuffer().toString(StandardCharsets.ISO_8859_1);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    if (calls.requestInFlight().isPresent()) {
      super.decode(context, in, out);
      return;
    }
    calls.onIdleData(in);
    in.skipBytes(in.readableBytes());
  }

  /** Fails for a status that is none, which the superclass may read as another one. */
  private static void checkStatus(String status) {
    if (!StatusCode.isValid(status)) {
      throw new IllegalArgumentException("invalid status: " + status);
    }
  }

  /**
   * Decodes responses of HTTP/1.0 by the rules of HTTP/1.1, which refuse several lengths. They end
   * their connection.
   */
  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    checkStatus(initialLine[1]);
    HttpMessage message = super.createMessage(initialLine);
    if (HttpVersion.HTTP_1_0.equals(message.protocolVersion())) {
      message.setProtocolVersion(HttpVersion.HTTP_1_1);
      HttpUtil.setKeepAlive(message, false);
    }
    return message;
  }

  /**
   * Responses to HEAD requests have no body; those to other calls on the connection may have. The
   * superclass removes the transfer coding of a message without a body, so it is checked here.
   */
  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    ResponseHeadValidator.findImpossibleBody((HttpResponse) message)
        .map(defect -> DecoderResult.failure(new IllegalArgumentException(defect)))
        .ifPresent(message::setDecoderResult);
    return super.isContentAlwaysEmpty(message)
        || calls
            .requestInFlight()
            .filter(request -> request.method().equals(HttpMethod.HEAD))
            .filter(request -> request.isAnsweredBy((HttpResponse) message))
            .isPresent();
  }
}
