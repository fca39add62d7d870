package org.gradeledge.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Parses the server-sent events of one stream. Netty splits the lines. Not thread-safe; each stream
 * requires its own instance.
 */
final class ServerSentEvents {

  /**
   * A server-sent event.
   *
   * @param id event id, empty if there is none
   * @param data event data
   */
  record Event(String id, String data) {}

  private static final int MAX_LINE_BYTES = 256 * 1024;
  private static final String ID = "id:";
  private static final String DATA = "data:";

  private final EmbeddedChannel lines =
      new EmbeddedChannel(
          new LineBasedFrameDecoder(MAX_LINE_BYTES), new StringDecoder(StandardCharsets.UTF_8));
  private String id = "";
  private final StringBuilder data = new StringBuilder();

  /** Appends bytes and returns the events that they complete. */
  List<Event> accept(ByteBuf bytes) {
    lines.writeInbound(bytes.retain());
    List<Event> events = new ArrayList<>();
    for (String line = nextLine(); line != null; line = nextLine()) {
      acceptLine(line, events);
    }
    return events;
  }

  void close() {
    lines.finishAndReleaseAll();
  }

  private @Nullable String nextLine() {
    return lines.readInbound();
  }

  private void acceptLine(String line, List<Event> events) {
    if (line.startsWith(ID)) {
      id = line.substring(ID.length()).strip();
    } else if (line.startsWith(DATA)) {
      data.append(line.substring(DATA.length()).stripLeading());
    } else if (line.isEmpty() && data.length() > 0) {
      events.add(new Event(id, data.toString()));
      id = "";
      data.setLength(0);
    }
  }
}
