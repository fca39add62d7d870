package org.gradeledge.document;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Trees are read and written as a mapper does it. */
class JsonTreesTests {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  @Property(tries = 500, shrinking = ShrinkingMode.OFF)
  void treesAreTheSameTextAndBack(@ForAll long seed) throws IOException {
    JsonNode tree = randomTree(new Random(seed), 4);
    byte[] text = MAPPER.writeValueAsBytes(tree);
    assertThat(JsonTrees.write(tree)).isEqualTo(text);
    assertThat(JsonTrees.read(text)).isEqualTo(MAPPER.readTree(text));
  }

  @Property(tries = 5_000, shrinking = ShrinkingMode.OFF)
  void damagedTextIsReadAsAMapperDoesItOrRefused(
      @ForAll @IntRange(max = 10_000) int place, @ForAll byte value, @ForAll int seed)
      throws IOException {
    byte[] text = MAPPER.writeValueAsBytes(randomTree(new Random(seed), 3));
    text[place % text.length] = value;
    JsonNode expected;
    try {
      expected = MAPPER.readTree(text);
    } catch (IOException e) {
      assertThatThrownBy(() -> JsonTrees.read(text)).isInstanceOf(IOException.class);
      return;
    }
    assertThat(JsonTrees.read(text)).isEqualTo(expected);
  }

  @Test
  void anEmptyTextIsAMissingNode() throws IOException {
    assertThat(JsonTrees.read(new byte[0]).isMissingNode()).isTrue();
  }

  @Test
  void whatIsNestedTooDeepIsRefused() {
    byte[] text = "[".repeat(100_000).getBytes(StandardCharsets.UTF_8);
    assertThatThrownBy(() -> JsonTrees.read(text)).isInstanceOf(IOException.class);
  }

  private static JsonNode randomTree(Random random, int depth) {
    ObjectNode object = MAPPER.createObjectNode();
    object.put("text", "tàu \"№" + random.nextInt(99) + "\n");
    object.put("integer", random.nextInt());
    object.put("long", random.nextLong());
    object.put("fraction", random.nextDouble());
    object.put("flag", random.nextBoolean());
    object.putNull("nothing");
    ArrayNode array = object.putArray("array");
    for (int index = random.nextInt(3); index > 0 && depth > 0; index--) {
      array.add(randomTree(random, depth - 1));
      array.add(random.nextInt(9));
    }
    return object;
  }
}
