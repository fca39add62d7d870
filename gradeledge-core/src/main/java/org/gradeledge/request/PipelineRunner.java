package org.gradeledge.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.gradeledge.configuration.StageDefinition;
import org.gradeledge.configuration.StageKind;
import org.gradeledge.upstream.UpstreamEvent;
import reactor.core.publisher.Flux;

/** Runs the stages of one request one after another and puts the answer together. */
final class PipelineRunner {

  private final StageRunner stages;

  PipelineRunner(StageRunner stages) {
    this.stages = stages;
  }

  /** Returns the tokens of the last stage, where it generates, then the result. */
  Flux<AnswerEvent> run(RequestContext context) {
    return Flux.defer(() -> runFrom(context, 0, new LinkedHashMap<>()));
  }

  private Flux<AnswerEvent> runFrom(
      RequestContext context, int index, Map<String, JsonNode> outputs) {
    if (index == context.file().stages().size()) {
      return Flux.just(result(context, outputs));
    }
    StageDefinition stage = context.file().stages().get(index);
    boolean last = index == context.file().stages().size() - 1;
    context.progress().enterStage(stage.name());
    StringBuilder text = new StringBuilder();
    ObjectNode input = StageInput.of(context.file(), index, context.request().input(), outputs);
    return stages
        .run(context, index, input)
        .concatMap(
            event -> {
              if (event instanceof UpstreamEvent.Token token) {
                text.append(token.text());
                return last
                    ? Flux.<AnswerEvent>just(new AnswerEvent.Token(token.offset(), token.text()))
                    : Flux.<AnswerEvent>empty();
              }
              outputs.put(stage.name(), outputOf(stage, (UpstreamEvent.Answer) event, text));
              return Flux.<AnswerEvent>empty();
            })
        .concatWith(Flux.defer(() -> runFrom(context, index + 1, outputs)));
  }

  private static JsonNode outputOf(
      StageDefinition stage, UpstreamEvent.Answer answer, StringBuilder text) {
    if (!stage.kind().isStreaming()) {
      return answer.output();
    }
    ObjectNode output = JsonNodeFactory.instance.objectNode();
    return output.put("generated", text.toString());
  }

  private static AnswerEvent result(RequestContext context, Map<String, JsonNode> outputs) {
    ObjectNode results = JsonNodeFactory.instance.objectNode();
    context.file().stages().stream()
        .filter(stage -> stage.kind() != StageKind.ENCODE)
        .forEach(stage -> results.set(stage.name(), outputs.get(stage.name())));
    return new AnswerEvent.Result(context.version().version(), results);
  }
}
