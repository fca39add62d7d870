package org.gradeledge.configuration;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;
import java.util.Locale;

/**
 * Type of work of a stage.
 *
 * @since 0.1
 */
public enum StageKind {
  /** Computes embedding vectors of text. */
  ENCODE(true, false),
  /** Retrieves documents by vector and text. */
  RETRIEVE(false, false),
  /** Ranks documents by relevance. */
  RERANK(true, false),
  /** Generates text as a stream of tokens. */
  GENERATE(true, true),
  /** Calls a plain service with JSON. */
  SERVICE(false, false);

  private final boolean requiresModel;
  private final boolean streaming;

  StageKind(boolean needsModel, boolean streams) {
    this.requiresModel = needsModel;
    this.streaming = streams;
  }

  /** Returns the kind with the given name in a pipeline file. */
  @JsonCreator
  public static StageKind ofWireName(String name) {
    return Arrays.stream(values())
        .filter(kind -> kind.wireName().equals(name))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("unknown stage kind: " + name));
  }

  /** Returns the name in pipeline files, metrics and calls. */
  @JsonValue
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns whether a stage of this kind must name a model. */
  public boolean requiresModel() {
    return requiresModel;
  }

  /** Returns whether answers are streams of tokens. */
  public boolean isStreaming() {
    return streaming;
  }
}
