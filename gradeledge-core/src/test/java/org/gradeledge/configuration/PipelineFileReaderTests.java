package org.gradeledge.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.gradeledge.document.Fault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PipelineFileReaderTests {

  @Test
  void readsAGoodFile() {
    PipelineFile file = PipelineFixture.file();
    assertThat(file.runsAtMostOnce()).isTrue();
    assertThat(file.stages())
        .extracting(StageDefinition::kind)
        .containsExactly(StageKind.ENCODE, StageKind.SERVICE);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"kind\":\"encode\" | \"kind\":\"encrypt\" | /stages/0/kind",
        "[\"encoder-1\"] | [\"encoder-9\"] | /stages/0/upstreams/0",
        "\"model\":\"e5\" | \"model\":\"e6\" | /stages/0/upstreams/0",
        "\"model\":\"e5\", | '' | /stages/0/model",
        "\"after\":[\"encode\"] | \"after\":[\"rank\"] | /stages/1/after/0",
        "\"after\":[\"encode\"] | \"after\":[\"book\"] | /stages/1/after/0",
        "0.5 | 0.9 | /stages",
        "bbbb | aaaa | /accounts/1/tokenSha256",
        "\"name\":\"drivers\" | \"name\":\"riders\" | /accounts/1/name",
        "\"id\":\"booking-1\" | \"id\":\"encoder-1\" | /upstreams/1/id",
        "\"port\":9001 | \"port\":0 | /upstreams/0/port",
        "\"127.0.0.1\",\"port\":9001 | \"encoder\",\"port\":9001 | /upstreams/0/host",
        "\"slots\":8 | \"slotz\":8 | /upstreams/0/slotz"
      })
  void namesThePlaceOfAFault(String part, String replaced, String pointer) {
    String from = part.equals("bbbb") ? "b".repeat(64) : part;
    String to = replaced.equals("aaaa") ? "a".repeat(64) : replaced;
    assertThat(faults(PipelineFixture.VALID_FILE.replace(from, to)))
        .extracting(Fault::pointer)
        .contains(pointer);
  }

  @Test
  void refusesANonRepeatableStageOnAnUpstreamThatCannotSayWhetherItRan() {
    String text =
        PipelineFixture.VALID_FILE.replaceAll(
            "\"checksOrders\":false,\\s+\"tellsWhetherItRan\":true",
            "\"checksOrders\":false,\"tellsWhetherItRan\":false");
    assertThat(faults(text)).extracting(Fault::pointer).containsExactly("/stages/1/upstreams/0");
  }

  @Test
  void saysAllFaultsAtOnce() {
    String text =
        PipelineFixture.VALID_FILE
            .replace("[\"encoder-1\"]", "[\"encoder-9\"]")
            .replace("0.5", "0.9")
            .replace("\"after\":[\"encode\"]", "\"after\":[\"rank\"]");
    assertThat(faults(text)).hasSize(3);
  }

  private static List<Fault> faults(String text) {
    return new PipelineFileReader().read(text.getBytes(StandardCharsets.UTF_8)).getLeft();
  }
}
