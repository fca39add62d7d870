package org.gradeledge.upstream;

import java.io.ByteArrayOutputStream;
import org.gradeledge.verdict.RefusalReason;
import org.gradeledge.verdict.Verdict;

/** Collects the bytes of one answer up to a bound. Not thread-safe. */
final class BoundedBytes {

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final int maxBytes;

  BoundedBytes(int bound) {
    this.maxBytes = bound;
  }

  void append(byte[] bytes) {
    if (out.size() + bytes.length > maxBytes) {
      throw new UpstreamException(
          Verdict.MAY_HAVE_RUN,
          RefusalReason.UPSTREAM_FAILED,
          "an answer must be at most " + maxBytes + " bytes",
          null);
    }
    out.writeBytes(bytes);
  }

  byte[] toByteArray() {
    return out.toByteArray();
  }
}
