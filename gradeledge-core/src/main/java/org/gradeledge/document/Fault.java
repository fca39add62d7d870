package org.gradeledge.document;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A validation error in a document.
 *
 * @param pointer JSON Pointer (RFC 6901) to the invalid value, empty for the whole document
 * @param message description of the constraint
 * @since 0.1
 */
public record Fault(
    @JsonProperty("pointer") String pointer, @JsonProperty("message") String message) {

  /** Formats the fault as a line of text. */
  public String toLine() {
    return (pointer.isEmpty() ? "(document)" : pointer) + ": " + message;
  }
}
