package org.gradeledge.peer;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class PeerCodecFuzzTests {

  private final PeerCodec codec = new PeerCodec();
  private final byte[] validFrame = codec.encode(new PeerFrame("prepare", 7, true, new byte[40]));

  @Property(tries = 100_000, shrinking = ShrinkingMode.OFF)
  void decodesOrRejectsArbitraryBytes(@ForAll @Size(max = 100) byte[] bytes) {
    decode(bytes);
  }

  @Property(tries = 50_000, shrinking = ShrinkingMode.OFF)
  void decodesOrRejectsACorruptedFrame(
      @ForAll @IntRange(max = 10_000) int position, @ForAll byte value) {
    byte[] corrupted = validFrame.clone();
    corrupted[position % corrupted.length] = value;
    decode(corrupted);
  }

  private void decode(byte[] bytes) {
    try {
      assertThat(codec.decode(bytes, PeerFrame.class)).isNotNull();
    } catch (PeerException e) {
      assertThat(e).hasMessageContaining("frame");
    }
  }
}
