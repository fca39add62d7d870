package org.gradeledge.standin.fleet;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Reads HTTP/1.1 requests from a connection. A path has one character for each byte, and headers
 * are read as UTF-8.
 */
final class RequestReader {

  private final InputStream in;

  RequestReader(InputStream in) {
    this.in = in;
  }

  /** Reads the head of the next request; returns empty if the connection was closed before it. */
  Optional<ReceivedRequest> readHead() throws IOException {
    String requestLine = readLine(StandardCharsets.ISO_8859_1);
    if (requestLine.isEmpty()) {
      return Optional.empty();
    }
    String[] tokens = requestLine.split(" ");
    Map<String, String> headers = new HashMap<>();
    for (String line = readLine(StandardCharsets.UTF_8);
        !line.isEmpty();
        line = readLine(StandardCharsets.UTF_8)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return Optional.of(new ReceivedRequest(tokens[0], tokens[1], headers, ""));
  }

  /** Reads the body that follows a head; returns the whole request. */
  ReceivedRequest readBody(ReceivedRequest head) throws IOException {
    byte[] body =
        in.readNBytes(Integer.parseInt(head.headers().getOrDefault("content-length", "0")));
    String text = new String(body, StandardCharsets.UTF_8);
    return new ReceivedRequest(head.method(), head.path(), head.headers(), text);
  }

  private String readLine(Charset charset) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        if (line.size() > 0) {
          throw new EOFException("connection closed in the middle of a request");
        }
        return "";
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(charset);
  }
}
