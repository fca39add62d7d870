package org.gradeledge.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class KeepAliveHeaderTests {

  @Test
  void readsSecondsAsMilliseconds() {
    assertThat(timeoutMillis("timeout=5, max=100")).contains(5_000L);
  }

  // Guards against a response that fails as its upstream tells a time that is no number.
  @ParameterizedTest
  @ValueSource(strings = {"timeout=99999999999999999999", "timeout=", "timeout=x", "max=5"})
  void unreadableTimeIsNone(String header) {
    assertThat(timeoutMillis(header)).isEmpty();
  }

  private static Optional<Long> timeoutMillis(String header) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    response.headers().set("Keep-Alive", header);
    return KeepAliveHeader.timeoutMillis(response);
  }
}
