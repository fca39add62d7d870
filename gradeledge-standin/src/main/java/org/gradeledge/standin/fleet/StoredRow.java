package org.gradeledge.standin.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.function.UnaryOperator;

/** A row of the store stand-in; one that was removed stays as long as its removal is reported. */
record StoredRow(String key, byte[] value, long revision, boolean removed) {

  /**
   * Writes the row to a JSON object.
   *
   * @param rewrite changes the value, given as a character for each byte
   */
  void writeTo(ObjectNode object, String table, UnaryOperator<String> rewrite) {
    String text = rewrite.apply(new String(value, StandardCharsets.ISO_8859_1));
    byte[] rewritten = text.getBytes(StandardCharsets.ISO_8859_1);
    object.put("table", table).put("part", "").put("private_key", key);
    object.put("value", Base64.getEncoder().encodeToString(rewritten)).put("ver", revision);
    if (removed) {
      object.put("gone", true);
    }
  }
}
