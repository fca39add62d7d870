package org.gradeledge.resumption;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.gradeledge.discovery.UpstreamRecord;
import org.junit.jupiter.api.Test;

class StreamOriginTests {

  private static final StreamOrigin ORIGIN = new StreamOrigin("service", "v1");

  @Test
  void matchesUpstreamsOfTheSameServiceAndVersion() {
    assertThat(ORIGIN.matches(upstream("service", Optional.of("v1")))).isTrue();
    assertThat(ORIGIN.matches(upstream("service", Optional.of("v1.1")))).isFalse();
    assertThat(ORIGIN.matches(upstream("other", Optional.of("v1")))).isFalse();
    assertThat(ORIGIN.matches(upstream("service", Optional.empty()))).isFalse();
  }

  @Test
  void upstreamOfUnknownVersionHasNoOrigin() {
    assertThat(StreamOrigin.of(upstream("service", Optional.of("v1")))).contains(ORIGIN);
    assertThat(StreamOrigin.of(upstream("service", Optional.empty()))).isEmpty();
  }

  // Guards against boxes that compute different hashes, and against versions with the same one.
  @Test
  void hashIsStableAndDiffersBetweenOrigins() {
    assertThat(ORIGIN.hash()).isEqualTo(new StreamOrigin("service", "v1").hash());
    assertThat(OriginRecord.streamKey("6687dc77043e4663")).isEqualTo(-3981966978242677582L);
    Set<Long> hashes = new HashSet<>();
    IntStream.range(0, 300)
        .forEach(
            number -> {
              hashes.add(new StreamOrigin("service-" + number % 10, "v" + number / 10).hash());
              hashes.add(OriginRecord.streamKey("request-" + number));
            });
    assertThat(hashes).hasSize(600);
  }

  private static UpstreamRecord upstream(String service, Optional<String> version) {
    return new UpstreamRecord("u", 0, service, "10.0.0.1", 1, "zone", 8, false, 0, version);
  }
}
