package org.gradeledge.document;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.module.paramnames.ParameterNamesModule;

/**
 * Provides the shared JSON mapper.
 *
 * <p>It rejects duplicate keys and supports {@code Optional} and records.
 *
 * @since 0.1
 */
public abstract class JsonMappers {

  private static final ObjectMapper JSON =
      JsonMapper.builder()
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .addModule(new Jdk8Module())
          .addModule(new ParameterNamesModule())
          .defaultPropertyInclusion(
              JsonInclude.Value.construct(
                  JsonInclude.Include.NON_ABSENT, JsonInclude.Include.ALWAYS))
          .build();

  private JsonMappers() {}

  /** Returns the shared mapper; callers must not reconfigure it. */
  public static ObjectMapper json() {
    return JSON;
  }
}
