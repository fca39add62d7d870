package org.gradeledge.time;

import java.io.FileInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * The boot clock of Linux as its first figure in {@code /proc/uptime}, in hundredths of a second.
 * The Java platform shows no clock that counts suspended time, and a native call would bring a
 * library of its own into every start. A reading takes some microseconds and never waits for a
 * disk.
 */
final class UptimeFileClock implements BootClock {

  private static final String FILE = "/proc/uptime";
  private static final int MAX_BYTES = 64;
  private static final long NANOS_PER_HUNDREDTH = 10_000_000;

  private final String file;

  UptimeFileClock() {
    this(FILE);
  }

  UptimeFileClock(String file) {
    this.file = file;
  }

  @Override
  public OptionalLong nanos() {
    try (FileInputStream in = new FileInputStream(file)) {
      return parse(new String(in.readNBytes(MAX_BYTES), StandardCharsets.US_ASCII));
    } catch (IOException e) {
      return OptionalLong.empty();
    }
  }

  /** Returns the first figure, which has two decimals. */
  static OptionalLong parse(String text) {
    int blank = text.indexOf(' ');
    String figure = blank < 0 ? text.strip() : text.substring(0, blank);
    int point = figure.indexOf('.');
    if (point < 1 || point != figure.length() - 3 || !isDecimal(figure, point)) {
      return OptionalLong.empty();
    }
    long hundredths = Long.parseLong(figure.substring(0, point) + figure.substring(point + 1));
    return OptionalLong.of(hundredths * NANOS_PER_HUNDREDTH);
  }

  private static boolean isDecimal(String figure, int point) {
    for (int index = 0; index < figure.length(); index++) {
      if (index != point && (figure.charAt(index) < '0' || figure.charAt(index) > '9')) {
        return false;
      }
    }
    return figure.length() <= 16;
  }
}
