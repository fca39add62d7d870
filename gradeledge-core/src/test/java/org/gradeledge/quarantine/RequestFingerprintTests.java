package org.gradeledge.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

class RequestFingerprintTests {

  @Test
  void whateverMakesARequestAnotherOneChangesIt() {
    RequestFingerprint one = of("account", "POST", "host", "/path?q=1", "body");

    assertThat(of("account", "POST", "host", "/path?q=1", "body")).isEqualTo(one);
    assertThat(
            Stream.of(
                of("other", "POST", "host", "/path?q=1", "body"),
                of("account", "PUT", "host", "/path?q=1", "body"),
                of("account", "POST", "other", "/path?q=1", "body"),
                of("account", "POST", "host", "/path?q=2", "body"),
                of("account", "POST", "host", "/path?q=1", "bodz"),
                of("accountP", "OST", "host", "/path?q=1", "body"),
                of("account", "POST", "host/", "path?q=1", "body")))
        .doesNotContain(one);
  }

  @Test
  void aRequestOfAnotherLengthOrPathHasAnotherShape() {
    int shape = new RequestIdentity("", "", "host", "/path", new byte[3]).shape();

    assertThat(of("account", "POST", "host", "/path", "abc").shape()).isEqualTo(shape);
    assertThat(of("account", "POST", "host", "/path", "abcd").shape()).isNotEqualTo(shape);
    assertThat(of("account", "POST", "host", "/other", "abc").shape()).isNotEqualTo(shape);
  }

  @Property(tries = 300, shrinking = ShrinkingMode.OFF)
  void theTextNamesTheSame(@ForAll long high, @ForAll long low, @ForAll int shape) {
    RequestFingerprint fingerprint = new RequestFingerprint(high, low, shape);

    assertThat(RequestFingerprint.parse(fingerprint.toString())).contains(fingerprint);
  }

  @Property(tries = 300, shrinking = ShrinkingMode.OFF)
  void otherTextsNameNone(@ForAll String text) {
    assertThat(RequestFingerprint.parse(text + "x")).isEmpty();
  }

  private static RequestFingerprint of(
      String account, String method, String host, String uri, String body) {
    return new RequestIdentity(account, method, host, uri, body.getBytes(StandardCharsets.UTF_8))
        .fingerprint();
  }
}
