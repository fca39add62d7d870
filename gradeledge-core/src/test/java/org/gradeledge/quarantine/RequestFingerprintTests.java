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
  void differsWhenAnyPartOfIdentityDiffers() {
    RequestFingerprint one = fingerprint("account", "POST", "host", "/path?q=1", "body");

    assertThat(fingerprint("account", "POST", "host", "/path?q=1", "body")).isEqualTo(one);
    assertThat(
            Stream.of(
                fingerprint("other", "POST", "host", "/path?q=1", "body"),
                fingerprint("account", "PUT", "host", "/path?q=1", "body"),
                fingerprint("account", "POST", "other", "/path?q=1", "body"),
                fingerprint("account", "POST", "host", "/path?q=2", "body"),
                fingerprint("account", "POST", "host", "/path?q=1", "bodz"),
                fingerprint("accountP", "OST", "host", "/path?q=1", "body"),
                fingerprint("account", "POST", "host/", "path?q=1", "body")))
        .doesNotContain(one);
  }

  @Test
  void shapeHashDependsOnPathAndBodyLength() {
    int shape = new RequestIdentity("", "", "host", "/path", new byte[3]).shapeHash();

    assertThat(fingerprint("account", "POST", "host", "/path", "abc").shapeHash()).isEqualTo(shape);
    assertThat(fingerprint("account", "POST", "host", "/path", "abcd").shapeHash())
        .isNotEqualTo(shape);
    assertThat(fingerprint("account", "POST", "host", "/other", "abc").shapeHash())
        .isNotEqualTo(shape);
  }

  @Property(tries = 300, shrinking = ShrinkingMode.OFF)
  void parsesOwnText(@ForAll long high, @ForAll long low, @ForAll int shape) {
    RequestFingerprint fingerprint = new RequestFingerprint(high, low, shape);

    assertThat(RequestFingerprint.parse(fingerprint.toString())).contains(fingerprint);
  }

  @Property(tries = 300, shrinking = ShrinkingMode.OFF)
  void rejectsOtherTexts(@ForAll String text) {
    assertThat(RequestFingerprint.parse(text + "x")).isEmpty();
  }

  private static RequestFingerprint fingerprint(
      String account, String method, String host, String uri, String body) {
    return new RequestIdentity(account, method, host, uri, body.getBytes(StandardCharsets.UTF_8))
        .fingerprint();
  }
}
