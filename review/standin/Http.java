import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
  /** The first line and the headers of a message; header names are in lower case. */
  record Head(String line, Map<String, String> headers) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    int status() {
      return Integer.parseInt(line.split(" ")[1]);
    }

    long length() {
      String text = header("content-length");
      return text.isEmpty() ? -1 : Long.parseLong(text);
    }
  }

  /**
   * An answer as a client received it.
   *
   * @param whole whether its body has the announced length or its last chunk
   */
  record Answer(Head head, byte[] body, boolean whole) {
    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  private Http() {}

  /** Reads a head; null if the connection ended before its first byte. */
  static Head readHead(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String each = readLine(in); each == null || !each.isEmpty(); each = readLine(in)) {
      if (each == null) {
        throw new EOFException("the head is not whole");
      }
      int colon = each.indexOf(':');
      headers.put(
          each.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          each.substring(colon + 1).trim());
    }
    return new Head(line, headers);
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("a line is not whole");
      }
      line.write(next);
    }
    String text = line.toString(StandardCharsets.ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }

  /** Reads an answer; null if the connection ended before it. */
  static Answer readAnswer(InputStream in) throws IOException {
    Head head = readHead(in);
    if (head == null) {
      return null;
    }
    if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      return readChunked(head, in);
    }
    if (head.length() < 0) {
      return new Answer(head, in.readAllBytes(), true);
    }
    byte[] body = in.readNBytes((int) head.length());
    return new Answer(head, body, body.length == head.length());
  }

  private static Answer readChunked(Head head, InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      String size;
      try {
        size = readLine(in);
      } catch (IOException cut) {
        size = null;
      }
      if (size == null) {
        return new Answer(head, body.toByteArray(), false);
      }
      int length = Integer.parseInt(size.trim(), 16);
      byte[] part = in.readNBytes(length);
      body.write(part);
      if (part.length < length) {
        return new Answer(head, body.toByteArray(), false);
      }
      readLine(in);
      if (length == 0) {
        return new Answer(head, body.toByteArray(), true);
      }
    }
  }
}
