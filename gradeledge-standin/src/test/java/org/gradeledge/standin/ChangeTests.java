package org.gradeledge.standin;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.gradeledge.standin.engine.EngineStandIn;
import org.gradeledge.standin.platform.PlatformFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import reactor.core.publisher.Flux;

class ChangeTests {

  private static final Duration LIMIT = Duration.ofSeconds(30);

  private Deployment deployment;
  private EngineStandIn encoder;
  private byte[] file;

  @BeforeEach
  void start() {
    deployment = new Deployment(3);
    encoder = deployment.engine();
    file = PipelineFiles.named(PipelineFiles.NAME).stage("encode", "encode", true, encoder).text();
  }

  @AfterEach
  void stop() {
    deployment.close();
  }

  @Test
  void isInForceOnEveryBoxOnceItIsAccepted() {
    Reply reply = deployment.apply(file, 0);

    assertThat(reply.json().path("inForceOn")).hasSize(3);
    for (int box = 0; box < 3; box++) {
      assertThat(versionAt(box)).isEqualTo("1");
    }
  }

  @Test
  void tellsWhoChangedWhat() {
    deployment.apply(file, 0);
    deployment.submit(1, file, 0, UUID.randomUUID()).block(LIMIT);
    JsonNode audit = deployment.operatorGet(2, "/v1/audit").json();

    assertThat(audit).hasSize(2);
    assertThat(audit.get(0).path("operator").asText()).isEqualTo("petya");
    assertThat(audit.get(0).path("verdict").asText()).isEqualTo("accepted");
    assertThat(audit.get(1).path("reason").asText()).startsWith("stale-base");
    assertThat(audit.toString()).doesNotContain(PipelineFiles.token("riders"));
  }

  @Test
  void refusesAStaleBase() {
    deployment.apply(file, 0);
    assertThat(deployment.submit(1, file, 7, UUID.randomUUID()).block(LIMIT).status())
        .isEqualTo(412);
  }

  @Test
  void givesTheSameVerdictToTheSameSubmissionAgain() {
    UUID id = UUID.randomUUID();
    Reply first = deployment.submit(0, file, 0, id).block(LIMIT);
    Reply again = deployment.submit(2, file, 0, id).block(LIMIT);

    assertThat(again.status()).isEqualTo(first.status()).isEqualTo(200);
    assertThat(again.json().path("version").asLong()).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({"2", "8"})
  void acceptsOneOfSeveralOperatorsThatRace(int operators) {
    deployment.apply(file, 0);
    List<Reply> replies =
        Flux.range(0, operators)
            .flatMap(i -> deployment.submit(i % 3, file, 1, UUID.randomUUID()), operators)
            .collectList()
            .block(LIMIT);

    assertThat(replies).filteredOn(reply -> reply.status() == 200).hasSizeLessThanOrEqualTo(1);
    assertThat(replies).allSatisfy(reply -> assertThat(reply.status()).isIn(200, 409, 412));
    long accepted = replies.stream().filter(reply -> reply.status() == 200).count();
    assertThat(versionAt(0)).isEqualTo(String.valueOf(1 + accepted));
  }

  @Test
  void acceptsChangesOfDifferentPipelinesAtOnce() {
    List<Reply> replies =
        Flux.range(0, 8)
            .flatMap(
                i -> {
                  byte[] other =
                      PipelineFiles.named("p-" + i).stage("encode", "encode", true, encoder).text();
                  return deployment.submit(i % 3, other, 0, UUID.randomUUID());
                },
                8)
            .collectList()
            .block(LIMIT);

    assertThat(replies).allSatisfy(reply -> assertThat(reply.status()).isEqualTo(200));
  }

  @ParameterizedTest
  @EnumSource(
      value = PlatformFault.class,
      names = {"ANSWER_LOST", "ANSWER_LATE", "EFFECT_LATE", "DOWN", "FROZEN"})
  void anyWriteMayFailAndEveryBoxStillAgreesWithWhatTheOperatorWasTold(PlatformFault fault) {
    deployment.apply(file, 0);
    List<UUID> ids = new ArrayList<>();
    long base = 1;
    for (int write = 0; write < 3; write++) {
      UUID id = UUID.randomUUID();
      ids.add(id);
      int faultyWrite = write;
      FaultAtWrite faulty = new FaultAtWrite(deployment, faultyWrite, fault);
      Reply reply = faulty.during(() -> deployment.submit(0, file, currentBase(), id).block(LIMIT));
      long told = reply.status();
      Deployment.await(() -> settled(id));
      String state = state(id);
      if (told == 200) {
        assertThat(state).isEqualTo("accepted");
      } else if (told != 202) {
        assertThat(state).isIn("refused", "absent");
      }
      base = currentBase();
      String version = String.valueOf(base);
      for (int box = 0; box < 3; box++) {
        int each = box;
        Deployment.await(() -> version.equals(versionAt(each)));
      }
    }
    assertThat(base).isGreaterThanOrEqualTo(1);
  }

  @Test
  void servesThroughAnOutageOfTheTableWithNoChangeUnderWay() {
    deployment.apply(file, 0);
    deployment.platform.setTableFault(PlatformFault.DOWN);
    long end = System.nanoTime() + Duration.ofSeconds(5).toNanos();
    int served = 0;
    while (System.nanoTime() < end) {
      assertThat(deployment.call(served % 3).now().status()).isEqualTo(200);
      served++;
    }

    assertThat(served).isPositive();
    Reply change = deployment.submit(0, file, 1, UUID.randomUUID()).block(LIMIT);
    assertThat(change.status()).isEqualTo(503);
  }

  @Test
  void aNewBoxIsNotReadyUntilTheTableIsBackAndThenServesTheNewestVersion() {
    deployment.apply(file, 0);
    deployment.platform.setTableFault(PlatformFault.DOWN);
    var joining = deployment.startBox();
    Deployment.await(
        () ->
            deployment
                .metrics(3)
                .contains("gradeledge_state_changes_total{change=\"table-read-failing\"}"));
    assertThat(joining.isReady()).isFalse();
    assertThat(deployment.call(3).now().reason()).isEqualTo("membership-unconfirmed");

    deployment.platform.setTableFault(PlatformFault.NONE);
    Deployment.await(joining::isReady);
    assertThat(versionAt(3)).isEqualTo("1");
  }

  @Test
  void aBoxThatJoinsWhileChangesAreMadeNeverServesAnOldOne() {
    deployment.apply(file, 0);
    var joining = deployment.startBox();
    long version = 1;
    while (!joining.isReady() || version < 4) {
      Reply reply = deployment.submit(0, file, version, UUID.randomUUID()).block(LIMIT);
      if (reply.status() == 200) {
        version++;
        Reply served = deployment.call(3).now();
        assertThat(
                served.status() != 200
                    || served
                        .headers()
                        .get("Gradeledge-Configuration-Version")
                        .equals(String.valueOf(version)))
            .isTrue();
      }
    }
  }

  /** The newcomer is a member before the verdict is written, and was not asked to prepare. */
  @Test
  void aBoxThatJoinsBetweenPreparingAndTheVerdictHasItInForceOnceTheOperatorIsTold() {
    deployment.apply(file, 0);
    deployment.platform.faultInjector("commit").setAfter(1, PlatformFault.SLOW, 1);
    var told = deployment.submit(0, file, 1, UUID.randomUUID()).toFuture();
    Deployment.await(() -> deployment.platform.faultInjector("commit").hasTriggered());
    deployment.startBox();

    assertThat(told.join().status()).isEqualTo(200);
    Reply served = deployment.call(3).now();
    assertThat(served.headers().get("Gradeledge-Configuration-Version")).isNotEqualTo("1");
  }

  @Test
  void refusesAChangeWhileAListedMemberIsGoneAndAcceptsItOnceItIsRemoved() {
    deployment.apply(file, 0);
    deployment.box(2).close();
    Reply refused = deployment.submit(0, file, 1, UUID.randomUUID()).block(LIMIT);
    assertThat(refused.status()).isEqualTo(503);
    assertThat(refused.json().path("detail").asText()).contains("box-3");

    Deployment.await(
        () -> deployment.submit(0, file, 1, UUID.randomUUID()).block(LIMIT).status() == 200);
    assertThat(versionAt(1)).isEqualTo("2");
  }

  private long currentBase() {
    return deployment.operatorGet(1, "/v1/pipelines").json().get(0).path("version").asLong();
  }

  private boolean settled(UUID id) {
    return !state(id).equals("staged");
  }

  private String state(UUID id) {
    Reply reply = deployment.operatorGet(1, "/v1/submissions/" + id);
    return reply.status() == 404 ? "absent" : reply.json().path("state").asText();
  }

  private String versionAt(int box) {
    return String.valueOf(
        deployment.call(box).now().headers().get("Gradeledge-Configuration-Version"));
  }
}
