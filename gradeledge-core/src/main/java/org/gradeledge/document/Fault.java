package org.gradeledge.document;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One thing that is wrong with a document.
 *
 * @param pointer JSON Pointer (RFC 6901) of the place, empty for the whole document
 * @param message what must hold there
 * @since 0.1
 */
public record Fault(
    @JsonProperty("pointer") String pointer, @JsonProperty("message") String message) {

  /** Returns the fault as one line for a terminal. */
  public String toLine() {
    return (pointer.isEmpty() ? "(document)" : pointer) + ": " + message;
  }
}
