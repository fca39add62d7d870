package org.gradeledge.document;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;

/**
 * Reads JSON text into one type, checking it against a shipped schema first.
 *
 * <p>Never throws for bad text: each fault comes back with its JSON Pointer. Thread-safe.
 *
 * @param <T> the type that a valid document becomes
 * @since 0.1
 */
public final class DocumentReader<T> {

  private final Class<T> type;
  private final Schema schema;

  /**
   * Creates a reader.
   *
   * @param type the type that a valid document becomes
   * @param schemaResource class-path name of the JSON Schema (2020-12), beside {@code type}
   */
  public DocumentReader(Class<T> type, String schemaResource) {
    this.type = Objects.requireNonNull(type, "type must be given");
    this.schema =
        SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
            .getSchema(loadSchema(type, schemaResource));
  }

  /** Returns the document, or every fault that the schema finds in it. */
  public Either<List<Fault>, T> read(byte[] text) {
    return parse(text).flatMap(this::checkSchema).flatMap(this::convert);
  }

  private static Either<List<Fault>, JsonNode> parse(byte[] text) {
    try {
      JsonNode node = JsonMappers.json().readTree(text);
      return node == null || node.isMissingNode()
          ? Either.left(List.of(new Fault("", "must be a JSON document, but is empty")))
          : Either.right(node);
    } catch (JsonProcessingException e) {
      String place =
          e.getLocation() == null
              ? ""
              : " at line "
                  + e.getLocation().getLineNr()
                  + " column "
                  + e.getLocation().getColumnNr();
      return Either.left(
          List.of(new Fault("", "must be valid JSON" + place + ": " + e.getOriginalMessage())));
    } catch (IOException e) {
      return Either.left(List.of(new Fault("", "must be readable text: " + e.getMessage())));
    }
  }

  private Either<List<Fault>, JsonNode> checkSchema(JsonNode node) {
    List<Fault> faults =
        schema.validate(node).stream().map(DocumentReader::toFault).distinct().toList();
    return faults.isEmpty() ? Either.right(node) : Either.left(faults);
  }

  private static Fault toFault(Error error) {
    String pointer =
        error.getInstanceLocation() == null ? "" : error.getInstanceLocation().toString();
    String property = error.getProperty();
    boolean unknownKey = "additionalProperties".equals(error.getKeyword()) && property != null;
    return unknownKey
        ? new Fault(pointer + "/" + property, "is not a known key")
        : new Fault(pointer, error.getMessage());
  }

  private Either<List<Fault>, T> convert(JsonNode node) {
    try {
      return Either.right(JsonMappers.json().treeToValue(node, type));
    } catch (JsonProcessingException e) {
      return Either.left(List.of(new Fault("", e.getOriginalMessage())));
    }
  }

  private static String loadSchema(Class<?> type, String resource) {
    try (InputStream in = type.getResourceAsStream(resource)) {
      Objects.requireNonNull(in, () -> "schema " + resource + " must be on the class path");
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot read schema " + resource, e);
    }
  }
}
