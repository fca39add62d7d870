package org.gradeledge.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.math.BigDecimal;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class ReactorCallerResponseTests {

  @Property(tries = 500)
  void formatsMillisecondsAsSeconds(@ForAll @LongRange(max = 100_000) long millis) {
    String seconds = ReactorCallerResponse.formatSeconds(millis);

    assertThat(new BigDecimal(seconds)).isEqualByComparingTo(BigDecimal.valueOf(millis, 3));
    assertThat(seconds).matches("\\d+\\.\\d{3}");
  }
}
