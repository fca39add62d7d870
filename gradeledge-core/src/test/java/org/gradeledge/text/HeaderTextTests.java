package org.gradeledge.text;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import net.jqwik.api.Assume;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class HeaderTextTests {

  // Guards against two texts that become one in a header.
  @Property
  void everySendableTextIsRestored(@ForAll String text) {
    Assume.that(HeaderText.isSendable(text));

    String header = HeaderText.encode(text);

    assertThat(HeaderText.decode(header)).contains(text);
    assertThat(header.chars()).allMatch(character -> character <= 0xff);
    assertThat(new DefaultHttpHeaders().set("X-Text", header).get("X-Text")).isEqualTo(header);
  }

  @Test
  void bytesThatAreNoUtf8HaveNoText() {
    assertThat(HeaderText.decode("\u00e9")).isEmpty();
    assertThat(HeaderText.decodeLeniently("\u00e9")).isEqualTo("\u00e9");
  }
}
