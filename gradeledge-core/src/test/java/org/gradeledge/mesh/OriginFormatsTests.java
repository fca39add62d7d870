package org.gradeledge.mesh;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.gradeledge.peer.MessageFormats;
import org.gradeledge.resumption.OriginRecord;
import org.gradeledge.resumption.StreamOrigin;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;

class OriginFormatsTests {

  private static final OriginRecord RECORD =
      OriginRecord.of("6687dc77043e4663", new StreamOrigin("gradeledge-pool", "v1.1"), 9_000);

  @Property(tries = 200, shrinking = ShrinkingMode.OFF)
  void readsWhatItWrites(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    OriginRecords records =
        new OriginRecords(Stream.generate(() -> record(random)).limit(random.nextInt(5)).toList());
    OriginQuery query = new OriginQuery(random.nextLong());

    assertThat(read(MessageFormats.write(new OriginRecordsFormat(), records))).isEqualTo(records);
    assertThat(
            MessageFormats.read(
                new OriginQueryFormat(), MessageFormats.write(new OriginQueryFormat(), query)))
        .isEqualTo(query);
  }

  // Guards against a box that cannot read records of a newer one.
  @Test
  void ignoresAdditionalFields() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (MessagePacker packer = MessagePack.newDefaultPacker(bytes)) {
      packer.packArrayHeader(1).packArrayHeader(4);
      packer.packLong(RECORD.streamKey()).packLong(RECORD.originHash());
      packer.packLong(RECORD.retentionMillis()).packString("a later field");
    }

    assertThat(read(bytes.toByteArray()).records()).containsExactly(RECORD);
  }

  @Test
  void rejectsTruncatedRecord() throws IOException {
    byte[] bytes =
        MessageFormats.write(new OriginRecordsFormat(), new OriginRecords(List.of(RECORD)));

    for (int length = 0; length < bytes.length; length++) {
      byte[] truncated = Arrays.copyOf(bytes, length);
      assertThatThrownBy(() -> read(truncated)).isInstanceOf(Exception.class);
    }
  }

  private static OriginRecords read(byte[] bytes) throws IOException {
    return MessageFormats.read(new OriginRecordsFormat(), bytes);
  }

  private static OriginRecord record(Random random) {
    return new OriginRecord(random.nextLong(), random.nextLong(), RandomMessages.number(random));
  }
}
