package org.gradeledge.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.gradeledge.configuration.PipelineFile;
import org.gradeledge.configuration.StageDefinition;

/** Puts together what a stage takes in: the caller's input and the outputs of earlier stages. */
abstract class StageInput {

  private StageInput() {}

  /**
   * Returns the input of a stage. Keys of later outputs replace those of earlier ones, so that
   * reranked documents take the place of retrieved ones. Without {@code after}, all earlier stages
   * count.
   */
  static ObjectNode of(
      PipelineFile file, int stageIndex, ObjectNode callerInput, Map<String, JsonNode> outputs) {
    StageDefinition stage = file.stages().get(stageIndex);
    List<String> sources =
        stage
            .after()
            .orElseGet(
                () ->
                    file.stages().subList(0, stageIndex).stream()
                        .map(StageDefinition::name)
                        .toList());
    ObjectNode input = callerInput.deepCopy();
    sources.stream()
        .map(outputs::get)
        .filter(ObjectNode.class::isInstance)
        .forEach(output -> input.setAll((ObjectNode) output.deepCopy()));
    return input;
  }
}
