package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.gradeledge.connection.ResponseTooLargeException;
import org.gradeledge.connection.UnusableResponseException;
import org.junit.jupiter.api.Test;

class EventFramerTests {

  private final EventFramer framer = new EventFramer();

  // Guards against a stream that is resumed after another id than that of its last event.
  @Test
  void idOutsideAsciiHasTheBytesOfTheEvent() {
    append("id: \u043a\ndata: a\n\n");

    assertThat(framer.lastId()).contains("\u00d0\u00ba");
  }

  // Guards against a request that never ends, as its repetition cannot name the last event.
  @Test
  void idThatNoHeaderCanCarryIsRejected() {
    append("id: 1\ndata: a\n\n");

    assertThatThrownBy(() -> append("id: 2\u0000\ndata: b\n\n"))
        .isInstanceOf(UnusableResponseException.class);
    assertThat(framer.lastId()).contains("1");
  }

  @Test
  void returnsOnlyWholeEvents() {
    assertThat(append("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
    assertThat(framer.lastId()).contains("1");
    assertThat(framer.isAtEventBoundary()).isFalse();

    assertThat(append("ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
    assertThat(framer.lastId()).contains("2");
    assertThat(framer.isAtEventBoundary()).isTrue();
  }

  @Test
  void acceptsCarriageReturnLineEndings() {
    assertThat(append("id: 7\r\ndata: a\r\n\r\nid")).isEqualTo("id: 7\r\ndata: a\r\n\r\n");
    assertThat(framer.lastId()).contains("7");
  }

  @Test
  void dropsPartialEvent() {
    append("id: 1\ndata: a\n\nid: 2\nda");
    framer.dropPartial();

    assertThat(append("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
  }

  // Guards against an event without end, also one that arrives in many small reads.
  @Test
  void rejectsEventWithoutEnd() {
    String part = "data: x\n".repeat(8);

    assertThatThrownBy(
            () -> {
              while (true) {
                append(part);
              }
            })
        .isInstanceOf(ResponseTooLargeException.class);
  }

  @Property(tries = 300)
  void returnsSameEventsForAnyFragmentation(
      @ForAll @Size(min = 1, max = 20) List<@IntRange(min = 1, max = 9) Integer> cuts) {
    StringBuilder text = new StringBuilder();
    for (int i = 1; i <= 5; i++) {
      text.append("id: ").append(i).append("\ndata: x").append(i).append("\n\n");
    }
    EventFramer fresh = new EventFramer();
    StringBuilder passedOn = new StringBuilder();
    int at = 0;
    for (int i = 0; at < text.length(); i++) {
      int end = Math.min(text.length(), at + cuts.get(i % cuts.size()));
      passedOn.append(append(fresh, text.substring(at, end)));
      at = end;
    }

    assertThat(passedOn.toString()).isEqualTo(text.toString());
    assertThat(fresh.lastId()).contains("5");
    assertThat(fresh.isAtEventBoundary()).isTrue();
  }

  private String append(String text) {
    return append(framer, text);
  }

  private static String append(EventFramer target, String text) {
    ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    ByteBuf events = target.append(bytes);
    String result = events.toString(StandardCharsets.UTF_8);
    events.release();
    bytes.release();
    return result;
  }
}
