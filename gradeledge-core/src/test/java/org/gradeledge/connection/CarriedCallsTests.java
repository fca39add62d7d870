package org.gradeledge.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class CarriedCallsTests {

  private final CarriedCalls calls = new CarriedCalls();

  @Test
  void knowsTheIdsOfAllCalls() {
    IntStream.range(0, 255).forEach(number -> calls.add(request("id-" + number)));

    assertThat(calls.contains(request("id-0"))).isTrue();
    assertThat(calls.contains(request("id-254"))).isTrue();
    assertThat(calls.contains(request("id-255"))).isFalse();
    assertThat(calls.allowsAnother()).isTrue();
  }

  // Guards against an id that is forgotten while its connection goes on.
  @Test
  void connectionEndsOnceNoMoreIdsAreRecorded() {
    IntStream.range(0, 256).forEach(number -> calls.add(request("id-" + number)));

    assertThat(calls.allowsAnother()).isFalse();
  }

  // Guards against long ids of callers that use up the memory of a box.
  @Test
  void connectionEndsAfterLongIds() {
    calls.add(request("x".repeat(16 * 1024)));

    assertThat(calls.allowsAnother()).isFalse();
  }

  private static OutgoingRequest request(String id) {
    return new OutgoingRequest(
        HttpMethod.GET,
        "/",
        new DefaultHttpHeaders(),
        new byte[0],
        Optional.of(new CorrelationHeader("X-Request-Id", id)),
        ConnectionReuse.ANY);
  }
}
