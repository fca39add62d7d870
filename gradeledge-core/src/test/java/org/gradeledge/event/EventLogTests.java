package org.gradeledge.event;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class EventLogTests {

  @Test
  void writesOneLineOfJsonPerEvent() throws Exception {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    EventLog log = new EventLog(new PrintStream(out, true, StandardCharsets.UTF_8), "box-1");

    log.problem("request-ended").with("why", "a \"quoted\"\nline").with("ms", 12).write();
    log.drain(5_000);

    JsonNode line = new ObjectMapper().readTree(awaitText(out));
    assertThat(line.path("event").asText()).isEqualTo("request-ended");
    assertThat(line.path("box").asText()).isEqualTo("box-1");
    assertThat(line.path("why").asText()).isEqualTo("a \"quoted\"\nline");
    assertThat(line.path("ms").asLong()).isEqualTo(12);
  }

  @Test
  void aBlockedOutputDoesNotBlockCallersAndDroppedEventsAreCounted() throws Exception {
    CountDownLatch unblock = new CountDownLatch(1);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    EventLog log = new EventLog(new PrintStream(new BlockingStream(out, unblock)), "box-1");

    for (int i = 0; i < 20_000; i++) {
      log.step("request-ended").with("number", i).write();
    }
    log.problem("request-refused").write();
    unblock.countDown();
    log.drain(5_000);

    String text = awaitTextContaining(out, "request-refused");
    assertThat(text).contains("left-out");
    assertThat(text.lines().count()).isLessThan(5_000);
  }

  private static String awaitText(ByteArrayOutputStream out) {
    return awaitTextContaining(out, "\n");
  }

  private static String awaitTextContaining(ByteArrayOutputStream out, String expected) {
    String text = out.toString(StandardCharsets.UTF_8);
    while (!text.contains(expected)) {
      Thread.onSpinWait();
      text = out.toString(StandardCharsets.UTF_8);
    }
    return text;
  }

  /** Blocks each write until the latch is released. */
  private static final class BlockingStream extends OutputStream {

    private final OutputStream target;
    private final CountDownLatch unblock;

    BlockingStream(OutputStream target, CountDownLatch unblock) {
      this.target = target;
      this.unblock = unblock;
    }

    @Override
    public void write(int value) throws IOException {
      write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
      try {
        unblock.await();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
      target.write(bytes, offset, length);
    }
  }
}
