package org.gradeledge.fuzz;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.gradeledge.configuration.PipelineFileReader;
import org.gradeledge.configuration.PipelineFixture;
import org.gradeledge.settings.SettingsReader;

class ReadersFuzzTests {

  private final PipelineFileReader files = new PipelineFileReader();
  private final SettingsReader settings = new SettingsReader();
  private final byte[] good = PipelineFixture.VALID_FILE.getBytes(StandardCharsets.UTF_8);

  @Property(tries = 100_000, shrinking = ShrinkingMode.OFF)
  void anyBytesAreReadOrRefused(@ForAll @Size(max = 200) byte[] bytes) {
    assertThat(files.read(bytes).isLeft()).isTrue();
    assertThat(settings.read(bytes).isLeft()).isTrue();
  }

  @Property(tries = 100_000, shrinking = ShrinkingMode.OFF)
  void aDamagedFileIsReadOrRefused(
      @ForAll @IntRange(max = 100_000) int place, @ForAll byte value, @ForAll boolean cut) {
    byte[] damaged = good.clone();
    damaged[place % damaged.length] = value;
    byte[] text = cut ? Arrays.copyOf(damaged, place % damaged.length) : damaged;
    files.read(text).peekLeft(faults -> assertThat(faults).isNotEmpty());
  }
}
