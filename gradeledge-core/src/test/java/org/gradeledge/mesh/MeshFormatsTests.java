package org.gradeledge.mesh;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.gradeledge.batch.StageGroup;
import org.gradeledge.batch.StageGroupResult;
import org.gradeledge.batch.StageOutcome;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.peer.MessageFormat;
import org.gradeledge.peer.MessageFormats;
import org.gradeledge.quarantine.CrashReport;
import org.gradeledge.quarantine.RequestFingerprint;
import org.gradeledge.quarantine.SuspectReport;
import org.gradeledge.quarantine.SuspectUpdate;
import org.junit.jupiter.api.Test;

/**
 * The formats write the same bytes as reflective binding, and each reads the output of the other.
 */
class MeshFormatsTests {

  private static final byte MAP_OF_ONE = (byte) 0x81;
  private static final byte ARRAY_OF_ONE = (byte) 0x91;
  private static final int LONG_ARRAY_HEADER = 3;
  private static final byte TEXT_OF_LENGTH_ONE = (byte) 0xa1;

  @Property(tries = 300, shrinking = ShrinkingMode.OFF)
  void heartbeatFormatMatchesBinding(@ForAll long seed) throws IOException {
    assertMatchesBinding(
        new HeartbeatFormat(), RandomMessages.heartbeat(new Random(seed)), Heartbeat.class);
  }

  @Property(tries = 300, shrinking = ShrinkingMode.OFF)
  void digestFormatMatchesBinding(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    List<DigestEntry> entries = new ArrayList<>();
    for (int index = random.nextInt(5); index > 0; index--) {
      entries.add(
          new DigestEntry(
              RandomMessages.text(random),
              RandomMessages.number(random),
              RandomMessages.heartbeat(random)));
    }
    assertMatchesBinding(new DigestFormat(), new Digest(entries), Digest.class);
  }

  @Property(tries = 300, shrinking = ShrinkingMode.OFF)
  void groupFormatMatchesBinding(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    StageGroup group =
        new StageGroup(
            RandomMessages.text(random),
            RandomMessages.text(random),
            random.nextInt(9),
            random.nextInt(70),
            random.nextBoolean() ? Optional.of(RandomMessages.text(random)) : Optional.empty(),
            RandomMessages.texts(random),
            RandomMessages.number(random),
            RandomMessages.number(random),
            RandomMessages.text(random),
            random.nextInt(4),
            RandomMessages.number(random),
            RandomMessages.number(random),
            RandomMessages.number(random),
            random.nextBoolean());
    assertMatchesBinding(new StageGroupFormat(), group, StageGroup.class);
  }

  @Property(tries = 300, shrinking = ShrinkingMode.OFF)
  void resultFormatMatchesBinding(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    StageOutcome outcome = StageOutcome.values()[random.nextInt(StageOutcome.values().length)];
    StageGroupResult result =
        new StageGroupResult(
            outcome,
            RandomMessages.texts(random),
            RandomMessages.text(random),
            RandomMessages.number(random),
            RandomMessages.number(random));
    assertMatchesBinding(new StageGroupResultFormat(), result, StageGroupResult.class);
  }

  @Property(tries = 200, shrinking = ShrinkingMode.OFF)
  void upstreamListFormatMatchesBinding(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    List<UpstreamRecord> upstreams = new ArrayList<>();
    for (int index = random.nextInt(5); index > 0; index--) {
      upstreams.add(
          new UpstreamRecord(
              RandomMessages.text(random),
              random.nextLong(Long.MAX_VALUE),
              RandomMessages.text(random),
              RandomMessages.text(random),
              random.nextInt(65_536),
              RandomMessages.text(random),
              random.nextInt(200),
              random.nextBoolean(),
              random.nextInt(9_000),
              Optional.of(RandomMessages.text(random)).filter(text -> random.nextBoolean())));
    }
    assertMatchesBinding(
        new UpstreamListFormat(),
        new UpstreamList(RandomMessages.number(random), upstreams, random.nextBoolean()),
        UpstreamList.class);
  }

  @Property(tries = 200, shrinking = ShrinkingMode.OFF)
  void otherFormatsMatchBinding(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    assertMatchesBinding(
        new StageCancelFormat(),
        new StageCancel(RandomMessages.text(random), RandomMessages.text(random)),
        StageCancel.class);
    assertMatchesBinding(
        new StageFreeFormat(), new StageFree(RandomMessages.texts(random)), StageFree.class);
    assertMatchesBinding(
        new StageInputsTakenFormat(),
        new StageInputsTaken(RandomMessages.text(random), random.nextInt(9)),
        StageInputsTaken.class);
    assertMatchesBinding(
        new DocumentRequestFormat(),
        new DocumentRequest(RandomMessages.number(random)),
        DocumentRequest.class);
  }

  @Property(tries = 300, shrinking = ShrinkingMode.OFF)
  void suspectsFormatReadsWhatItWrites(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    List<SuspectReport> reports = new ArrayList<>();
    for (int index = random.nextInt(5); index > 0; index--) {
      List<CrashReport> ends =
          RandomMessages.texts(random).stream()
              .map(text -> new CrashReport(text, random.nextInt(9_000), random.nextBoolean()))
              .toList();
      reports.add(
          new SuspectReport(
              new RequestFingerprint(
                  RandomMessages.number(random), RandomMessages.number(random), random.nextInt()),
              ends,
              random.nextBoolean(),
              random.nextInt(5)));
    }
    SuspectUpdate records = new SuspectUpdate(reports, RandomMessages.texts(random));
    SuspectsFormat format = new SuspectsFormat();

    assertThat(MessageFormats.read(format, MessageFormats.write(format, records)))
        .isEqualTo(records);
  }

  @Property(tries = 100, shrinking = ShrinkingMode.OFF)
  void documentFormatMatchesBinding(@ForAll byte[] document) throws IOException {
    DocumentAnswerFormat format = new DocumentAnswerFormat();
    byte[] bytes = MessageFormats.write(format, new DocumentAnswer(document));
    assertThat(bytes).isEqualTo(MessageFormats.writeReflectively(new DocumentAnswer(document)));
    assertThat(MessageFormats.read(format, bytes).document()).isEqualTo(document);
  }

  @Property(tries = 20_000, shrinking = ShrinkingMode.OFF)
  void damagedDigestsAreReadOrRejected(
      @ForAll @IntRange(max = 10_000) int position, @ForAll byte value, @ForAll int seed)
      throws IOException {
    DigestFormat format = new DigestFormat();
    Digest digest =
        new Digest(List.of(new DigestEntry("box", 3, RandomMessages.heartbeat(new Random(seed)))));
    byte[] bytes = MessageFormats.write(format, digest);
    bytes[position % bytes.length] = value;
    try {
      assertThat(MessageFormats.read(format, bytes)).isNotNull();
    } catch (IOException | RuntimeException e) {
      assertThat(e).hasMessageNotContaining("heap");
    }
  }

  @Test
  void rejectsTruncatedMessages() throws IOException {
    StageGroupResultFormat format = new StageGroupResultFormat();
    StageGroupResult result =
        new StageGroupResult(StageOutcome.MADE, List.of("a/1", "b/2"), "box", 0, 7);
    byte[] bytes = MessageFormats.write(format, result);
    for (int length = 0; length < bytes.length; length++) {
      byte[] truncated = Arrays.copyOf(bytes, length);
      assertThatThrownBy(() -> MessageFormats.read(format, truncated))
          .isInstanceOf(Exception.class);
    }
  }

  @Test
  void namesAMissingField() throws IOException {
    byte[] bytes = MessageFormats.writeReflectively(Map.of("service", "encode"));
    assertThatThrownBy(() -> MessageFormats.read(new StageCancelFormat(), bytes))
        .hasMessageContaining("requestId");
  }

  @Test
  void skipsUnknownFields() throws IOException {
    byte[] bytes =
        MessageFormats.writeReflectively(
            Map.of("service", "encode", "requestId", "r1", "newer", List.of(1.5, "x")));
    assertThat(MessageFormats.read(new StageCancelFormat(), bytes))
        .isEqualTo(new StageCancel("encode", "r1"));
  }

  @Test
  void readsHeartbeatsOfOlderVersions() throws IOException {
    Heartbeat heartbeat = Heartbeats.of("zone", 7);
    byte[] bytes = MessageFormats.write(new HeartbeatFormat(), heartbeat);
    int quarantineDigest = 1;
    int listTrust = 1;
    int sequenceNumber = 1;
    int limits = 1;
    int leaving = 1;
    byte[] older =
        Arrays.copyOf(
            bytes, bytes.length - leaving - limits - sequenceNumber - listTrust - quarantineDigest);
    older = asArrayOf(11, older);
    int evacuations = 3;
    byte[] oldest = Arrays.copyOf(older, older.length - evacuations);
    oldest[0]--;

    assertThat(MessageFormats.read(new HeartbeatFormat(), older)).isEqualTo(heartbeat);
    assertThat(MessageFormats.read(new HeartbeatFormat(), oldest)).isEqualTo(heartbeat);
  }

  @Test
  void rejectsExcessiveNesting() {
    byte[] bytes = new byte[100_000];
    Arrays.fill(bytes, ARRAY_OF_ONE);
    bytes[0] = MAP_OF_ONE;
    bytes[1] = TEXT_OF_LENGTH_ONE;
    bytes[2] = 'x';

    assertThatThrownBy(() -> MessageFormats.read(new StageFreeFormat(), bytes))
        .isInstanceOf(IOException.class)
        .hasMessageContaining("nested");
  }

  /** Replaces the header of a long array by that of a short one. */
  private static byte[] asArrayOf(int fields, byte[] longArray) {
    byte[] shortArray = Arrays.copyOfRange(longArray, LONG_ARRAY_HEADER - 1, longArray.length);
    shortArray[0] = (byte) (ARRAY_OF_ONE - 1 + fields);
    return shortArray;
  }

  private static <T> void assertMatchesBinding(MessageFormat<T> format, T message, Class<T> type)
      throws IOException {
    byte[] bytes = MessageFormats.write(format, message);
    assertThat(bytes).isEqualTo(MessageFormats.writeReflectively(message));
    assertThat(MessageFormats.read(format, bytes)).isEqualTo(message);
    assertThat(MessageFormats.readReflectively(bytes, type)).isEqualTo(message);
  }
}
