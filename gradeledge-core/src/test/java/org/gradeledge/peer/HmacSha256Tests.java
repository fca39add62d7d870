package org.gradeledge.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class HmacSha256Tests {

  private static final String ALGORITHM = "HmacSHA256";

  @Property(tries = 500, shrinking = ShrinkingMode.OFF)
  void isThePlatformsHash(
      @ForAll @StringLength(min = 1, max = 200) String key,
      @ForAll byte[] one,
      @ForAll byte[] other)
      throws GeneralSecurityException {
    Mac mac = Mac.getInstance(ALGORITHM);
    mac.init(new SecretKeySpec(key.getBytes(StandardCharsets.UTF_8), ALGORITHM));
    mac.update(one);
    mac.update(other);
    assertThat(new HmacSha256(key).compute(one, other)).isEqualTo(mac.doFinal());
  }

  /** Test case 2 of RFC 4231. */
  @Test
  void isAsPublished() {
    byte[] text = "what do ya want for nothing?".getBytes(StandardCharsets.UTF_8);
    assertThat(HexFormat.of().formatHex(new HmacSha256("Jefe").compute(text)))
        .isEqualTo("5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
  }
}
