import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads messages of HTTP/1.1 from a stream. */
final class Http {
  final String firstLine;
  final Map<String, String> headers;
  byte[] body = {};

  private Http(String firstLine, Map<String, String> headers) {
    this.firstLine = firstLine;
    this.headers = headers;
  }

  String header(String name) {
    return headers.getOrDefault(name.toLowerCase(), "");
  }

  String path() {
    return firstLine.split(" ")[1];
  }

  int status() {
    return Integer.parseInt(firstLine.split(" ")[1]);
  }

  String text() {
    return new String(body, StandardCharsets.ISO_8859_1);
  }

  /** Returns the head of the next message, or null if the connection has ended. */
  static Http readHead(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
    }
    return new Http(first, headers);
  }

  /** Reads a whole message; the body of an answer without a length ends with its connection. */
  static Http read(InputStream in) throws IOException {
    Http message = readHead(in);
    if (message != null) {
      message.readBody(in);
    }
    return message;
  }

  void readBody(InputStream in) throws IOException {
    if (header("transfer-encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      int size = Integer.parseInt(require(line(in)).split(";")[0].trim(), 16);
      while (size > 0) {
        out.write(exactly(in, size));
        line(in);
        size = Integer.parseInt(require(line(in)).split(";")[0].trim(), 16);
      }
      line(in);
      body = out.toByteArray();
    } else if (!header("content-length").isEmpty()) {
      body = exactly(in, Integer.parseInt(header("content-length")));
    } else if (firstLine.startsWith("HTTP/")) {
      body = in.readAllBytes();
    }
  }

  private static byte[] exactly(InputStream in, int count) throws IOException {
    byte[] bytes = in.readNBytes(count);
    if (bytes.length < count) {
      throw new IOException("the message ended early");
    }
    return bytes;
  }

  private static String require(String line) throws IOException {
    if (line == null) {
      throw new IOException("the message ended early");
    }
    return line;
  }

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      if (next != '\r') {
        out.write(next);
      }
      next = in.read();
    }
    return out.toString(StandardCharsets.ISO_8859_1);
  }
}
