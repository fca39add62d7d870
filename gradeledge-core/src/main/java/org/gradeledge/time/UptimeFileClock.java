package org.gradeledge.time;

import java.io.FileInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Boot clock of Linux, read from {@code /proc/uptime} with a resolution of hundredths of a second.
 * The JDK has no clock that includes suspended time, and native code is avoided because its library
 * would have to be loaded at every start.
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

  /** Parses the first number, which must have two decimals. */
  static OptionalLong parse(String text) {
    int space = text.indexOf(' ');
    String number = space < 0 ? text.strip() : text.substring(0, space);
    int point = number.indexOf('.');
    if (point < 1 || point != number.length() - 3 || !isDecimal(number, point)) {
      return OptionalLong.empty();
    }
    long hundredths = Long.parseLong(number.substring(0, point) + number.substring(point + 1));
    return OptionalLong.of(hundredths * NANOS_PER_HUNDREDTH);
  }

  private static boolean isDecimal(String number, int point) {
    for (int index = 0; index < number.length(); index++) {
      if (index != point && (number.charAt(index) < '0' || number.charAt(index) > '9')) {
        return false;
      }
    }
    return number.length() <= 16;
  }
}
