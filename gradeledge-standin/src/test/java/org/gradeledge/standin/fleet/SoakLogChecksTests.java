package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class SoakLogChecksTests {

  @Test
  void detectsStreamThatWasCutBecauseOfSilence() {
    assertThat(check("cut", "u1@3 abandoned:doubtful (all tried or held off)")).isEqualTo(1);
    assertThat(check("complete", "u1@3 abandoned:doubtful > u2@1800")).isZero();
  }

  @Test
  void acceptsStreamsWhoseUpstreamOrConnectionIsLost() {
    assertThat(check("cut", "u1@3 BROKEN (all tried or held off)")).isZero();
    assertThat(check("cut", "u1@3 (connection lost, no other upstream)")).isZero();
    assertThat(check("cut", "u1@3 (time is up)")).isZero();
  }

  private static int check(String end, String upstreams) {
    String line =
        "{\"event\":\"request-ended\",\"end\":\"" + end + "\",\"upstreams\":\"" + upstreams + "\"}";
    return SoakLogChecks.checkCutStreams(Stream.of(line)).size();
  }
}
