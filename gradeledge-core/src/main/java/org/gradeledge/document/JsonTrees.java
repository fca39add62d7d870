package org.gradeledge.document;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Iterator;
import java.util.Map;

/**
 * Reads JSON text into trees and writes them, straight on the streaming parser. Unlike a mapper
 * this loads nothing for binding, dates and locales, which is a tenth of what the start of a box
 * costs (by samples of its threads). Thread-safe.
 *
 * @since 0.3
 */
public abstract class JsonTrees {

  /** Deeper trees than any document that is read here has; bounds the depth of calls. */
  private static final int MAX_DEPTH = 64;

  private static final JsonFactory FACTORY = new JsonFactory();
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private JsonTrees() {}

  /** Returns a new empty object. */
  public static ObjectNode newObject() {
    return NODES.objectNode();
  }

  /**
   * Reads one value. As a mapper does, it takes the last of several fields of one name, gives a
   * missing node for an empty text, and does not look at what follows the value.
   *
   * @throws IOException if the text is no JSON, or is nested too deep
   */
  public static JsonNode read(byte[] text) throws IOException {
    try (JsonParser parser = FACTORY.createParser(text)) {
      JsonToken first = parser.nextToken();
      if (first == null) {
        return NODES.missingNode();
      }
      return parseValue(parser, first, 0);
    }
  }

  private static JsonNode parseValue(JsonParser parser, JsonToken token, int depth)
      throws IOException {
    return switch (token) {
      case START_OBJECT -> parseObject(parser, depth + 1);
      case START_ARRAY -> parseArray(parser, depth + 1);
      case VALUE_STRING -> NODES.textNode(parser.getText());
      case VALUE_NUMBER_INT -> parseInteger(parser);
      case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
      case VALUE_TRUE -> NODES.booleanNode(true);
      case VALUE_FALSE -> NODES.booleanNode(false);
      default -> NODES.nullNode();
    };
  }

  private static JsonNode parseInteger(JsonParser parser) throws IOException {
    return switch (parser.getNumberType()) {
      case INT -> NODES.numberNode(parser.getIntValue());
      case LONG -> NODES.numberNode(parser.getLongValue());
      default -> NODES.numberNode(parser.getBigIntegerValue());
    };
  }

  private static JsonNode parseObject(JsonParser parser, int depth) throws IOException {
    checkDepth(depth);
    ObjectNode object = NODES.objectNode();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      object.set(name, parseValue(parser, parser.nextToken(), depth));
    }
    return object;
  }

  private static JsonNode parseArray(JsonParser parser, int depth) throws IOException {
    checkDepth(depth);
    ArrayNode array = NODES.arrayNode();
    for (JsonToken token = parser.nextToken();
        token != JsonToken.END_ARRAY;
        token = parser.nextToken()) {
      array.add(parseValue(parser, token, depth));
    }
    return array;
  }

  private static void checkDepth(int depth) throws IOException {
    if (depth > MAX_DEPTH) {
      throw new IOException("must not be nested deeper than " + MAX_DEPTH);
    }
  }

  /** Returns a tree as text. */
  public static byte[] write(JsonNode tree) {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    try (JsonGenerator generator = FACTORY.createGenerator(text)) {
      write(generator, tree);
    } catch (IOException e) {
      throw new IllegalStateException("a tree can always be written", e);
    }
    return text.toByteArray();
  }

  private static void write(JsonGenerator generator, JsonNode node) throws IOException {
    switch (node.getNodeType()) {
      case OBJECT -> writeObject(generator, node);
      case ARRAY -> writeArray(generator, node);
      case STRING -> generator.writeString(node.textValue());
      case BOOLEAN -> generator.writeBoolean(node.booleanValue());
      case NUMBER -> writeNumber(generator, node);
      default -> generator.writeNull();
    }
  }

  private static void writeObject(JsonGenerator generator, JsonNode object) throws IOException {
    generator.writeStartObject();
    Iterator<Map.Entry<String, JsonNode>> fields = object.fields();
    while (fields.hasNext()) {
      Map.Entry<String, JsonNode> field = fields.next();
      generator.writeFieldName(field.getKey());
      write(generator, field.getValue());
    }
    generator.writeEndObject();
  }

  private static void writeArray(JsonGenerator generator, JsonNode array) throws IOException {
    generator.writeStartArray();
    for (JsonNode element : array) {
      write(generator, element);
    }
    generator.writeEndArray();
  }

  private static void writeNumber(JsonGenerator generator, JsonNode number) throws IOException {
    switch (number.numberType()) {
      case INT, LONG -> generator.writeNumber(number.longValue());
      case BIG_INTEGER -> generator.writeNumber(number.bigIntegerValue());
      default -> generator.writeNumber(number.doubleValue());
    }
  }
}
