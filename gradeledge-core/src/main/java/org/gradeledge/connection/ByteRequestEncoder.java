package org.gradeledge.connection;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Writes the target of a request with one byte for each character, as the server's decoder reads
 * it. The superclass encodes it as UTF-8, which changes targets with bytes outside ASCII.
 */
final class ByteRequestEncoder extends HttpRequestEncoder {

  @Override
  protected void encodeInitialLine(ByteBuf buffer, HttpRequest request) {
    buffer.writeCharSequence(request.method().name(), StandardCharsets.US_ASCII);
    buffer.writeByte(' ');
    buffer.writeCharSequence(request.uri(), StandardCharsets.ISO_8859_1);
    buffer.writeByte(' ');
    buffer.writeCharSequence(request.protocolVersion().text(), StandardCharsets.US_ASCII);
    buffer.writeCharSequence("\r\n", StandardCharsets.US_ASCII);
  }
}
