package org.gradeledge.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.gradeledge.document.Fault;

/**
 * Each stage names upstreams that are defined, play its role, hold its model and can be trusted.
 */
final class StageUpstreamsCheck implements PipelineCheck {

  @Override
  public Stream<Fault> findFaults(PipelineFile file) {
    return IntStream.range(0, file.stages().size())
        .boxed()
        .flatMap(index -> checkStage(file, index).stream());
  }

  private static List<Fault> checkStage(PipelineFile file, int stageIndex) {
    List<Fault> faults = new ArrayList<>();
    StageDefinition stage = file.stages().get(stageIndex);
    String stagePointer = "/stages/" + stageIndex;
    if (stage.kind().requiresModel() && stage.model().isEmpty()) {
      faults.add(
          new Fault(stagePointer + "/model", "must be given for kind " + stage.kind().wireName()));
    }
    if (stage.kind() == StageKind.SERVICE && stage.path().isEmpty()) {
      faults.add(new Fault(stagePointer + "/path", "must be given for kind service"));
    }
    for (int index = 0; index < stage.upstreams().size(); index++) {
      String pointer = stagePointer + "/upstreams/" + index;
      String id = stage.upstreams().get(index);
      file.findUpstream(id)
          .ifPresentOrElse(
              upstream -> checkUpstream(stage, upstream, pointer, faults),
              () -> faults.add(new Fault(pointer, "must name an upstream of this file; no " + id)));
    }
    return faults;
  }

  private static void checkUpstream(
      StageDefinition stage, UpstreamDefinition upstream, String pointer, List<Fault> faults) {
    if (!upstream.roles().contains(stage.kind())) {
      faults.add(new Fault(pointer, "must have role " + stage.kind().wireName()));
    }
    stage
        .model()
        .filter(model -> !upstream.models().contains(model))
        .ifPresent(model -> faults.add(new Fault(pointer, "must list model " + model)));
    if (!stage.repeatable() && !upstream.tellsWhetherItRan()) {
      faults.add(new Fault(pointer, "must tell whether it ran, since the stage is not repeatable"));
    }
  }
}
