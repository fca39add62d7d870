package org.gradeledge.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import org.gradeledge.configuration.StageKind;

/** Path and JSON bodies of the HTTP messages for each stage kind, following the OpenAI API. */
enum StageMessageFormat {
  ENCODE("/v1/embeddings") {
    @Override
    void fillBody(ObjectNode body, UpstreamCall call) {
      body.set(
          "input", JsonNodeFactory.instance.arrayNode().add(call.input().path("text").asText()));
    }

    @Override
    JsonNode extractOutput(JsonNode response) {
      return singleFieldObject("vector", response.path("data").path(0).path("embedding"));
    }
  },
  RETRIEVE("/v1/retrieve") {
    @Override
    void fillBody(ObjectNode body, UpstreamCall call) {
      body.put("query", call.input().path("text").asText());
      body.set("vector", call.input().path("vector"));
    }

    @Override
    JsonNode extractOutput(JsonNode response) {
      return singleFieldObject("documents", response.path("documents"));
    }
  },
  RERANK("/v1/rerank") {
    @Override
    void fillBody(ObjectNode body, UpstreamCall call) {
      body.put("query", call.input().path("text").asText());
      body.set("documents", call.input().path("documents"));
    }

    @Override
    JsonNode extractOutput(JsonNode response) {
      return singleFieldObject("documents", response.path("results"));
    }
  },
  GENERATE("/v1/completions") {
    @Override
    void fillBody(ObjectNode body, UpstreamCall call) {
      body.put("prompt", prompt(call.input()));
      body.put("max_tokens", call.stage().maxTokensOrDefault());
      body.put("stream", true);
    }

    @Override
    JsonNode extractOutput(JsonNode response) {
      return JsonNodeFactory.instance.objectNode();
    }
  },
  SERVICE("/") {
    @Override
    void fillBody(ObjectNode body, UpstreamCall call) {
      body.setAll((ObjectNode) call.input().deepCopy());
    }

    @Override
    JsonNode extractOutput(JsonNode response) {
      return response;
    }
  };

  private final String path;

  StageMessageFormat(String path) {
    this.path = path;
  }

  static StageMessageFormat of(StageKind kind) {
    return valueOf(kind.name());
  }

  /** Adds the fields of the stage kind to a request body. */
  abstract void fillBody(ObjectNode body, UpstreamCall call);

  /** Returns the output of the stage from a response body. */
  abstract JsonNode extractOutput(JsonNode response);

  String path(UpstreamCall call) {
    return call.stage().path().orElse(path);
  }

  ObjectNode body(UpstreamCall call) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    fillBody(body, call);
    call.stage().model().ifPresent(model -> body.put("model", model));
    call.stage().adapter().ifPresent(adapter -> body.put("adapter", adapter));
    call.stage().modelVersion().ifPresent(version -> body.put("model_version", version));
    return body;
  }

  private static ObjectNode singleFieldObject(String key, JsonNode value) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.set(key, value.isMissingNode() ? JsonNodeFactory.instance.nullNode() : value);
    return node;
  }

  private static String prompt(JsonNode input) {
    JsonNode documents = input.path("documents");
    String context =
        documents instanceof ArrayNode
            ? StreamSupport.stream(documents.spliterator(), false)
                .map(document -> document.path("text").asText())
                .collect(Collectors.joining("\n"))
            : "";
    String text = input.path("text").asText();
    return context.isEmpty() ? text : context + "\n\n" + text;
  }
}
