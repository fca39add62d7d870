package org.gradeledge.configuration;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;
import java.util.Locale;

/**
 * What a stage does, and what follows from it.
 *
 * @since 0.1
 */
public enum StageKind {
  /** Turns text into vectors. */
  ENCODE(true, false),
  /** Finds documents by vector and text. */
  RETRIEVE(false, false),
  /** Orders documents by relevance. */
  RERANK(true, false),
  /** Generates text, as a stream of tokens. */
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

  /** Returns the name used in pipeline files, metrics and calls. */
  @JsonValue
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns whether a stage of this kind must name a model. */
  public boolean requiresModel() {
    return requiresModel;
  }

  /** Returns whether answers of this kind arrive as a stream of tokens. */
  public boolean isStreaming() {
    return streaming;
  }
}
