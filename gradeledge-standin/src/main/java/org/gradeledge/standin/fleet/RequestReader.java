package org.gradeledge.standin.fleet;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Reads requests off a connection, one after the other. */
final class RequestReader {

  private final InputStream in;

  RequestReader(InputStream in) {
    this.in = in;
  }

  /** Returns the next request, empty where the other side has closed between requests. */
  Optional<ReceivedRequest> readRequest() throws IOException {
    String first = readLine();
    if (first.isEmpty()) {
      return Optional.empty();
    }
    String[] words = first.split(" ");
    Map<String, String> headers = new HashMap<>();
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
    String text = new String(body, StandardCharsets.UTF_8);
    return Optional.of(new ReceivedRequest(words[0], words[1], headers, text));
  }

  private String readLine() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        if (line.size() > 0) {
          throw new EOFException("the request broke off");
        }
        return "";
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.US_ASCII);
  }
}
