package org.gradeledge.peer;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class PeerCodecFuzzTests {

  private final PeerCodec codec = new PeerCodec();
  private final byte[] good = codec.encode(new PeerFrame("prepare", 7, true, new byte[40]));

  @Property(tries = 100_000, shrinking = ShrinkingMode.OFF)
  void anyBytesAreAFrameOrRefused(@ForAll @Size(max = 100) byte[] bytes) {
    decode(bytes);
  }

  @Property(tries = 50_000, shrinking = ShrinkingMode.OFF)
  void aDamagedFrameIsAFrameOrRefused(
      @ForAll @IntRange(max = 10_000) int place, @ForAll byte value) {
    byte[] damaged = good.clone();
    damaged[place % damaged.length] = value;
    decode(damaged);
  }

  private void decode(byte[] bytes) {
    try {
      assertThat(codec.decode(bytes, PeerFrame.class)).isNotNull();
    } catch (PeerException e) {
      assertThat(e).hasMessageContaining("frame");
    }
  }
}
