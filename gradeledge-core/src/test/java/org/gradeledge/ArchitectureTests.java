package org.gradeledge;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

class ArchitectureTests {

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.gradeledge");

  @Test
  void packagesHaveNoCycles() {
    slices().matching("org.gradeledge.(*)..").should().beFreeOfCycles().check(CLASSES);
  }

  @Test
  void peerAndPlatformKnowNothingOfPipelines() {
    noClasses()
        .that()
        .resideInAnyPackage("..peer..", "..platform..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "..configuration..", "..change..", "..request..", "..routing..", "..upstream..")
        .check(CLASSES);
  }

  @Test
  void nobodyElseSpeaksToUpstreamsAndThePlatform() {
    noClasses()
        .that()
        .resideOutsideOfPackages("..upstream..", "..platform..", "..node..")
        .should()
        .dependOnClassesThat()
        .haveFullyQualifiedName("reactor.netty.http.client.HttpClient")
        .check(CLASSES);
  }

  @Test
  void nothingStartsAProcess() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.lang.ProcessBuilder")
        .check(CLASSES);
  }

  @Test
  void nothingBlocksOnAnEventLoop() {
    noClasses()
        .should()
        .callMethod(Mono.class, "block")
        .orShould()
        .callMethod(Thread.class, "sleep", long.class)
        .check(CLASSES);
  }
}
